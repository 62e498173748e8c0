package balancer_test

import (
	"testing"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/state/rule"
)

// newPoolModel returns a model of a pool of four back ends with fresh hints; edit may change each target and hint.
func newPoolModel(t *testing.T, edit func(i int, target *balancer.Target, h *hint.Hint)) *balancer.Model {
	t.Helper()
	set, err := rule.Parse("format 1\nchange 1 # a: b\npool s # a: b\n")
	if err != nil {
		t.Fatal(err)
	}
	ts := newTargets("a", "a", "a", "b")
	hints := make([]hint.Hint, len(ts))
	for i := range ts {
		hints[i] = hint.Hint{Inflight: 3, Limit: 12, Slowdown: 1}
		edit(i, &ts[i], &hints[i])
	}
	m := newModel(ts)
	m.Update(epoch, balancer.Rules{Set: set})
	for i, h := range hints {
		m.Update(epoch, balancer.LoadReport{Backend: ts[i].Backend, Hint: h})
	}
	return m
}

// Guards against a full share of the picks for a back end that takes longer: because of a slowdown, a queue, failures that
// health checks do not show, or a cold start. A small share may go there.
func TestPoolAvoidsSlowTargets(t *testing.T) {
	for name, edit := range map[string]func(target *balancer.Target, h *hint.Hint){
		"slow":    func(_ *balancer.Target, h *hint.Hint) { h.Slowdown = 5 },
		"queue":   func(_ *balancer.Target, h *hint.Hint) { h.Inflight, h.Queued = 12, 12 },
		"failing": func(_ *balancer.Target, h *hint.Hint) { h.FailureShare = 0.5 },
		"cold":    func(target *balancer.Target, _ *hint.Hint) { target.State = admission.Cold },
	} {
		t.Run(name, func(t *testing.T) {
			m := newPoolModel(t, func(i int, target *balancer.Target, h *hint.Hint) {
				if i == 0 {
					edit(target, h)
				}
			})
			if got := pickCounts(m, epoch.Add(10*time.Millisecond))["b0"]; got > 50 {
				t.Errorf("%d of 1000 picks", got)
			}
		})
	}
}

// Guards against entry nodes with the same hints that all pick the same back end.
func TestPoolSpreadsEqualTargets(t *testing.T) {
	m := newPoolModel(t, func(int, *balancer.Target, *hint.Hint) {})
	got := pickCounts(m, epoch.Add(10*time.Millisecond))
	for _, b := range []string{"b0", "b1", "b2"} {
		if got[b] < 200 {
			t.Errorf("shares %v", got)
		}
	}
}

// Guards against large responses from another zone while the own zone has free slots, and against picking the own zone
// although it is slow.
func TestLargeResponsesStayInZone(t *testing.T) {
	for _, tt := range []struct {
		name      string
		slowdown  float64
		otherZone bool
	}{{"own zone at normal speed", 1, false}, {"own zone slow", 5, true}} {
		m := newPoolModel(t, func(i int, _ *balancer.Target, h *hint.Hint) {
			h.Inflight = 0
			if i < 3 {
				h.Inflight, h.Slowdown = 6, tt.slowdown
			}
		})
		target, _ := m.Pick(epoch, balancer.Query{Service: "s", ResponseBytes: 90_000})
		if (target.Zone == "b") != tt.otherZone {
			t.Errorf("%s: picked %+v", tt.name, target)
		}
	}
}

// Guards against picking another zone although the own zone has several back ends under load, which made a third more
// requests late in a simulated day, and against a zone with a single back end that gets all requests of its entry nodes.
func TestZonePenaltyGrowsWithLocalTargets(t *testing.T) {
	leaving := func(local int) int {
		m := newPoolModel(t, func(i int, target *balancer.Target, _ *hint.Hint) {
			target.Zone = "a"
			if i >= local {
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
	if got := leaving(3); got > 50 {
		t.Errorf("%d of 1000 picks leave a zone with three equal back ends", got)
	}
	if got := leaving(1); got < 200 {
		t.Errorf("%d of 1000 picks leave a zone with one of four equal back ends", got)
	}
}

// Guards against a node without recent hints that keeps its share until every request to it has failed.
func TestSilentNodeIsAvoided(t *testing.T) {
	m := newPoolModel(t, func(int, *balancer.Target, *hint.Hint) {})
	now := epoch.Add(time.Second)
	for _, b := range []string{"b1", "b2", "b3"} {
		m.Update(now, balancer.LoadReport{Backend: b, Hint: hint.Hint{Limit: 12, Slowdown: 1}})
	}
	if got := pickCounts(m, now)["b0"]; got > 0 {
		t.Errorf("%d of 1000 picks of a node without hints for a second", got)
	}
}

// Guards against hedges to back ends that are slow or near their concurrency limit.
func TestHedgesNeedSpareCapacity(t *testing.T) {
	m := newPoolModel(t, func(i int, _ *balancer.Target, h *hint.Hint) {
		switch i {
		case 0:
			h.Slowdown = 3
		case 1:
			h.Inflight = 11
		case 2:
			h.Slowdown = 5
		case 3:
			h.Queued = 20
		}
	})
	if target, ok := m.Pick(epoch, balancer.Query{Service: "s", SpareCapacityOnly: true}); ok {
		t.Errorf("hedge to %+v", target)
	}
}

// Guards against a slowdown that keeps its full weight until it is dropped: the older the hint, the more likely the back end
// has changed its speed since.
func TestSlowdownDecaysWithAge(t *testing.T) {
	m := newPoolModel(t, func(i int, _ *balancer.Target, h *hint.Hint) {
		if i == 0 {
			h.Slowdown = 5
		}
	})
	before := m.Slowdown(epoch, "b0")
	for age := 50 * time.Millisecond; age <= 400*time.Millisecond; age += 50 * time.Millisecond {
		now := m.Slowdown(epoch.Add(age), "b0")
		if now >= before || m.Slowdown(epoch.Add(age), "b1") <= 1 {
			t.Errorf("slowdown %v after %v, %v before", now, age, before)
		}
		before = now
	}
}

// Guards against a back end that refuses a request for its slowdown although no other one is fast and has a free slot.
func TestFastAlternativesHaveFreeSlots(t *testing.T) {
	m := newPoolModel(t, func(i int, _ *balancer.Target, h *hint.Hint) {
		switch i {
		case 1:
			h.Slowdown = 5
		case 2:
			h.Inflight = 12
		}
	})
	target, _ := m.Pick(epoch, balancer.Query{Service: "s"})
	if target.Observed.FastAlternatives != 1 {
		t.Errorf("%d alternatives to %s, want 1", target.Observed.FastAlternatives, target.Backend)
	}
}

// Guards against requests that are refused first at a back end whose destination node admits nothing, because the control
// processes that would say so are away.
func TestPoolAvoidsBackendThatAdmitsNothing(t *testing.T) {
	m := newPoolModel(t, func(i int, _ *balancer.Target, h *hint.Hint) {
		if i == 0 {
			h.Inflight, h.Limit = 0, 0
		} else {
			h.Inflight = 13
		}
	})
	if got := pickCounts(m, epoch.Add(10*time.Millisecond))["b0"]; got > 0 {
		t.Errorf("%d of 1000 picks", got)
	}
	if got := pickCounts(m, epoch.Add(2*time.Second))["b0"]; got == 0 {
		t.Error("never picked again after the hints have stopped")
	}
}
