package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/control"
)

// Ledger is the part of the accounting of limited accounts that the Handler uses.
type Ledger interface {
	Report(now time.Time, req *control.UsageRequest, current bool) *control.UsageResponse
	NodeLeft(now time.Time, name string)
}

// frozenPeriod is how long after a pause the totals of this process are not taken for current: it missed reports.
const frozenPeriod = time.Second

// Usage takes the report of a node about limited accounts and returns the totals over all nodes.
func (h *Handler) Usage(_ context.Context, req *connect.Request[control.UsageRequest]) (*connect.Response[control.UsageResponse], error) {
	if req.Msg.GetNode() == "" || req.Msg.GetIncarnation() == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("report of usage: node and incarnation are required"))
	}
	current := h.Group.View().Current && !(h.Pauses != nil && h.Pauses.ResumedWithin(frozenPeriod))
	return connect.NewResponse(h.Ledger.Report(time.Now(), req.Msg, current)), nil
}
