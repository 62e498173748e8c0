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

// Times of the streams to nodes.
const (
	HeartbeatInterval = 200 * time.Millisecond // heartbeat; a node leaves after three are missing
	gather            = 25 * time.Millisecond  // pause between deltas, so that a burst of changes makes few messages
)

// Group is the part of the consensus group that nodes reach.
type Group interface {
	Propose(ctx context.Context, cmd replica.Command) (replica.Result, error)
	View() raftgroup.View
	ReadReplica(f func(*replica.Replica))
}

// Directory is the part of the directory that nodes reach.
type Directory interface {
	Announce(ctx context.Context, m *control.Member) error
	Members(ctx context.Context) ([]*control.Member, error)
}

// Handler serves nodes and the command-line client.
type Handler struct {
	Group     Group
	Directory Directory
	Hub       *watch.Hub
}

// Announce renews the lease of a node; without a member it only answers.
func (h *Handler) Announce(ctx context.Context, req *connect.Request[control.AnnounceRequest]) (*connect.Response[control.AnnounceResponse], error) {
	if m := req.Msg.GetMember(); m != nil {
		if err := check(m); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		if err := h.Directory.Announce(ctx, m); err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
	}
	v := h.Group.View()
	resp := &control.AnnounceResponse{Revision: h.rules().Revision, Current: v.Current}
	if v.DynamicMembership {
		resp.Group = append(slices.Clone(v.Voters), v.Learners...)
	}
	return connect.NewResponse(resp), nil
}

func check(m *control.Member) error {
	if m.GetNode() == "" || m.GetIncarnation() == 0 || m.GetSequence() == 0 {
		return errors.Newf("announce %q: node, incarnation and sequence are required", m.GetNode())
	}
	return nil
}

// Watch streams rules, members and heartbeats until the node or this process ends it.
func (h *Handler) Watch(ctx context.Context, req *connect.Request[control.WatchRequest], out *connect.ServerStream[control.WatchResponse]) error {
	w := h.Hub.Watch(req.Msg)
	defer w.Close()
	if err := out.Send(h.beat()); err != nil {
		return err
	}
	beat := time.NewTicker(HeartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-beat.C:
			if err := out.Send(h.beat()); err != nil {
				return err
			}
		case <-w.Pending():
			if err := flush(ctx, w, out); err != nil {
				return err
			}
		}
	}
}

// flush sends everything due and then waits for gather.
func flush(ctx context.Context, w *watch.Watcher, out *connect.ServerStream[control.WatchResponse]) error {
	for _, m := range w.TakePending() {
		if err := out.Send(m); err != nil {
			return err
		}
	}
	pause.For(ctx, gather)
	return nil
}

func (h *Handler) beat() *control.WatchResponse {
	v := h.Group.View()
	return &control.WatchResponse{Event: &control.WatchResponse_Beat{Beat: &control.Beat{
		Current: v.Current, Revision: h.rules().Revision, Leader: v.Leader, Term: v.Term,
	}}}
}

func (h *Handler) rules() replica.Rules {
	var r replica.Rules
	h.Group.ReadReplica(func(s *replica.Replica) { r = s.Rules() })
	return r
}

// Status reads the local state.
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

// Rules reads the accepted rules and the history of changes.
func (h *Handler) Rules(context.Context, *connect.Request[control.RulesRequest]) (*connect.Response[control.RulesResponse], error) {
	resp := &control.RulesResponse{}
	h.Group.ReadReplica(func(s *replica.Replica) {
		r := s.Rules()
		resp.Rules = &control.Rules{Revision: r.Revision, Number: r.ChangeNumber, Text: r.Text, Hash: rule.Hash(r.Text)}
		resp.Changes = lo.Map(s.AcceptedChanges(), func(c replica.AcceptedChange, _ int) *control.Change { return change(c) })
	})
	return connect.NewResponse(resp), nil
}

func change(c replica.AcceptedChange) *control.Change {
	return &control.Change{
		Revision: c.Revision, Number: c.Number, Hash: c.TextHash, Time: c.ProposedAt.UnixMilli(), Origin: c.Origin, Reason: c.Reason,
	}
}
