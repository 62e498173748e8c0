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

func targets(zones ...string) []balancer.Target {
	var ts []balancer.Target
	for i, z := range zones {
		ts = append(ts, balancer.Target{
			Backend: fmt.Sprintf("b%d", i), Service: "s", Zone: z, Region: "r", Slots: 12, State: admission.Ready,
		})
	}
	return ts
}

func model(ts []balancer.Target) *balancer.Model {
	m := balancer.New(balancer.Config{Zone: "a", Region: "r", Rand: rand.New(rand.NewPCG(1, 2))})
	m.Update(epoch, balancer.Targets{List: ts})
	return m
}

func report(m *balancer.Model, now time.Time, backend string, inflight int, latency time.Duration) {
	m.Update(now, balancer.LoadReport{Backend: backend, Hint: hint.Hint{Inflight: inflight, Limit: 12, Latency: latency}})
}

// shares counts 1000 picks by back end.
func shares(m *balancer.Model, now time.Time) map[string]int {
	counts := map[string]int{}
	for range 1000 {
		if t, ok := m.Pick(now, balancer.Query{Service: "s"}); ok {
			counts[t.Backend]++
		}
	}
	return counts
}

// Guards against work for a zone or back end that is out, draining or already tried.
func TestPickLeavesOutClosedTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ts := targets("a", "a", "b", "b", "c")
		for i := range ts {
			ts[i].State = admission.State(rapid.IntRange(0, 4).Draw(t, "state"))
		}
		set := &rule.Set{
			Zones:    map[string]rule.Zone{"a": {Out: rapid.Bool().Draw(t, "out")}},
			Backends: map[string]bool{"b2": rapid.Bool().Draw(t, "backend out")},
		}
		m := model(ts)
		m.Update(epoch, balancer.Rules{Set: set})
		got, ok := m.Pick(epoch, balancer.Query{Service: "s", Exclude: []string{"b3"}})
		if !ok {
			return
		}
		closed := got.State != admission.Cold && got.State != admission.Ready
		if closed || set.Zones[got.Zone].Out || set.Backends[got.Backend] || got.Backend == "b3" {
			t.Fatalf("picked %+v", got)
		}
	})
}

// Guards against traffic between zones while the own zone has room, and against a queue in the own
// zone while another is free.
func TestSpillsByLoad(t *testing.T) {
	ts := targets("a", "a", "b", "b")
	m := model(ts)
	for _, target := range ts {
		report(m, epoch, target.Backend, 4, 10*time.Millisecond)
	}
	if got := shares(m, epoch); got["b2"]+got["b3"] > 0 {
		t.Fatalf("left the zone at a third of its load: %v", got)
	}
	report(m, epoch, "b0", 14, 10*time.Millisecond)
	report(m, epoch, "b1", 14, 10*time.Millisecond)
	if got := shares(m, epoch); got["b0"]+got["b1"] > 0 {
		t.Fatalf("stayed in a full zone: %v", got)
	}
}

// Guards against believing an old report as much as a new one.
func TestOldReportsFade(t *testing.T) {
	m := model(targets("a", "a"))
	report(m, epoch, "b0", 12, 10*time.Millisecond)
	report(m, epoch, "b1", 0, 10*time.Millisecond)
	if got := shares(m, epoch); got["b0"] > 0 {
		t.Fatalf("picked the full back end on a fresh report: %v", got)
	}
	if got := shares(m, epoch.Add(time.Minute)); got["b0"] < 300 {
		t.Fatalf("picked by a report of a minute ago: %v", got)
	}
}

// Guards against a server that fails fast and so looks idle.
func TestFailFastLooksBad(t *testing.T) {
	m := model(targets("a", "a", "a", "a"))
	for range 200 {
		target, _ := m.Pick(epoch, balancer.Query{Service: "s"})
		m.Update(epoch, balancer.Begin{Backend: target.Backend})
		end := balancer.End{Backend: target.Backend, Latency: 10 * time.Millisecond}
		if target.Backend == "b0" {
			end.Result, end.Latency = balancer.Failed, time.Millisecond
		}
		m.Update(epoch, end)
	}
	if got := shares(m, epoch); got["b0"] > 0 {
		t.Fatalf("%d of 1000 picks for a server that fails everything", got["b0"])
	}
}

// Guards against a report that claims an idle, fast server against what is seen from here.
func TestLyingReportIsBounded(t *testing.T) {
	m := model(targets("a", "a", "a", "a"))
	for _, b := range []string{"b0", "b1", "b2", "b3"} {
		latency := 10 * time.Millisecond
		if b == "b0" {
			latency = 25 * time.Millisecond
		}
		for range 20 {
			m.Update(epoch, balancer.Begin{Backend: b})
			m.Update(epoch, balancer.End{Backend: b, Latency: latency})
		}
		report(m, epoch, b, 4, 10*time.Millisecond)
	}
	report(m, epoch, "b0", 0, time.Microsecond)
	if got := shares(m, epoch); got["b0"] > 250 {
		t.Fatalf("%d of 1000 picks for a slow server that claims to be idle", got["b0"])
	}
}

// Guards against many requests at once for a back end in cold start.
func TestColdTargetsGetTheirCapOnly(t *testing.T) {
	ts := targets("a", "a", "a")
	ts[0].State = admission.Cold
	m := model(ts)
	sent := map[string]int{}
	for range 26 { // two for the cold back end and twelve for each of the others
		target, _ := m.Pick(epoch, balancer.Query{Service: "s"})
		m.Update(epoch, balancer.Begin{Backend: target.Backend})
		sent[target.Backend]++
	}
	if sent["b0"] > rule.DefaultCold {
		t.Fatalf("sent %d requests at once to a cold back end", sent["b0"])
	}
}
