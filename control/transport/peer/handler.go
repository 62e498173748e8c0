package peer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/core/protocol/control"
)

// Group is the part of the consensus group that other control processes reach.
type Group interface {
	Receive(messages [][]byte)
	ProposeForwarded(ctx context.Context, command []byte) ([]byte, error)
}

// Directory is the part of the directory that other control processes reach.
type Directory interface {
	Exchange(ctx context.Context, req *control.ExchangeRequest) (*control.ExchangeResponse, error)
}

// Handler serves the other control processes.
type Handler struct {
	Group     Group
	Directory Directory
}

// Raft delivers consensus messages.
func (h *Handler) Raft(_ context.Context, req *connect.Request[control.RaftRequest]) (*connect.Response[control.RaftResponse], error) {
	h.Group.Receive(req.Msg.GetMessages())
	return connect.NewResponse(&control.RaftResponse{}), nil
}

// Exchange merges directory deltas.
func (h *Handler) Exchange(ctx context.Context, req *connect.Request[control.ExchangeRequest]) (*connect.Response[control.ExchangeResponse], error) {
	resp, err := h.Directory.Exchange(ctx, req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(resp), nil
}

// Forward proposes a command here; the code tells whether it may have been proposed.
func (h *Handler) Forward(ctx context.Context, req *connect.Request[control.ForwardRequest]) (*connect.Response[control.ForwardResponse], error) {
	result, err := h.Group.ProposeForwarded(ctx, req.Msg.GetCommand())
	var refused *raftgroup.NotLeaderError
	if errors.As(err, &refused) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	return connect.NewResponse(&control.ForwardResponse{Result: result}), nil
}
