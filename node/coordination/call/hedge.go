package call

import (
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/coordination/retry"
	"pollenhill.example/core/coordination/servicetime"
)

// Pattern: a request keeps the speed that its back end had when it began, and nodes seldom learn that it began slow. One
// that takes longer than its route usually does was probably slow from the start, and is sent to a fast back end while
// that one can still meet the aim.

const (
	// hedgeShare is the part of the aim before which no call is hedged, and at which it is if the usual time of its route
	// is not known.
	hedgeShare = 0.5
	// checkShare is the part of the aim between two looks at a request that has taken longer than that.
	checkShare = 0.125
	// doubt is the part of the usual time after which a request counts as begun slow.
	doubt = 1.5
	// leastLeft is the part of the usual time that a request has left at least while it has no answer.
	leastLeft = 0.25
	// overdue is the part of the usual time after which a request counts as stuck.
	overdue = 3
	// hedgeDoubt is the factor on the expected rest that makes a miss likely enough for a hedge.
	hedgeDoubt = 1.2
	// spareSpan is the factor on the usual time at a fast back end, for the way there and its other work.
	spareSpan = 1.15
	// startDoubt is how long after the start of an attempt a report of another speed may tell that of its start.
	startDoubt = 20 * time.Millisecond
	// odd is the factor over the usual time above which an answer says nothing about it.
	odd = 3
)

// hedgeAt returns when a call that starts now is looked at for a hedge first, zero for never.
func (m *Model) hedgeAt(now time.Time, s *state) time.Time {
	if s.Keyed || !retry.MayHedge(s.Depth, s.Idempotent) {
		return time.Time{}
	}
	if s.Objective > 0 {
		return now.Add(max(time.Duration(hedgeShare*float64(s.Objective)), time.Duration(doubt*float64(m.works[s.Route]))))
	}
	if d, ok := m.budget(s.Service).HedgeDelay(now); ok {
		return now.Add(d)
	}
	return time.Time{}
}

// hedgeDue decides about a hedge when the time of hedgeAt has come.
func (m *Model) hedgeDue(now time.Time, s *state) []Cmd {
	s.hedge = time.Time{}
	var cmds []Cmd
	if m.wanted(now, s) {
		cmds = m.startHedge(now, s)
	}
	if s.Objective > 0 && !s.hedged {
		s.hedge = now.Add(time.Duration(checkShare * float64(s.Objective)))
	}
	return append(cmds, s.wake())
}

// wanted says whether a hedge is worth its cost, as far as the usual time of the route tells.
func (m *Model) wanted(now time.Time, s *state) bool {
	if _, known := m.works[s.Route]; !known || s.Objective == 0 {
		return true
	}
	t, only := s.only()
	return only && m.misses(now, s, t)
}

// startHedge sends the hedge of a call if the budget allows it and a back end can take it.
func (m *Model) startHedge(now time.Time, s *state) []Cmd {
	target, ok := m.pickSpare(now, s)
	if !ok || !m.budget(s.Service).TakeHedgeWithReserve(now, m.reserve(s)) {
		return nil
	}
	s.hedged = true
	return m.sendTo(now, s, target)
}

// ReportHint takes a hint that came without a response; calls whose back end was slow at their start may start a hedge.
func (m *Model) ReportHint(now time.Time, msg balancer.LoadReport) []Cmd {
	m.cfg.Choice.Update(now, msg)
	speed := m.cfg.Choice.Slowdown(now, msg.Backend)
	var cmds []Cmd
	for _, t := range m.running[msg.Backend] {
		if speed > t.pace && now.Sub(t.begun) <= startDoubt {
			t.pace = speed
			cmds = append(cmds, m.slowed(now, m.owners[t.id], t)...)
		}
	}
	return cmds
}

// slowed starts a hedge for a call whose only attempt will miss its aim.
func (m *Model) slowed(now time.Time, s *state, t *try) []Cmd {
	if s.hedge.IsZero() || s.Objective == 0 || s.phase != active {
		return nil
	}
	if open, only := s.only(); !only || open != t || !m.misses(now, s, t) {
		return nil
	}
	cmds := m.startHedge(now, s)
	if len(cmds) == 0 {
		return nil
	}
	s.hedge = time.Time{}
	return append(cmds, s.wake())
}

// only returns the open attempt of a call that has no other and no hedge.
func (s *state) only() (*try, bool) {
	open := lo.Filter(s.attempts, func(t *try, _ int) bool { return t.open })
	if s.hedged || len(open) != 1 {
		return nil, false
	}
	return open[0], true
}

// misses says whether an attempt is expected to end after the aim of its call while another one that starts now would
// not. A stuck attempt misses, too, as long as another one can end before the deadline.
func (m *Model) misses(now time.Time, s *state, t *try) bool {
	usual, known := m.works[s.Route]
	if !known {
		return false
	}
	goal := s.begun.Add(s.Objective - s.Waited)
	other := now.Add(time.Duration(spareSpan * float64(servicetime.Expected(usual, 1))))
	took := now.Sub(t.begun)
	if float64(took) > overdue*float64(usual) {
		return !other.After(s.Deadline)
	}
	if other.After(goal) {
		return false
	}
	if float64(took) >= doubt*float64(usual) {
		return true
	}
	left := max(servicetime.Expected(usual, t.pace)-took, time.Duration(leastLeft*float64(usual)))
	return now.Add(time.Duration(hedgeDoubt * float64(left))).After(goal)
}

// track adds an attempt to those that follow the speed of its back end.
func (m *Model) track(now time.Time, t *try) {
	t.pace = m.cfg.Choice.Slowdown(now, t.target.Backend)
	m.running[t.target.Backend] = append(m.running[t.target.Backend], t)
}

// untrack removes an attempt that has an answer or is given up.
func (m *Model) untrack(t *try) {
	rest := lo.Without(m.running[t.target.Backend], t)
	if len(rest) == 0 {
		delete(m.running, t.target.Backend)
		return
	}
	m.running[t.target.Backend] = rest
}
