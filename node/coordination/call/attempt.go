package call

import (
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/coordination/retry"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
)

// handleResponse handles the response header of an attempt, or its failure.
func (m *Model) handleResponse(now time.Time, s *callState, a *attemptState, msg Response) []Cmd {
	if !a.awaitingResponse {
		return nil
	}
	a.awaitingResponse = false
	a.outcome = msg.Outcome
	a.notReached = msg.Outcome == attempt.NotRun && msg.Refusal.Reason != refusal.Shed
	m.recordResponse(now, s, a, msg)
	m.untrackAttempt(a)
	m.cfg.Balancer.Update(now, balancer.Condition{
		Backend: a.target.Backend, StartMillis: a.target.StartMillis, Limit: msg.Limit, Leaving: msg.Leaving,
	})
	var cmds []Cmd
	if msg.Outcome != attempt.Answered || !msg.Deliverable {
		m.endAttempt(now, a, msg.Result, msg)
	}
	if s.phase == answered {
		if !a.ended {
			cmds = append(cmds, Abort{Call: s.Call, Attempt: a.id})
		}
		return append(cmds, m.forgetIfDone(s)...)
	}
	switch msg.Outcome {
	case attempt.Answered:
		if msg.ServerError {
			if more := m.retryServerError(now, s); len(more) > 0 {
				return append(more, Abort{Call: s.Call, Attempt: a.id})
			}
		}
		return m.deliver(s, a)
	case attempt.NotRun:
		return m.handleNotRun(now, s, msg)
	case attempt.Unknown:
	}
	return m.handleUnknown(now, s, a, msg)
}

// retryServerError starts another attempt after the back end answered with a server error.
func (m *Model) retryServerError(now time.Time, s *callState) []Cmd {
	if !s.Idempotent || s.Keyed || s.phase != active || !now.Before(s.Deadline) {
		return nil
	}
	target, ok := m.pickTarget(now, s, false)
	if !ok || !m.budget(s.Service).TakeWithReserve(now, m.retryReserve(s)) {
		return nil
	}
	return m.sendTo(now, s, target)
}

// deliver passes the response of an attempt to the caller and aborts the other attempts.
func (m *Model) deliver(s *callState, a *attemptState) []Cmd {
	s.phase = answered
	cmds := []Cmd{Deliver{Call: s.Call, Attempt: a.id}}
	cmds = append(cmds, m.abortOthers(s, a.id)...)
	return append(cmds, m.forgetIfDone(s)...)
}

// handleNotRun handles an attempt that provably did not run.
func (m *Model) handleNotRun(now time.Time, s *callState, msg Response) []Cmd {
	s.recordRefusal(msg.Refusal)
	if cmds := m.retryAttempt(now, s, msg); len(cmds) > 0 {
		return cmds
	}
	return m.refuseIfFinal(s)
}

// recordRefusal keeps the newest refusal, whose reason is reported to the caller. After the deadline the reported reason
// stays the timeout, whatever the cancelled attempts return.
func (s *callState) recordRefusal(f refusal.Refusal) {
	if s.phase == expired {
		return
	}
	if f.Reason == refusal.RequestLimit && s.lastRefusal.Reason == refusal.RequestLimit {
		// The caller may come back as soon as one of the limited back ends takes a request.
		f.RetryAfter = min(f.RetryAfter, s.lastRefusal.RetryAfter)
	}
	s.lastRefusal = f
}

// handleUnknown handles an attempt that may have run.
func (m *Model) handleUnknown(now time.Time, s *callState, a *attemptState, msg Response) []Cmd {
	s.recordRefusal(msg.Refusal)
	if cmds := m.retryAttempt(now, s, msg); len(cmds) > 0 {
		return cmds
	}
	if s.phase == active && !s.Idempotent && !msg.Deliverable {
		a.cancelPending = true
		return []Cmd{Cancel{Call: s.Call, Attempt: a.id}}
	}
	return m.refuseIfFinal(s)
}

// retryAttempt starts another attempt after a failure if its kind and the retry budget allow it.
func (m *Model) retryAttempt(now time.Time, s *callState, msg Response) []Cmd {
	if s.phase != active || !now.Before(s.Deadline) || len(s.attempts) >= MaxAttempts {
		return nil
	}
	if !s.Idempotent && s.mayHaveRun() {
		return nil
	}
	failure := retry.Failure{
		Outcome:      msg.Outcome,
		Reason:       msg.Refusal.Reason,
		FailureDepth: msg.Refusal.Depth,
		Depth:        s.Depth,
		Idempotent:   s.Idempotent,
	}
	if !retry.ShouldRetry(failure) {
		return nil
	}
	target, ok := m.pickTarget(now, s, false)
	if !ok || m.isPointless(s, msg.Refusal.Reason, target) {
		return nil
	}
	// While no attempt has reached a back end, another one is not an extra attempt there.
	if free := s.FreeRefusals && s.reachedBackends() == 0; !free && !m.budget(s.Service).TakeWithReserve(now, m.retryReserve(s)) {
		return nil
	}
	return m.sendTo(now, s, target)
}

// mayHaveRun reports whether any attempt may be running or have run.
func (s *callState) mayHaveRun() bool {
	return lo.SomeBy(s.attempts, func(a *attemptState) bool { return a.outcome != attempt.NotRun })
}

// refuseIfFinal refuses the call once no response and no cancel result is outstanding that could change the outcome.
func (m *Model) refuseIfFinal(s *callState) []Cmd {
	pending := lo.SomeBy(s.attempts, func(a *attemptState) bool {
		return a.awaitingResponse || a.cancelPending && a.outcome == attempt.Unknown
	})
	if pending {
		return nil
	}
	if !s.mayHaveRun() {
		return m.refuseNotRun(s, reasonOrBroken(s.lastRefusal.Reason))
	}
	return m.refuse(s, reasonOrBroken(s.lastRefusal.Reason), attempt.Unknown)
}

func reasonOrBroken(r refusal.Reason) refusal.Reason {
	if r == refusal.None {
		return refusal.ConnectionBroken
	}
	return r
}

// cancelResult handles the result of a Cancel.
func (m *Model) cancelResult(now time.Time, s *callState, a *attemptState, notRun bool) []Cmd {
	if !a.cancelPending {
		return nil
	}
	a.cancelPending = false
	if a.outcome == attempt.Answered || s.phase == answered {
		return nil
	}
	var cmds []Cmd
	if a.awaitingResponse {
		// The cancel result arrived before the response, which is not needed any more.
		a.awaitingResponse = false
		m.endAttempt(now, a, balancer.Cancelled, Response{})
		cmds = append(cmds, Abort{Call: s.Call, Attempt: a.id})
	}
	if notRun {
		a.outcome = attempt.NotRun
		notRunResponse := Response{Outcome: attempt.NotRun, Refusal: refusal.Refusal{Reason: refusal.ConnectionBroken, Depth: s.Depth}}
		if more := m.retryAttempt(now, s, notRunResponse); len(more) > 0 {
			return append(cmds, more...)
		}
	}
	return append(cmds, m.refuseIfFinal(s)...)
}

// ended handles the end of an attempt whose response was delivered or which was aborted.
func (m *Model) ended(now time.Time, s *callState, a *attemptState, result balancer.Result) []Cmd {
	if a.awaitingResponse && result == balancer.Cancelled && a.objective > 0 && now.Sub(a.startedAt) >= a.objective {
		result = balancer.Lost // aborted because no response came within the objective
	}
	a.awaitingResponse = false
	m.endAttempt(now, a, result, Response{})
	return m.forgetIfDone(s)
}

// endAttempt reports the end of an attempt to the balancer, once.
func (m *Model) endAttempt(now time.Time, a *attemptState, result balancer.Result, msg Response) {
	if a.ended {
		return
	}
	a.ended = true
	m.untrackAttempt(a)
	m.cfg.Balancer.Update(now, balancer.End{
		Backend: a.target.Backend,
		Result:  result,
		Latency: now.Sub(a.startedAt),
		Hint:    msg.Hint,
	})
}
