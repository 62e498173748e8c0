package balancer_test

import (
	"testing"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/state/rule"
)

// pooled returns a model of a pool with fresh reports, changed by edit.
func pooled(t *testing.T, edit func(i int, target *balancer.Target, h *hint.Hint)) *balancer.Model {
	t.Helper()
	set, err := rule.Parse("format 1\nchange 1 # a: b\npool s # a: b\n")
	if err != nil {
		t.Fatal(err)
	}
	ts := targets("a", "a", "a", "b")
	hints := make([]hint.Hint, len(ts))
	for i := range ts {
		hints[i] = hint.Hint{Inflight: 3, Limit: 12, Pace: 1}
		edit(i, &ts[i], &hints[i])
	}
	m := model(ts)
	m.Update(epoch, balancer.Rules{Set: set})
	for i, h := range hints {
		m.Update(epoch, balancer.LoadReport{Backend: ts[i].Backend, Hint: h})
	}
	return m
}

// Guards against work for back ends that would take longer, each for its own reason: a slow moment, a queue, failures
// with good checks, a cold start, another zone. Some work may go there, the share of equal ones may not.
func TestQuickestAvoids(t *testing.T) {
	for name, edit := range map[string]func(target *balancer.Target, h *hint.Hint){
		"slow":    func(_ *balancer.Target, h *hint.Hint) { h.Pace = 5 },
		"queue":   func(_ *balancer.Target, h *hint.Hint) { h.Inflight, h.Queued = 12, 12 },
		"failing": func(_ *balancer.Target, h *hint.Hint) { h.Faults = 0.5 },
		"cold":    func(target *balancer.Target, _ *hint.Hint) { target.State = admission.Cold },
	} {
		t.Run(name, func(t *testing.T) {
			m := pooled(t, func(i int, target *balancer.Target, h *hint.Hint) {
				if i == 0 {
					edit(target, h)
				}
			})
			if got := shares(m, epoch.Add(10*time.Millisecond))["b0"]; got > 50 {
				t.Errorf("%d of 1000 picks", got)
			}
		})
	}
}

// Guards against entry nodes that all choose the same back end by the same reports.
func TestQuickestSpreads(t *testing.T) {
	m := pooled(t, func(int, *balancer.Target, *hint.Hint) {})
	got := shares(m, epoch.Add(10*time.Millisecond))
	for _, b := range []string{"b0", "b1", "b2"} {
		if got[b] < 200 {
			t.Errorf("shares %v", got)
		}
	}
}

// Guards against large answers that cross zones while the own zone has room, and against an own zone that is kept
// although it is slow.
func TestLargeAnswersStayInTheZone(t *testing.T) {
	for _, tt := range []struct {
		name string
		pace float64
		far  bool
	}{{"own zone at its speed", 1, false}, {"own zone slow", 5, true}} {
		m := pooled(t, func(i int, _ *balancer.Target, h *hint.Hint) {
			h.Inflight = 0
			if i < 3 {
				h.Inflight, h.Pace = 6, tt.pace
			}
		})
		target, _ := m.Pick(epoch, balancer.Query{Service: "s", ResponseBytes: 90_000})
		if (target.Zone == "b") != tt.far {
			t.Errorf("%s: picked %+v", tt.name, target)
		}
	}
}

// Pattern: many back ends in each zone under load. Guards against requests that leave a zone with a choice of its own,
// for which a played day paid with a third more late requests, and against a zone with one back end that keeps all.
func TestZoneWithAChoiceKeepsItsRequests(t *testing.T) {
	far := func(near int) int {
		m := pooled(t, func(i int, target *balancer.Target, _ *hint.Hint) {
			target.Zone = "a"
			if i >= near {
				target.Zone = "b"
			}
		})
		n := 0
		for range 1000 {
			if target, _ := m.Pick(epoch, balancer.Query{Service: "s"}); target.Zone == "b" {
				n++
			}
		}
		return n
	}
	if got := far(3); got > 50 {
		t.Errorf("%d of 1000 picks leave a zone with three equal back ends", got)
	}
	if got := far(1); got < 200 {
		t.Errorf("%d of 1000 picks leave a zone with one of four equal back ends", got)
	}
}

// Guards against a silent node that keeps its share until every request to it has failed.
func TestSilentNodeIsLeft(t *testing.T) {
	m := pooled(t, func(int, *balancer.Target, *hint.Hint) {})
	now := epoch.Add(time.Second)
	for _, b := range []string{"b1", "b2", "b3"} {
		m.Update(now, balancer.LoadReport{Backend: b, Hint: hint.Hint{Limit: 12, Pace: 1}})
	}
	if got := shares(m, now)["b0"]; got > 0 {
		t.Errorf("%d of 1000 picks of a node that is silent for a second", got)
	}
}

// Guards against hedges that load back ends without room or speed.
func TestHedgesNeedRoom(t *testing.T) {
	m := pooled(t, func(i int, _ *balancer.Target, h *hint.Hint) {
		switch i {
		case 0:
			h.Pace = 3
		case 1:
			h.Inflight = 11
		case 2:
			h.Pace = 5
		case 3:
			h.Queued = 20
		}
	})
	if target, ok := m.Pick(epoch, balancer.Query{Service: "s", SpareCapacityOnly: true}); ok {
		t.Errorf("hedge to %+v", target)
	}
}

// Guards against a report that is believed without doubt until it is dropped: the older it is, the more likely the back
// end has changed its speed.
func TestOldReportsOfSpeedFade(t *testing.T) {
	m := pooled(t, func(i int, _ *balancer.Target, h *hint.Hint) {
		if i == 0 {
			h.Pace = 5
		}
	})
	before := m.Slowdown(epoch, "b0")
	for age := 50 * time.Millisecond; age <= 400*time.Millisecond; age += 50 * time.Millisecond {
		now := m.Slowdown(epoch.Add(age), "b0")
		if now >= before || m.Slowdown(epoch.Add(age), "b1") <= 1 {
			t.Errorf("pace %v after %v, %v before", now, age, before)
		}
		before = now
	}
}

// Guards against a back end that refuses a request as slow although no other one is fast and has room.
func TestOthersAreFastAndHaveRoom(t *testing.T) {
	m := pooled(t, func(i int, _ *balancer.Target, h *hint.Hint) {
		switch i {
		case 1:
			h.Pace = 5
		case 2:
			h.Inflight = 12
		}
	})
	target, _ := m.Pick(epoch, balancer.Query{Service: "s"})
	if target.Observed.FastAlternatives != 1 {
		t.Errorf("%d others of %s, want 1", target.Observed.FastAlternatives, target.Backend)
	}
}
