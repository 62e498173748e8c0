package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/state/rule"
)

var epoch = time.Unix(1_000_000, 0)

func newTargets(zones ...string) []balancer.Target {
	var ts []balancer.Target
	for i, z := range zones {
		ts = append(ts, balancer.Target{
			Backend: fmt.Sprintf("b%d", i), Service: "s", Zone: z, Region: "r", Slots: 12, State: admission.Ready,
		})
	}
	return ts
}

func newModel(ts []balancer.Target) *balancer.Model {
	m := balancer.New(balancer.Config{Zone: "a", Region: "r", Rand: rand.New(rand.NewPCG(1, 2))})
	m.Update(epoch, balancer.Targets{List: ts})
	return m
}

func reportLoad(m *balancer.Model, now time.Time, backend string, inflight int, latency time.Duration) {
	m.Update(now, balancer.LoadReport{Backend: backend, Hint: hint.Hint{Inflight: inflight, Limit: 12, ServiceTime: latency}})
}

// pickCounts returns how many of 1000 picks each back end got.
func pickCounts(m *balancer.Model, now time.Time) map[string]int {
	counts := map[string]int{}
	for range 1000 {
		if t, ok := m.Pick(now, balancer.Query{Service: "s"}); ok {
			counts[t.Backend]++
		}
	}
	return counts
}

// Guards against attempts to a back end that is taken out by a rule, out with its zone, draining or already tried.
func TestPickExcludesUnavailableTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ts := newTargets("a", "a", "b", "b", "c")
		for i := range ts {
			ts[i].State = admission.State(rapid.IntRange(0, 4).Draw(t, "state"))
		}
		set := &rule.Set{
			Zones:       map[string]rule.Zone{"a": {Out: rapid.Bool().Draw(t, "out")}},
			BackendsOut: map[string]bool{"b2": rapid.Bool().Draw(t, "backend out")},
		}
		m := newModel(ts)
		m.Update(epoch, balancer.Rules{Set: set})
		got, ok := m.Pick(epoch, balancer.Query{Service: "s", Exclude: []string{"b3"}})
		if !ok {
			return
		}
		notServing := got.State != admission.Cold && got.State != admission.Ready
		if notServing || set.Zones[got.Zone].Out || set.BackendsOut[got.Backend] || got.Backend == "b3" {
			t.Fatalf("picked %+v", got)
		}
	})
}

// Guards against traffic between zones while the own zone has free slots, and against queueing in the own zone while another
// one has free slots.
func TestSpillsToOtherZoneByLoad(t *testing.T) {
	ts := newTargets("a", "a", "b", "b")
	m := newModel(ts)
	for _, target := range ts {
		reportLoad(m, epoch, target.Backend, 4, 10*time.Millisecond)
	}
	if got := pickCounts(m, epoch); got["b2"]+got["b3"] > 0 {
		t.Fatalf("picked another zone at a third of the limit: %v", got)
	}
	reportLoad(m, epoch, "b0", 14, 10*time.Millisecond)
	reportLoad(m, epoch, "b1", 14, 10*time.Millisecond)
	if got := pickCounts(m, epoch); got["b0"]+got["b1"] > 0 {
		t.Fatalf("picked the own zone above its limit: %v", got)
	}
}

// Guards against old hints that weigh as much as new ones.
func TestOldHintsDecay(t *testing.T) {
	m := newModel(newTargets("a", "a"))
	reportLoad(m, epoch, "b0", 12, 10*time.Millisecond)
	reportLoad(m, epoch, "b1", 0, 10*time.Millisecond)
	if got := pickCounts(m, epoch); got["b0"] > 0 {
		t.Fatalf("picked the full back end despite a fresh hint: %v", got)
	}
	if got := pickCounts(m, epoch.Add(time.Minute)); got["b0"] < 300 {
		t.Fatalf("picked by a hint that is a minute old: %v", got)
	}
}

// Guards against a back end that gets the most work because it fails fast and so appears idle.
func TestFastFailuresAreNotPreferred(t *testing.T) {
	m := newModel(newTargets("a", "a", "a", "a"))
	for range 200 {
		target, _ := m.Pick(epoch, balancer.Query{Service: "s"})
		m.Update(epoch, balancer.Begin{Backend: target.Backend})
		end := balancer.End{Backend: target.Backend, Latency: 10 * time.Millisecond}
		if target.Backend == "b0" {
			end.Result, end.Latency = balancer.Failed, time.Millisecond
		}
		m.Update(epoch, end)
	}
	if got := pickCounts(m, epoch); got["b0"] > 0 {
		t.Fatalf("%d of 1000 picks for a back end that fails every request", got["b0"])
	}
}

// Guards against a hint that is trusted although it contradicts the latency measured by this entry node.
func TestImplausibleHintIsNotTrusted(t *testing.T) {
	m := newModel(newTargets("a", "a", "a", "a"))
	for _, b := range []string{"b0", "b1", "b2", "b3"} {
		latency := 10 * time.Millisecond
		if b == "b0" {
			latency = 25 * time.Millisecond
		}
		for range 20 {
			m.Update(epoch, balancer.Begin{Backend: b})
			m.Update(epoch, balancer.End{Backend: b, Latency: latency})
		}
		reportLoad(m, epoch, b, 4, 10*time.Millisecond)
	}
	reportLoad(m, epoch, "b0", 0, time.Microsecond)
	if got := pickCounts(m, epoch); got["b0"] > 250 {
		t.Fatalf("%d of 1000 picks for a slow back end that reports no load", got["b0"])
	}
}

// Guards against more concurrent requests than the cold limit for a back end in cold start.
func TestColdTargetStaysWithinLimit(t *testing.T) {
	ts := newTargets("a", "a", "a")
	ts[0].State = admission.Cold
	m := newModel(ts)
	sent := map[string]int{}
	for range 26 { // the limits: 2 of the cold back end and 12 of each other one
		target, _ := m.Pick(epoch, balancer.Query{Service: "s"})
		m.Update(epoch, balancer.Begin{Backend: target.Backend})
		sent[target.Backend]++
	}
	if sent["b0"] > rule.DefaultColdSlots {
		t.Fatalf("sent %d concurrent requests to a cold back end", sent["b0"])
	}
}
