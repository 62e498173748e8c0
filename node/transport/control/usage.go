package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/control"
)

// usageTimeout bounds a report to one control process; later its answer would be of little use.
const usageTimeout = 300 * time.Millisecond

// errNotCurrent reports that a control process has no quorum or has just started, so that its totals may be wrong.
var errNotCurrent = errors.New("totals are not current")

// ReportUsage reports the use of limited accounts and returns the totals over all nodes. It returns ErrUnavailable if no control
// process with current totals answers before ctx ends.
func (c *Client) ReportUsage(ctx context.Context, req *control.UsageRequest) (*control.UsageResponse, error) {
	return callWithFailover(ctx, c, "report usage", usageTimeout, func(ctx context.Context, r *remote) (*connect.Response[control.UsageResponse], error) {
		resp, err := r.rpc.Usage(ctx, connect.NewRequest(req))
		if err == nil && !resp.Msg.GetCurrent() {
			return nil, errNotCurrent
		}
		return resp, err
	})
}
