package probe_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/coordination/probe"
)

var epoch = time.Unix(1_000_000, 0)

// probeTime is the time that one probe took.
type probeTime struct{ start, end time.Time }

// timeInWindow returns the total probe time within one second from start.
func timeInWindow(probes map[uint64]probeTime, start time.Time) time.Duration {
	var sum time.Duration
	end := start.Add(time.Second)
	for _, s := range probes {
		from, to := s.start, s.end
		if from.Before(start) {
			from = start
		}
		if to.After(end) {
			to = end
		}
		if to.After(from) {
			sum += to.Sub(from)
		}
	}
	return sum
}

// Guards against probes that take more back-end time than the budget (I1) in any window of one second. The cases include
// probes that hang, evidence and suspicion at any rate, and a clock that steps back.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := probe.Config{
			SlotTimeShare: rapid.SampledFrom([]float64{0.005, 0.01, 0.05}).Draw(t, "share"),
			Slots:         rapid.IntRange(1, 20).Draw(t, "slots"),
			Timeout:       time.Duration(rapid.IntRange(1, 60).Draw(t, "timeout")) * time.Millisecond,
		}
		m := probe.New(cfg)
		now, latest := epoch, epoch
		probes := map[uint64]probeTime{}
		names := []string{"a", "b", "c"}
		m.Update(now, probe.Targets{Names: names})
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 60).Draw(t, "wait")) * time.Millisecond)
			if now.After(latest) {
				latest = now
			}
			name := rapid.SampledFrom(names).Draw(t, "target")
			msg := rapid.SampledFrom([]probe.Msg{
				probe.Tick{}, probe.Tick{}, probe.Suspected{Target: name}, probe.Observed{Target: name}, probe.Done{},
			}).Draw(t, "message")
			if _, ok := msg.(probe.Done); ok {
				id := uint64(rapid.IntRange(1, len(probes)+1).Draw(t, "done"))
				if s, ok := probes[id]; ok && s.end.After(latest) {
					probes[id] = probeTime{s.start, latest}
				}
				msg = probe.Done{ID: id}
			}
			for _, cmd := range m.Update(now, msg) {
				if p, ok := cmd.(probe.Start); ok {
					probes[p.ID] = probeTime{latest, p.Deadline}
				}
			}
		}
		// The window with the most probe time begins or ends with a probe.
		for _, s := range probes {
			for _, start := range []time.Time{s.start, s.end.Add(-time.Second)} {
				if got := timeInWindow(probes, start); got > m.Budget() {
					t.Fatalf("%v of probes in one second, budget %v", got, m.Budget())
				}
			}
		}
	})
}

// Guards against spending the budget on targets whose state responses have just shown.
func TestProbesTheMostUncertainTargetFirst(t *testing.T) {
	m := probe.New(probe.Config{Slots: 3})
	m.Update(epoch, probe.Observed{})
	cmds := m.Update(epoch, probe.Targets{Names: []string{"a", "b", "c"}})
	if len(cmds) != 1 {
		t.Fatalf("%d probes, want the one that a budget of 30 ms covers", len(cmds))
	}
	m.Update(epoch, probe.Done{ID: 1})
	m.Update(epoch, probe.Observed{Target: "c"})
	later := epoch.Add(2 * time.Second)
	m.Update(later.Add(-time.Second), probe.Observed{Target: "a"})
	m.Update(later.Add(-time.Second), probe.Observed{Target: "b"})
	m.Update(later.Add(-time.Second), probe.Suspected{Target: "b"})
	for _, cmd := range m.Update(later.Add(time.Second), probe.Tick{}) {
		if p, ok := cmd.(probe.Start); ok && p.Target != "b" {
			t.Fatalf("probed %q, want the suspected target", p.Target)
		}
	}
}
