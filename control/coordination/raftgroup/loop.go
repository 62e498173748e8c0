package raftgroup

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/state/replica"
)

// request is a proposal or a read for the goroutine that owns the engine.
type request struct {
	ctx   context.Context
	input consensus.Input
	reply chan consensus.Outcome // buffered for one outcome, so that the goroutine never blocks
}

// submit passes an input to the goroutine that owns the engine and waits for its outcome.
func (g *Group) submit(ctx context.Context, input consensus.Input) (replica.Result, error) {
	r := &request{ctx: ctx, input: input, reply: make(chan consensus.Outcome, 1)}
	select {
	case g.queue <- r:
	case <-ctx.Done():
		return replica.Result{}, ctx.Err()
	case <-g.stopped:
		return replica.Result{}, g.err
	}
	select {
	case o := <-r.reply:
		return o.Result, o.Err
	case <-ctx.Done():
		return replica.Result{}, errors.Mark(ctx.Err(), ErrOutcomeUnknown)
	case <-g.stopped:
		return replica.Result{}, errors.Mark(g.err, ErrOutcomeUnknown)
	}
}

// loop is the state of the goroutine that owns the engine.
type loop struct {
	group        *Group
	lastToken    uint64
	pending      map[uint64]*request // by token
	inputs       []consensus.Input   // of the next step
	appliedIndex uint64              // at the last step
}

func (g *Group) run() {
	ticker := time.NewTicker(g.cfg.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	l := &loop{group: g, pending: map[uint64]*request{}, appliedIndex: g.engine.Replica().AppliedIndex()}
	err := g.engine.Err()
	for err == nil {
		select {
		case <-g.quit:
			err = ErrClosed
		case <-ticker.C:
			l.addTick()
			err = l.step()
		case r := <-g.queue:
			l.addRequest(r)
			err = l.step()
		case raw := <-g.inbox.messages:
			l.inputs = append(l.inputs, consensus.Receive{Message: g.inbox.taken(raw)})
			err = l.step()
		}
		if err != nil && !errors.Is(err, ErrClosed) {
			err = l.reopen(err)
		}
	}
	g.err = errors.CombineErrors(err, g.engine.Close())
	close(g.stopped)
}

// addTick adds a tick to the inputs and removes the requests whose callers have gone.
func (l *loop) addTick() {
	l.inputs = append(l.inputs, consensus.Tick{})
	for token, r := range l.pending {
		if r.ctx.Err() != nil {
			delete(l.pending, token)
		}
	}
}

func (l *loop) addRequest(r *request) {
	l.lastToken++
	l.pending[l.lastToken] = r
	switch in := r.input.(type) {
	case consensus.Propose:
		in.Token = l.lastToken
		l.inputs = append(l.inputs, in)
	case consensus.Read:
		in.Token = l.lastToken
		l.inputs = append(l.inputs, in)
	}
}

// step passes all queued inputs to the engine, so that they share one sync of the log, and delivers the outcomes.
func (l *loop) step() error {
	l.collectQueued()
	outcomes := l.group.engine.Step(l.group.cfg.Now(), l.inputs...)
	l.inputs = nil
	l.group.publishView()
	if applied := l.group.engine.Replica().AppliedIndex(); applied != l.appliedIndex {
		l.appliedIndex = applied
		close(*l.group.entryApplied.Swap(lo.ToPtr(make(chan struct{}))))
	}
	for _, o := range outcomes {
		if r := l.pending[o.Token]; r != nil {
			delete(l.pending, o.Token)
			r.reply <- o
		}
	}
	return l.group.engine.Err()
}

func (l *loop) collectQueued() {
	for len(l.inputs) < maxBatch {
		select {
		case r := <-l.group.queue:
			l.addRequest(r)
		case raw := <-l.group.inbox.messages:
			l.inputs = append(l.inputs, consensus.Receive{Message: l.group.inbox.taken(raw)})
		default:
			return
		}
	}
}

func (g *Group) publishView() {
	now := g.cfg.Now()
	v := g.engine.View(now)
	name := func(id string, _ int) string { return consensus.ProcessName(id) }
	old := g.lastView.Swap(&timedView{takenAt: now, view: View{
		ID: g.engine.ID(), Leader: consensus.ProcessName(v.Leader), Term: v.Term, CommitIndex: v.Commit, AppliedIndex: v.Applied,
		Current: v.Current, PendingRules: g.engine.PendingRules(v), Voters: lo.Map(v.Membership.Voters, name), Learners: lo.Map(v.Membership.Learners, name),
		DynamicMembership: g.cfg.MaxVoters > 0,
	}})
	if old != nil && old.view.Leader != consensus.ProcessName(v.Leader) {
		close(*g.leaderChanged.Swap(lo.ToPtr(make(chan struct{}))))
	}
}
