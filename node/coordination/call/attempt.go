package call

import (
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/coordination/retry"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
)

// head handles the first news of an attempt.
func (m *Model) head(now time.Time, s *state, t *try, msg Response) []Cmd {
	if !t.open {
		return nil
	}
	t.open = false
	t.outcome = msg.Outcome
	t.spared = msg.Outcome == attempt.NotRun && msg.Refusal.Reason != refusal.Shed
	m.learn(now, s, t, msg)
	m.untrack(t)
	var cmds []Cmd
	if msg.Outcome != attempt.Answered || !msg.Deliverable {
		m.end(now, t, msg.Result, msg)
	}
	if s.phase == delivered {
		if !t.ended {
			cmds = append(cmds, Abort{Call: s.Call, Attempt: t.id})
		}
		return append(cmds, m.settle(s)...)
	}
	switch msg.Outcome {
	case attempt.Answered:
		if msg.ServerError {
			if more := m.better(now, s); len(more) > 0 {
				return append(more, Abort{Call: s.Call, Attempt: t.id})
			}
		}
		return m.deliver(s, t)
	case attempt.NotRun:
		return m.refused(now, s, msg)
	case attempt.Unknown:
	}
	return m.failed(now, s, t, msg)
}

// better starts an attempt in place of a failure that the back end answered.
func (m *Model) better(now time.Time, s *state) []Cmd {
	if !s.Idempotent || s.Keyed || s.phase != active || !now.Before(s.Deadline) {
		return nil
	}
	target, ok := m.pick(now, s, false)
	if !ok || !m.budget(s.Service).TakeWithReserve(now, m.reserve(s)) {
		return nil
	}
	return m.sendTo(now, s, target)
}

// deliver gives the caller the first answer and abandons the other attempts.
func (m *Model) deliver(s *state, t *try) []Cmd {
	s.phase = delivered
	cmds := []Cmd{Deliver{Call: s.Call, Attempt: t.id}}
	cmds = append(cmds, m.abort(s, t.id)...)
	return append(cmds, m.settle(s)...)
}

// refused handles a proof that the attempt did not run.
func (m *Model) refused(now time.Time, s *state, msg Response) []Cmd {
	s.note(msg.Refusal)
	if cmds := m.again(now, s, msg); len(cmds) > 0 {
		return cmds
	}
	return m.conclude(s)
}

// note keeps the newest refusal as the reason to report; past the deadline the reason is the deadline, whatever the
// cancelled attempts answer.
func (s *state) note(f refusal.Refusal) {
	if s.phase != expiring {
		s.last = f
	}
}

// failed handles an attempt that may have run.
func (m *Model) failed(now time.Time, s *state, t *try, msg Response) []Cmd {
	s.note(msg.Refusal)
	if cmds := m.again(now, s, msg); len(cmds) > 0 {
		return cmds
	}
	if s.phase == active && !s.Idempotent && !msg.Deliverable {
		t.asked = true
		return []Cmd{Cancel{Call: s.Call, Attempt: t.id}}
	}
	return m.conclude(s)
}

// again starts one more attempt if the retry budget allows it.
func (m *Model) again(now time.Time, s *state, msg Response) []Cmd {
	if s.phase != active || !now.Before(s.Deadline) || len(s.attempts) >= MaxAttempts {
		return nil
	}
	if !s.Idempotent && s.unproven() {
		return nil
	}
	failure := retry.Failure{
		Outcome:      msg.Outcome,
		Reason:       msg.Refusal.Reason,
		FailureDepth: msg.Refusal.Level,
		Depth:        s.Depth,
		Idempotent:   s.Idempotent,
	}
	if !retry.ShouldRetry(failure) {
		return nil
	}
	target, ok := m.pick(now, s, false)
	if !ok {
		return nil
	}
	// The first attempt that reaches a back end is no repeat.
	if free := s.FreeRefusals && s.reached() == 0; !free && !m.budget(s.Service).TakeWithReserve(now, m.reserve(s)) {
		return nil
	}
	return m.sendTo(now, s, target)
}

// unproven says whether an attempt may run or have run.
func (s *state) unproven() bool {
	return lo.SomeBy(s.attempts, func(t *try) bool { return t.outcome != attempt.NotRun })
}

// conclude answers the caller once no attempt can change the answer any more.
func (m *Model) conclude(s *state) []Cmd {
	pending := lo.SomeBy(s.attempts, func(t *try) bool { return t.open || t.asked && t.outcome == attempt.Unknown })
	if pending {
		return nil
	}
	if !s.unproven() {
		return m.notRun(s, reason(s.last.Reason))
	}
	return m.refuse(s, reason(s.last.Reason), attempt.Unknown)
}

func reason(r refusal.Reason) refusal.Reason {
	if r == refusal.None {
		return refusal.Broken
	}
	return r
}

// proof handles the answer to Ask.
func (m *Model) proof(now time.Time, s *state, t *try, notRun bool) []Cmd {
	if !t.asked {
		return nil
	}
	t.asked = false
	if t.outcome == attempt.Answered || s.phase == delivered {
		return nil
	}
	var cmds []Cmd
	if t.open {
		// The destination answered the cancel first; the attempt itself has nothing more to tell.
		t.open = false
		m.end(now, t, balancer.Cancelled, Response{})
		cmds = append(cmds, Abort{Call: s.Call, Attempt: t.id})
	}
	if notRun {
		t.outcome = attempt.NotRun
		head := Response{Outcome: attempt.NotRun, Refusal: refusal.Refusal{Reason: refusal.Broken, Level: s.Depth}}
		if more := m.again(now, s, head); len(more) > 0 {
			return append(cmds, more...)
		}
	}
	return append(cmds, m.conclude(s)...)
}

// ended handles the end of a delivered or abandoned body.
func (m *Model) ended(now time.Time, s *state, t *try, result balancer.Result) []Cmd {
	if t.open && result == balancer.Cancelled && t.aim > 0 && now.Sub(t.begun) >= t.aim {
		result = balancer.Lost // given up because no answer came
	}
	t.open = false
	m.end(now, t, result, Response{})
	return m.settle(s)
}

// end reports the attempt to choice once.
func (m *Model) end(now time.Time, t *try, result balancer.Result, msg Response) {
	if t.ended {
		return
	}
	t.ended = true
	m.untrack(t)
	m.cfg.Choice.Update(now, balancer.End{
		Backend: t.target.Backend,
		Result:  result,
		Latency: now.Sub(t.begun),
		Hint:    msg.Hint,
	})
}
