package choice_test

import (
	"testing"
	"time"

	"pollenhill.example/core/coordination/choice"
	"pollenhill.example/core/protocol/hint"
)

// Pattern: back ends share their machines, which slow them down for spells of similar length. A back end that has been
// fast for almost as long as such spells last slows down while it works on the next request.

// swings reports speeds of b0 that change every 150 ms, so that the model learns how long they last, and ends with a
// change to fast at the returned time.
func swings(m *choice.Model) time.Time {
	at := epoch
	for i := range 80 {
		h := hint.Hint{Inflight: 3, Limit: 12, Pace: 1}
		if i%2 == 0 {
			h.Pace = 5
		}
		for range 3 {
			m.Update(at, choice.Report{Backend: "b0", Hint: h})
			at = at.Add(50 * time.Millisecond)
		}
	}
	return at.Add(-150 * time.Millisecond)
}

// Guards against a choice between fast back ends that leaves out how soon they slow down, which made one request in
// seven late.
func TestQuickestPrefersNewSpells(t *testing.T) {
	m := pooled(t, func(int, *choice.Target, *hint.Hint) {})
	start := swings(m)
	now := start.Add(100 * time.Millisecond)
	fast := hint.Hint{Inflight: 3, Limit: 12, Pace: 1}
	slow := hint.Hint{Inflight: 3, Limit: 12, Pace: 5}
	for _, name := range []string{"b1", "b2", "b3"} {
		m.Update(now.Add(-30*time.Millisecond), choice.Report{Backend: name, Hint: slow})
	}
	m.Update(now.Add(-10*time.Millisecond), choice.Report{Backend: "b1", Hint: fast})
	m.Update(now, choice.Report{Backend: "b0", Hint: fast})
	picks := map[string]int{}
	for range 1000 {
		target, _ := m.Pick(now, choice.Query{Service: "s", Work: 85 * time.Millisecond})
		picks[target.Backend]++
	}
	if picks["b1"] < 950 {
		t.Errorf("picks %v, want those of b1, which has just turned fast", picks)
	}
	short := map[string]int{}
	for range 1000 {
		target, _ := m.Pick(now, choice.Query{Service: "s", Work: 10 * time.Millisecond})
		short[target.Backend]++
	}
	if short["b0"] < 300 {
		t.Errorf("picks %v, want a share for b0, whose spell outlasts a short request", short)
	}
}
