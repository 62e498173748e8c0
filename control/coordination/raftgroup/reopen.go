package raftgroup

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/state/replica"
)

// reopenDelay is the delay between attempts to open the data folder again.
const reopenDelay = 250 * time.Millisecond

// isRecoverableDiskError reports whether a write was refused, for example by a full disk. Synced data is intact then, and
// the data folder can be opened again once there is space. After any other disk error the member stops.
func isRecoverableDiskError(err error) bool {
	return errors.IsAny(err, syscall.ENOSPC, syscall.EDQUOT, syscall.EIO)
}

// reopen restarts the engine from the data folder after a recoverable disk error, and returns nil once it runs; it does
// so only in a group with dynamic membership, and otherwise returns cause.
func (l *loop) reopen(cause error) error {
	g := l.group
	if g.cfg.MaxVoters == 0 || !isRecoverableDiskError(cause) {
		return cause
	}
	if err := g.engine.Close(); err != nil {
		return errors.CombineErrors(cause, err)
	}
	l.failPending(cause)
	for {
		if err := l.rejectForReopenDelay(cause); err != nil {
			return err
		}
		e, err := consensus.Open(g.engineConfig(), g.cfg.Now())
		if err == nil {
			g.mu.Lock()
			g.engine = e
			g.mu.Unlock()
			l.appliedIndex = 0
			return nil
		}
		if !isRecoverableDiskError(err) {
			return err
		}
	}
}

// failPending ends the requests in progress with ErrOutcomeUnknown.
func (l *loop) failPending(cause error) {
	for token, r := range l.pending {
		r.reply <- consensus.Outcome{Token: token, Err: errors.Mark(cause, ErrOutcomeUnknown)}
	}
	l.pending = map[uint64]*request{}
	l.inputs = nil
}

// rejectForReopenDelay waits for reopenDelay; it ends requests with NotLeaderError and drops messages, as if the process
// were down. It returns ErrClosed if the member is closed meanwhile.
func (l *loop) rejectForReopenDelay(cause error) error {
	timer := time.NewTimer(reopenDelay)
	defer timer.Stop()
	for {
		select {
		case <-l.group.quit:
			return ErrClosed
		case <-timer.C:
			return nil
		case r := <-l.group.queue:
			r.reply <- consensus.Outcome{Result: replica.Result{}, Err: errors.CombineErrors(&NotLeaderError{}, cause)}
		case raw := <-l.group.inbox.messages:
			l.group.inbox.taken(raw)
		}
	}
}
