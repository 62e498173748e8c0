package raftgroup

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/state/replica"
)

const (
	// firstTryHeartbeats is the timeout of the first try in heartbeat intervals. A commit takes a few milliseconds, so
	// that a silent leader is given up soon.
	firstTryHeartbeats = 2
	// maxTryDoublings bounds how often the timeout of a try doubles. It grows so that a slow disk is not flooded with
	// repeated commands.
	maxTryDoublings = 3
)

// Propose commits a command and returns its result. A follower forwards the command to the leader. Until the context
// ends, Propose waits for a leader and repeats idempotent commands whose result is missing; a repeated command gets the
// first verdict. After an error marked ErrOutcomeUnknown the command may still be applied.
func (g *Group) Propose(ctx context.Context, cmd replica.Command) (replica.Result, error) {
	if cmd.ProposedAt.IsZero() {
		cmd.ProposedAt = g.cfg.Now()
	}
	outcomeUnknown := false
	for n := 0; ; n++ {
		res, err := g.proposeOnce(ctx, cmd, n)
		if err == nil {
			return res, nil
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, ErrOutcomeUnknown)
		if g.shouldRetry(ctx, cmd, err) {
			err = errors.CombineErrors(g.waitTick(ctx), err)
			if ctx.Err() == nil && g.Err() == nil {
				continue
			}
		}
		if outcomeUnknown {
			err = errors.Mark(err, ErrOutcomeUnknown)
		}
		return replica.Result{}, err
	}
}

// shouldRetry reports whether the command may be proposed again after err.
func (g *Group) shouldRetry(ctx context.Context, cmd replica.Command, err error) bool {
	var redirect *NotLeaderError
	switch {
	case ctx.Err() != nil || g.Err() != nil:
		return false
	case errors.Is(err, ErrSuperseded):
		return true
	case errors.As(err, &redirect):
		return g.cfg.Forward != nil
	case errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled):
		return isIdempotent(cmd)
	}
	return false
}

// isIdempotent reports whether applying the command twice has the same effect as applying it once.
func isIdempotent(cmd replica.Command) bool {
	return cmd.Kind != replica.CommandJoin && cmd.Kind != replica.CommandLeave
}

// proposeOnce makes try n, counted from 0, at this member or, if it is not the leader, at the leader.
func (g *Group) proposeOnce(ctx context.Context, cmd replica.Command, n int) (replica.Result, error) {
	if isIdempotent(cmd) {
		tryCtx, cancel := context.WithTimeout(ctx, firstTryHeartbeats*g.cfg.HeartbeatInterval<<min(n, maxTryDoublings))
		defer cancel()
		go cancelWhenClosed(tryCtx, cancel, *g.leaderChanged.Load())
		ctx = tryCtx
	}
	res, err := g.submit(ctx, consensus.Propose{Command: cmd})
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

// cancelWhenClosed calls cancel when ch is closed, unless ctx ends before.
func cancelWhenClosed(ctx context.Context, cancel context.CancelFunc, ch <-chan struct{}) {
	select {
	case <-ch:
		cancel()
	case <-ctx.Done():
	}
}

// waitTick waits for one tick, in which a leader may become known.
func (g *Group) waitTick(ctx context.Context) error {
	timer := time.NewTimer(g.cfg.HeartbeatInterval / ticksPerHeartbeat)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stopped:
		return g.err
	}
}
