package raftgroup

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/state/replica"
)

const (
	firstTry   = 2 // heartbeats; a commit takes a few milliseconds, so a silent leader is given up soon
	maxDoubled = 3 // doublings of the time of a try, so that a slow disk is not flooded with repeats
)

// Propose commits a command and returns its result. A follower forwards it to the leader. Until the context ends it
// waits for a leader and repeats a change, claim, finish or release whose answer is missing, since a repeat gets
// the first verdict. An error marked ErrUnknown means that the command may be applied later.
func (g *Group) Propose(ctx context.Context, cmd replica.Command) (replica.Result, error) {
	if cmd.ProposedAt.IsZero() {
		cmd.ProposedAt = g.cfg.Now()
	}
	unknown := false
	for n := 0; ; n++ {
		res, err := g.try(ctx, cmd, n)
		if err == nil {
			return res, nil
		}
		unknown = unknown || errors.Is(err, ErrOutcomeUnknown)
		if g.again(ctx, cmd, err) {
			err = errors.CombineErrors(g.pause(ctx), err)
			if ctx.Err() == nil && g.Err() == nil {
				continue
			}
		}
		if unknown {
			err = errors.Mark(err, ErrOutcomeUnknown)
		}
		return replica.Result{}, err
	}
}

// again returns whether to try once more.
func (g *Group) again(ctx context.Context, cmd replica.Command, err error) bool {
	var redirect *NotLeaderError
	switch {
	case ctx.Err() != nil || g.Err() != nil:
		return false
	case errors.Is(err, ErrProposalLost):
		return true
	case errors.As(err, &redirect):
		return g.cfg.Forward != nil
	case errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled):
		return repeatable(cmd)
	}
	return false
}

// repeatable returns whether applying the command twice is like applying it once.
func repeatable(cmd replica.Command) bool {
	return cmd.Kind != replica.CommandJoin && cmd.Kind != replica.CommandLeave
}

// try proposes once, here or at the leader.
func (g *Group) try(ctx context.Context, cmd replica.Command, n int) (replica.Result, error) {
	if repeatable(cmd) {
		limit, cancel := context.WithTimeout(ctx, firstTry*g.cfg.HeartbeatInterval<<min(n, maxDoubled))
		defer cancel()
		go cancelOn(limit, cancel, *g.moved.Load())
		ctx = limit
	}
	res, err := g.ask(ctx, consensus.Propose{Command: cmd})
	var redirect *NotLeaderError
	if !errors.As(err, &redirect) || redirect.Leader == "" || redirect.Leader == g.cfg.Name || g.cfg.Forward == nil {
		return res, err
	}
	raw, err := g.cfg.Forward(ctx, redirect.Leader, cmd.Encode())
	switch {
	case errors.As(err, &redirect):
		return replica.Result{}, err
	case err != nil:
		return replica.Result{}, errors.Mark(errors.Wrapf(err, "forward to %s", redirect.Leader), ErrOutcomeUnknown)
	}
	return replica.DecodeResult(raw)
}

// cancelOn gives up a try when the leader changes.
func cancelOn(ctx context.Context, cancel context.CancelFunc, moved <-chan struct{}) {
	select {
	case <-moved:
		cancel()
	case <-ctx.Done():
	}
}

// pause waits a tick for a leader to be known.
func (g *Group) pause(ctx context.Context) error {
	timer := time.NewTimer(g.cfg.HeartbeatInterval / ticksPerBeat)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stopped:
		return g.failed
	}
}
