package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/core/protocol/control"
)

// Group is the part of raftgroup.Group that the Handler uses.
type Group interface {
	Receive(messages [][]byte)
	ProposeForwarded(ctx context.Context, command []byte) ([]byte, error)
}

// Directory is the part of the directory of members that the Handler uses.
type Directory interface {
	Exchange(ctx context.Context, req *control.ExchangeRequest) (*control.ExchangeResponse, error)
}

// Ledger is the part of the accounting of limited accounts that the Handler uses.
type Ledger interface {
	Receive(now time.Time, req *control.TotalsRequest) *control.TotalsResponse
}

// Observers takes the observations of nodes; Observe must not block.
type Observers interface {
	Observe(list []*control.Observation)
}

// Handler implements the Peer service.
type Handler struct {
	Group     Group
	Directory Directory
	Ledger    Ledger
	Observers Observers // nil: observations are dropped
}

// Observe takes the observations of nodes that another control process has received.
func (h *Handler) Observe(_ context.Context, req *connect.Request[control.ObserveRequest]) (*connect.Response[control.ObserveResponse], error) {
	if h.Observers != nil {
		h.Observers.Observe(req.Msg.GetObservations())
	}
	return connect.NewResponse(&control.ObserveResponse{}), nil
}

// Raft passes Raft messages to the group.
func (h *Handler) Raft(_ context.Context, req *connect.Request[control.RaftRequest]) (*connect.Response[control.RaftResponse], error) {
	h.Group.Receive(req.Msg.GetMessages())
	return connect.NewResponse(&control.RaftResponse{}), nil
}

// Exchange merges directory deltas and returns those of this process.
func (h *Handler) Exchange(ctx context.Context, req *connect.Request[control.ExchangeRequest]) (*connect.Response[control.ExchangeResponse], error) {
	resp, err := h.Directory.Exchange(ctx, req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(resp), nil
}

// Totals takes the account use that another control process knows and returns what it has not heard.
func (h *Handler) Totals(_ context.Context, req *connect.Request[control.TotalsRequest]) (*connect.Response[control.TotalsResponse], error) {
	return connect.NewResponse(h.Ledger.Receive(time.Now(), req.Msg)), nil
}

// Forward proposes a command at this process. FailedPrecondition means that the command was not proposed; after Aborted
// its outcome is unknown.
func (h *Handler) Forward(ctx context.Context, req *connect.Request[control.ForwardRequest]) (*connect.Response[control.ForwardResponse], error) {
	result, err := h.Group.ProposeForwarded(ctx, req.Msg.GetCommand())
	var notLeader *raftgroup.NotLeaderError
	if errors.As(err, &notLeader) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	return connect.NewResponse(&control.ForwardResponse{Result: result}), nil
}
