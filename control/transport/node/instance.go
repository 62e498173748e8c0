package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/replica"
)

// endedTimeout limits the wait for the proof that the local replica is current; a node tries another control process after a
// second.
const endedTimeout = 900 * time.Millisecond

// errInstanceNotNamed reports a request that does not name its instance.
var errInstanceNotNamed = errors.New("node and name are required")

// End commits that an instance of a back end drains or has deregistered, so that its node still knows after a restart.
func (h *Handler) End(ctx context.Context, req *connect.Request[control.EndRequest]) (*connect.Response[control.EndResponse], error) {
	m := req.Msg
	if m.GetNode() == "" || m.GetName() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Wrap(errInstanceNotNamed, "end"))
	}
	cmd := replica.Command{Kind: replica.CommandEndInstance, Node: m.GetNode(), InstanceID: m.GetName(), StartMillis: m.GetStart()}
	if _, err := h.propose(ctx, cmd); err != nil {
		return nil, err
	}
	return connect.NewResponse(&control.EndResponse{}), nil
}

// Ended returns which instances with an ID have ended. The answer covers every end that was acknowledged before the call; it
// returns Unavailable if this process cannot prove that.
func (h *Handler) Ended(ctx context.Context, req *connect.Request[control.EndedRequest]) (*connect.Response[control.EndedResponse], error) {
	m := req.Msg
	if m.GetNode() == "" || m.GetName() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Wrap(errInstanceNotNamed, "ended"))
	}
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	if err := h.Group.Barrier(ctx); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "ended"))
	}
	resp := &control.EndedResponse{}
	h.Group.ReadReplica(func(s *replica.Replica) { resp.Start, resp.Ended = s.EndedInstance(m.GetNode(), m.GetName()) })
	return connect.NewResponse(resp), nil
}
