package node

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/control/coordination/watch"
	"pollenhill.example/core/coordination/pause"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/rule"
)

// Intervals of the streams to nodes.
const (
	// HeartbeatInterval is the time between heartbeats on a stream; a node that misses three connects to another process.
	HeartbeatInterval = 200 * time.Millisecond
	// deltaInterval is the minimum time between deltas, so that a burst of changes is sent in few messages.
	deltaInterval = 25 * time.Millisecond
)

// Group is the part of raftgroup.Group that the Handler uses.
type Group interface {
	Propose(ctx context.Context, cmd replica.Command) (replica.Result, error)
	Barrier(ctx context.Context) error
	View() raftgroup.View
	ReadReplica(f func(*replica.Replica))
}

// Directory is the part of the directory of members that the Handler uses.
type Directory interface {
	Announce(ctx context.Context, m *control.Member) error
	Members(ctx context.Context) ([]*control.Member, error)
}

// Observers takes the observations of nodes; Observe must not block.
type Observers interface {
	Observe(list []*control.Observation)
}

// Handler implements the Control service.
type Handler struct {
	Group     Group
	Directory Directory
	Hub       *watch.Hub
	Ledger    Ledger          // nil: no process reports usage
	Pauses    *pause.Detector // nil: this process is never frozen
	Observers Observers       // nil: observations are dropped
}

// Observe takes what nodes saw of the back ends beside them during a rollout.
func (h *Handler) Observe(_ context.Context, req *connect.Request[control.ObserveRequest]) (*connect.Response[control.ObserveResponse], error) {
	if h.Observers != nil {
		h.Observers.Observe(req.Msg.GetObservations())
	}
	return connect.NewResponse(&control.ObserveResponse{}), nil
}

// Announce renews the lease of a node and returns the revision and the members of the group; without a member, as in a
// probe of this process, it only returns these.
func (h *Handler) Announce(ctx context.Context, req *connect.Request[control.AnnounceRequest]) (*connect.Response[control.AnnounceResponse], error) {
	if m := req.Msg.GetMember(); m != nil {
		if err := checkMember(m); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if err := h.Directory.Announce(ctx, m); err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		if m.GetGone() && h.Ledger != nil {
			h.Ledger.NodeLeft(time.Now(), m.GetNode())
		}
	}
	v := h.Group.View()
	resp := &control.AnnounceResponse{Revision: max(h.currentRules().Revision, v.PendingRules), Current: v.Current}
	if v.DynamicMembership {
		resp.Group = append(slices.Clone(v.Voters), v.Learners...)
	}
	return connect.NewResponse(resp), nil
}

func checkMember(m *control.Member) error {
	if m.GetNode() == "" || m.GetIncarnation() == 0 || m.GetSequence() == 0 {
		return errors.Newf("announce %q: node, incarnation and sequence are required", m.GetNode())
	}
	return nil
}

// Watch streams rules, members and heartbeats until the node or this process ends the stream.
func (h *Handler) Watch(ctx context.Context, req *connect.Request[control.WatchRequest], out *connect.ServerStream[control.WatchResponse]) error {
	w := h.Hub.Watch(req.Msg)
	defer w.Close()
	if err := out.Send(h.heartbeat()); err != nil {
		return err
	}
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := out.Send(h.heartbeat()); err != nil {
				return err
			}
		case <-w.Pending():
			if err := sendPending(ctx, w, out); err != nil {
				return err
			}
		}
	}
}

// sendPending sends the pending messages and then waits for deltaInterval.
func sendPending(ctx context.Context, w *watch.Watcher, out *connect.ServerStream[control.WatchResponse]) error {
	for _, m := range w.TakePending() {
		if err := out.Send(m); err != nil {
			return err
		}
	}
	pause.For(ctx, deltaInterval)
	return nil
}

// heartbeat returns a message with the consensus state and the revision of this process.
func (h *Handler) heartbeat() *control.WatchResponse {
	v := h.Group.View()
	return &control.WatchResponse{Event: &control.WatchResponse_Beat{Beat: &control.Beat{
		Current: v.Current, Revision: h.currentRules().Revision, Leader: v.Leader, Term: v.Term,
	}}}
}

func (h *Handler) currentRules() replica.Rules {
	var r replica.Rules
	h.Group.ReadReplica(func(s *replica.Replica) { r = s.Rules() })
	return r
}

// Status returns the consensus state, the members and the number of claims as this process knows them.
func (h *Handler) Status(ctx context.Context, _ *connect.Request[control.StatusRequest]) (*connect.Response[control.StatusResponse], error) {
	members, err := h.Directory.Members(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	v := h.Group.View()
	resp := &control.StatusResponse{
		Id: v.ID, Leader: v.Leader, Term: v.Term, Commit: v.CommitIndex, Applied: v.AppliedIndex, Current: v.Current,
		Voters: v.Voters, Learners: v.Learners, Members: members,
	}
	h.Group.ReadReplica(func(s *replica.Replica) {
		resp.Revision = s.Rules().Revision
		resp.Number = s.Rules().ChangeNumber
		resp.Claims = uint64(s.ClaimCount())
	})
	return connect.NewResponse(resp), nil
}

// Rules returns the rules in force and the history of changes as this process knows them.
func (h *Handler) Rules(context.Context, *connect.Request[control.RulesRequest]) (*connect.Response[control.RulesResponse], error) {
	resp := &control.RulesResponse{}
	h.Group.ReadReplica(func(s *replica.Replica) {
		r := s.Rules()
		resp.Rules = &control.Rules{Revision: r.Revision, Number: r.ChangeNumber, Text: r.Text, Hash: rule.Hash(r.Text)}
		resp.Changes = lo.Map(s.AcceptedChanges(), func(c replica.AcceptedChange, _ int) *control.Change { return changeMessage(c) })
	})
	return connect.NewResponse(resp), nil
}

func changeMessage(c replica.AcceptedChange) *control.Change {
	return &control.Change{
		Revision: c.Revision, Number: c.Number, Hash: c.TextHash, Time: c.ProposedAt.UnixMilli(), Origin: c.Origin, Reason: c.Reason,
	}
}
