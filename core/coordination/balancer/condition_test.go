package balancer_test

import (
	"testing"
	"time"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/requestlimit"
)

// hear reports a request limit and the share of this entry node as a hint of b0.
func hear(m *balancer.Model, now time.Time, limit requestlimit.Limit, share float64) {
	m.Update(now, balancer.LoadReport{Backend: "b0", Hint: hint.Hint{Limit: 12, Slowdown: 1, RequestLimit: limit, RequestShare: share}})
}

// sendAll picks a target for each of a number of attempts a second over 10 s, which end at once, and counts the targets.
func sendAll(m *balancer.Model, perSecond int, q balancer.Query, each func(now time.Time)) map[string]int {
	sent := map[string]int{}
	for i := range 10 * perSecond {
		now := epoch.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		each(now)
		target, ok := m.Pick(now, q)
		if !ok {
			continue
		}
		sent[target.Backend]++
		m.Update(now, balancer.Begin{Backend: target.Backend})
		m.Update(now, balancer.End{Backend: target.Backend, Latency: time.Millisecond})
	}
	return sent
}

// Guards against entry nodes that all send to a back end with a request limit because it looks idle, and have their
// requests refused there while others have room.
func TestLimitedBackendGetsItsShare(t *testing.T) {
	m := newPoolModel(t, func(int, *balancer.Target, *hint.Hint) {})
	got := sendAll(m, 100, balancer.Query{Service: "s"}, func(now time.Time) {
		hear(m, now, requestlimit.New(20), 0.03)
		for _, b := range []string{"b1", "b2", "b3"} {
			m.Update(now, balancer.LoadReport{Backend: b, Hint: hint.Hint{Inflight: 8, Limit: 12, Slowdown: 1}})
		}
	})
	if n := got["b0"]; n < 10 || n > 60 {
		t.Errorf("%d of 1000 attempts with a share of 3 in 100", n)
	}
}

// Guards against hedges that use up the request limit of a back end in need.
func TestNoHedgeToLimitedBackend(t *testing.T) {
	m := newPoolModel(t, func(int, *balancer.Target, *hint.Hint) {})
	got := sendAll(m, 20, balancer.Query{Service: "s", SpareCapacityOnly: true}, func(now time.Time) {
		hear(m, now, requestlimit.New(20), 20)
	})
	if got["b0"] > 0 {
		t.Errorf("%d hedges", got["b0"])
	}
}

// Guards against requests that find no back end because all of them name limits: the destination nodes decide then.
func TestLimitedBackendsAreLastResort(t *testing.T) {
	ts := newTargets("a")
	m := newModel(ts)
	hear(m, epoch, requestlimit.New(1), 0.1)
	got := sendAll(m, 10, balancer.Query{Service: "s"}, func(time.Time) {})
	if got["b0"] != 100 {
		t.Errorf("%d of 100 attempts", got["b0"])
	}
}

// Guards against a limit that an entry node forgets while the node beside the back end restarts, against one that outlasts
// its end, and against limits of back ends that are gone for good.
func TestKnownLimitOutlastsAbsence(t *testing.T) {
	ts := newTargets("a")
	m := newModel(ts)
	known := func(now time.Time) bool {
		m.Update(now, balancer.Targets{List: ts})
		target, _ := m.Pick(now, balancer.Query{Service: "s"})
		return target.KnownLimit == requestlimit.New(4)
	}
	m.Update(epoch, balancer.Condition{Backend: "b0", Limit: requestlimit.New(4)})
	m.Update(epoch, balancer.Targets{})
	m.Update(epoch, balancer.Condition{Backend: "b0"}) // a refusal by a node, which says nothing of the limit
	if !known(epoch) {
		t.Error("forgotten while the back end was no target")
	}
	m.Update(epoch, balancer.Condition{Backend: "b0", Limit: requestlimit.None()})
	if known(epoch) {
		t.Error("kept after a response without a limit")
	}
	m.Update(epoch, balancer.Condition{Backend: "b0", Limit: requestlimit.New(4)})
	later := epoch.Add(time.Hour)
	m.Update(later, balancer.Targets{})
	if known(later) {
		t.Error("kept for an hour without a word of the back end")
	}
}

// Guards against a back end that gets new requests after it has said that it leaves, because the node beside it restarted
// and announces it as ready; and against one that stays away although it has started again.
func TestLeavingBackendGetsNoRequests(t *testing.T) {
	const first, second = 1000, 2000 // starts of two instances with the same name
	for name, tt := range map[string]struct {
		told, announced int64
		picked          bool
	}{
		"announced again":               {first, first, false},
		"found by a health check":       {first, 0, false},
		"start was not known when told": {0, first, false},
		"started again":                 {first, second, true},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTargets("a")
			m := newModel(ts)
			m.Update(epoch, balancer.Condition{Backend: "b0", StartMillis: tt.told, Limit: requestlimit.None(), Leaving: true})
			m.Update(epoch, balancer.Targets{})
			ts[0].StartMillis, ts[0].Incarnation = tt.announced, 2
			m.Update(epoch, balancer.Targets{List: ts})
			m.Update(epoch, balancer.LoadReport{Backend: "b0", Hint: hint.Hint{Limit: 12, RequestLimit: requestlimit.None()}})
			if _, picked := m.Pick(epoch, balancer.Query{Service: "s"}); picked != tt.picked {
				t.Errorf("picked %v", picked)
			}
		})
	}
}

// Guards against a back end that stays away for good because an instance of its name, whose start was not known, left once.
func TestLeavingIsForgotten(t *testing.T) {
	ts := newTargets("a")
	ts[0].StartMillis = 1000
	m := newModel(ts)
	m.Update(epoch, balancer.Condition{Backend: "b0", Limit: requestlimit.None(), Leaving: true})
	for minute := range 20 {
		now := epoch.Add(time.Duration(minute) * time.Minute)
		m.Update(now, balancer.LoadReport{Backend: "b0", Hint: hint.Hint{Limit: 12, RequestLimit: requestlimit.None()}})
		m.Update(now, balancer.Targets{List: ts})
		if _, picked := m.Pick(now, balancer.Query{Service: "s"}); picked != (minute > 10) {
			t.Errorf("picked %v after %d minutes", picked, minute)
		}
	}
}
