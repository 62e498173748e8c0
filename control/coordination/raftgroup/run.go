package raftgroup

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/state/replica"
)

// request is a proposal or a read on its way to the goroutine that owns the engine.
type request struct {
	ctx   context.Context
	input consensus.Input
	reply chan consensus.Outcome // room for one
}

// ask hands an input to the goroutine and waits for its outcome.
func (g *Group) ask(ctx context.Context, input consensus.Input) (replica.Result, error) {
	r := &request{ctx: ctx, input: input, reply: make(chan consensus.Outcome, 1)}
	select {
	case g.queue <- r:
	case <-ctx.Done():
		return replica.Result{}, ctx.Err()
	case <-g.stopped:
		return replica.Result{}, g.failed
	}
	select {
	case o := <-r.reply:
		return o.Result, o.Err
	case <-ctx.Done():
		return replica.Result{}, errors.Mark(ctx.Err(), ErrOutcomeUnknown)
	case <-g.stopped:
		return replica.Result{}, errors.Mark(g.failed, ErrOutcomeUnknown)
	}
}

// loop is the state of the goroutine that owns the engine.
type loop struct {
	g       *Group
	token   uint64
	waiting map[uint64]*request
	inputs  []consensus.Input
	applied uint64
}

func (g *Group) run() {
	ticker := time.NewTicker(g.cfg.HeartbeatInterval / ticksPerBeat)
	defer ticker.Stop()
	l := &loop{g: g, waiting: map[uint64]*request{}, applied: g.engine.Replica().AppliedIndex()}
	err := g.engine.Err()
	for err == nil {
		select {
		case <-g.quit:
			err = ErrClosed
		case <-ticker.C:
			l.tick()
			err = l.step()
		case r := <-g.queue:
			l.add(r)
			err = l.step()
		case raw := <-g.inbox:
			l.inputs = append(l.inputs, consensus.Receive{Message: raw})
			err = l.step()
		}
		if err != nil && !errors.Is(err, ErrClosed) {
			err = l.reopen(err)
		}
	}
	g.failed = errors.CombineErrors(err, g.engine.Close())
	close(g.stopped)
}

// tick lets time pass and forgets the requests that nobody waits for.
func (l *loop) tick() {
	l.inputs = append(l.inputs, consensus.Tick{})
	for token, r := range l.waiting {
		if r.ctx.Err() != nil {
			delete(l.waiting, token)
		}
	}
}

func (l *loop) add(r *request) {
	l.token++
	l.waiting[l.token] = r
	switch in := r.input.(type) {
	case consensus.Propose:
		in.Token = l.token
		l.inputs = append(l.inputs, in)
	case consensus.Read:
		in.Token = l.token
		l.inputs = append(l.inputs, in)
	}
}

// step takes along what else is waiting, so that it shares one sync, and passes on the outcomes.
func (l *loop) step() error {
	l.drain()
	outcomes := l.g.engine.Step(l.g.cfg.Now(), l.inputs...)
	l.inputs = nil
	l.g.publish()
	if applied := l.g.engine.Replica().AppliedIndex(); applied != l.applied {
		l.applied = applied
		close(*l.g.changed.Swap(lo.ToPtr(make(chan struct{}))))
	}
	for _, o := range outcomes {
		if r := l.waiting[o.Token]; r != nil {
			delete(l.waiting, o.Token)
			r.reply <- o
		}
	}
	return l.g.engine.Err()
}

func (l *loop) drain() {
	for len(l.inputs) < maxBatch {
		select {
		case r := <-l.g.queue:
			l.add(r)
		case raw := <-l.g.inbox:
			l.inputs = append(l.inputs, consensus.Receive{Message: raw})
		default:
			return
		}
	}
}

func (g *Group) publish() {
	now := g.cfg.Now()
	v := g.engine.View(now)
	name := func(id string, _ int) string { return consensus.ProcessName(id) }
	old := g.view.Swap(&published{at: now, view: View{
		ID: g.engine.ID(), Leader: consensus.ProcessName(v.Leader), Term: v.Term, CommitIndex: v.Commit, AppliedIndex: v.Applied,
		Current: v.HasQuorum, Voters: lo.Map(v.Membership.Voters, name), Learners: lo.Map(v.Membership.Learners, name),
		DynamicMembership: g.cfg.MaxVoters > 0,
	}})
	if old != nil && old.view.Leader != consensus.ProcessName(v.Leader) {
		close(*g.moved.Swap(lo.ToPtr(make(chan struct{}))))
	}
}
