package call

import (
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/coordination/retry"
	"pollenhill.example/core/coordination/servicetime"
)

const (
	// minHedgeDelayShare is the share of the latency objective before which no call is hedged. If the usual service time
	// of its route is not known, the call is hedged at this time.
	minHedgeDelayShare = 0.5
	// hedgeCheckShare is the share of the latency objective between two hedge checks after the first one.
	hedgeCheckShare = 0.125
	// slowFactor is the multiple of the usual service time after which an attempt counts as slow from its start.
	slowFactor = 1.5
	// minLeftFactor is the least time that an unanswered attempt is expected to take yet, as a multiple of the usual
	// service time.
	minLeftFactor = 0.25
	// stuckFactor is the multiple of the usual service time after which an attempt counts as stuck.
	stuckFactor = 3
	// missMargin scales the expected remaining time of an attempt in the check whether it will miss the objective.
	missMargin = 1.2
	// hedgeTimeFactor scales the usual service time to the expected time of a hedge at a fast back end, to allow for the
	// network and for other requests there.
	hedgeTimeFactor = 1.15
	// startReportWindow is how long after the start of an attempt a reported slowdown may still be the one at its start.
	startReportWindow = 20 * time.Millisecond
	// outlierFactor is the multiple of the usual service time above which a response does not count as a sample of it.
	outlierFactor = 3
)

// firstHedgeCheck returns when a call that starts now is first checked for a hedge, or the zero time for never.
func (m *Model) firstHedgeCheck(now time.Time, s *callState) time.Time {
	if s.Keyed || !retry.MayHedge(s.Depth, s.Idempotent) {
		return time.Time{}
	}
	if s.Objective > 0 {
		return now.Add(max(time.Duration(minHedgeDelayShare*float64(s.Objective)), time.Duration(slowFactor*float64(m.serviceTimes[s.Route]))))
	}
	if d, ok := m.budget(s.Service).HedgeDelay(now); ok {
		return now.Add(d)
	}
	return time.Time{}
}

// checkHedge starts a hedge if one is wanted and possible, and otherwise schedules the next check of a call with a
// latency objective.
func (m *Model) checkHedge(now time.Time, s *callState) []Cmd {
	s.nextHedgeCheck = time.Time{}
	var cmds []Cmd
	if m.hedgeWanted(now, s) {
		cmds = m.startHedge(now, s)
	}
	if s.Objective > 0 && !s.hedgeSent {
		s.nextHedgeCheck = now.Add(time.Duration(hedgeCheckShare * float64(s.Objective)))
	}
	return append(cmds, s.setTimer())
}

// hedgeWanted reports whether a hedge of a call is worth its cost, because the only attempt will miss the latency
// objective. Without an objective or a known service time, the time of the check alone decides.
func (m *Model) hedgeWanted(now time.Time, s *callState) bool {
	if _, known := m.serviceTimes[s.Route]; !known || s.Objective == 0 {
		return true
	}
	a, only := s.onlyAttempt()
	return only && m.willMissObjective(now, s, a)
}

// startHedge sends the hedge of a call if the retry budget allows it and a suitable back end exists.
func (m *Model) startHedge(now time.Time, s *callState) []Cmd {
	target, ok := m.pickHedgeTarget(now, s)
	if !ok || !m.budget(s.Service).TakeHedgeWithReserve(now, m.retryReserve(s)) {
		return nil
	}
	s.hedgeSent = true
	return m.sendTo(now, s, target)
}

// ReportHint applies a load hint that arrived without a response. Attempts that have just started at a back end that the
// hint shows to be slow may be hedged.
func (m *Model) ReportHint(now time.Time, msg balancer.LoadReport) []Cmd {
	m.cfg.Balancer.Update(now, msg)
	slowdown := m.cfg.Balancer.Slowdown(now, msg.Backend)
	var cmds []Cmd
	for _, a := range m.outstandingByBackend[msg.Backend] {
		if slowdown > a.slowdown && now.Sub(a.startedAt) <= startReportWindow {
			a.slowdown = slowdown
			cmds = append(cmds, m.hedgeIfSlowed(now, m.callsByAttempt[a.id], a)...)
		}
	}
	return cmds
}

// hedgeIfSlowed starts a hedge for a call whose only attempt will miss the latency objective.
func (m *Model) hedgeIfSlowed(now time.Time, s *callState, a *attemptState) []Cmd {
	if s.nextHedgeCheck.IsZero() || s.Objective == 0 || s.phase != active {
		return nil
	}
	if outstanding, only := s.onlyAttempt(); !only || outstanding != a || !m.willMissObjective(now, s, a) {
		return nil
	}
	cmds := m.startHedge(now, s)
	if len(cmds) == 0 {
		return nil
	}
	s.nextHedgeCheck = time.Time{}
	return append(cmds, s.setTimer())
}

// onlyAttempt returns the outstanding attempt of a call, or false if there is not exactly one or a hedge was sent.
func (s *callState) onlyAttempt() (*attemptState, bool) {
	outstanding := lo.Filter(s.attempts, func(a *attemptState, _ int) bool { return a.awaitingResponse })
	if s.hedgeSent || len(outstanding) != 1 {
		return nil, false
	}
	return outstanding[0], true
}

// willMissObjective reports whether an attempt is expected to miss the latency objective of its call while a hedge that
// starts now would meet it. It is also true for a stuck attempt if a hedge can end before the deadline.
func (m *Model) willMissObjective(now time.Time, s *callState, a *attemptState) bool {
	usual, known := m.serviceTimes[s.Route]
	if !known {
		return false
	}
	objectiveAt := s.startedAt.Add(s.Objective - s.Waited)
	hedgeEnd := now.Add(time.Duration(hedgeTimeFactor * float64(servicetime.Expected(usual, 1))))
	took := now.Sub(a.startedAt)
	if float64(took) > stuckFactor*float64(usual) {
		return !hedgeEnd.After(s.Deadline)
	}
	if hedgeEnd.After(objectiveAt) {
		return false
	}
	if float64(took) >= slowFactor*float64(usual) {
		return true
	}
	left := max(servicetime.Expected(usual, a.slowdown)-took, time.Duration(minLeftFactor*float64(usual)))
	return now.Add(time.Duration(missMargin * float64(left))).After(objectiveAt)
}

// trackAttempt records the slowdown of the back end at the start of an attempt and lets later hints correct it.
func (m *Model) trackAttempt(now time.Time, a *attemptState) {
	a.slowdown = m.cfg.Balancer.Slowdown(now, a.target.Backend)
	m.outstandingByBackend[a.target.Backend] = append(m.outstandingByBackend[a.target.Backend], a)
}

// untrackAttempt removes an attempt that has a response or was given up.
func (m *Model) untrackAttempt(a *attemptState) {
	rest := lo.Without(m.outstandingByBackend[a.target.Backend], a)
	if len(rest) == 0 {
		delete(m.outstandingByBackend, a.target.Backend)
		return
	}
	m.outstandingByBackend[a.target.Backend] = rest
}
