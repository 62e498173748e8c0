package admission

import (
	"time"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
)

// Model is the admission state of one back end; it is not safe for concurrent use.
type Model struct {
	limits  Limits
	state   State
	started map[attempt.ID]time.Time
}

// New returns a Model with no back end.
func New(limits Limits) *Model {
	return &Model{limits: limits, started: map[attempt.ID]time.Time{}}
}

// Update applies one message at the given time and returns the effects.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case Arrive:
		return m.arrive(now, msg)
	case Cancel:
		return m.cancel(msg)
	case Done:
		delete(m.started, msg.ID)
	case Backend:
		m.state = msg.State
	case Limits:
		m.limits = msg
	}
	return nil
}

func (m *Model) arrive(now time.Time, msg Arrive) []Cmd {
	if reason := m.refusal(now, msg); reason != refusal.None {
		return []Cmd{Refuse{ID: msg.ID, Reason: reason, After: time.Second}}
	}
	m.started[msg.ID] = now
	return []Cmd{Start{ID: msg.ID}}
}

func (m *Model) refusal(now time.Time, msg Arrive) refusal.Reason {
	switch {
	case m.limits.Reason != refusal.None:
		return m.limits.Reason
	case m.state == Absent:
		return refusal.Absent
	case m.state == Draining:
		return refusal.Draining
	case m.state == Leaving:
		return refusal.Leaving
	case !now.Before(msg.Deadline):
		return refusal.Late
	case len(m.started) >= m.cap():
		return refusal.Full
	}
	return refusal.None
}

func (m *Model) cancel(msg Cancel) []Cmd {
	if _, ok := m.started[msg.ID]; ok {
		return []Cmd{Running(msg)}
	}
	return []Cmd{Cancelled(msg)}
}

func (m *Model) cap() int {
	if m.state == Cold {
		return m.limits.Cold
	}
	return m.limits.Slots
}

// View returns the figures for hints and metrics.
func (m *Model) View() View {
	return View{
		Hint:  hint.Hint{Inflight: len(m.started), Limit: m.cap()},
		State: m.state,
		Cap:   m.cap(),
	}
}
