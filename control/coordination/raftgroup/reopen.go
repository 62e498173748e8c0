package raftgroup

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/state/replica"
)

// reopenPause is the wait before the data folder is opened again.
const reopenPause = 250 * time.Millisecond

// full reports whether a write was refused: what was synced before is as it was, and the
// folder can be opened again once there is room. After any other error of the disk the member stops.
func full(err error) bool {
	return errors.IsAny(err, syscall.ENOSPC, syscall.EDQUOT, syscall.EIO)
}

// reopen starts the member of a group without operators again from its folder; it returns nil once it runs.
func (l *loop) reopen(cause error) error {
	g := l.g
	if g.cfg.MaxVoters == 0 || !full(cause) {
		return cause
	}
	if err := g.engine.Close(); err != nil {
		return errors.CombineErrors(cause, err)
	}
	l.abandon(cause)
	for {
		if err := l.idle(cause); err != nil {
			return err
		}
		e, err := consensus.Open(g.engineConfig(), g.cfg.Now())
		if err == nil {
			g.mu.Lock()
			g.engine = e
			g.mu.Unlock()
			l.applied = 0
			return nil
		}
		if !full(err) {
			return err
		}
	}
}

// abandon answers the requests in progress, whose outcome is unknown.
func (l *loop) abandon(cause error) {
	for token, r := range l.waiting {
		r.reply <- consensus.Outcome{Token: token, Err: errors.Mark(cause, ErrOutcomeUnknown)}
	}
	l.waiting = map[uint64]*request{}
	l.inputs = nil
}

// idle answers requests that come meanwhile and drops messages, as a process that is down would.
func (l *loop) idle(cause error) error {
	timer := time.NewTimer(reopenPause)
	defer timer.Stop()
	for {
		select {
		case <-l.g.quit:
			return ErrClosed
		case <-timer.C:
			return nil
		case r := <-l.g.queue:
			r.reply <- consensus.Outcome{Result: replica.Result{}, Err: errors.CombineErrors(&NotLeaderError{}, cause)}
		case <-l.g.inbox:
		}
	}
}
