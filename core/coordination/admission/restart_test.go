package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/state/rule"
)

// Terms of cold back ends in the restarts of a node: the rate that they take, and how much more is the limit.
const (
	restartColdRate    = 42.0
	restartColdOverage = 1.5

	restartStep = 5 * time.Millisecond // between two requests
)

// Guards against a node that is killed beside a cold back end and passes on the whole cold rate again once it is started (FAILBACK,
// review/10): the starts of its last second are counted in its memory alone. There is more demand than the rate all the time.
func TestRestartsKeepColdRate(t *testing.T) {
	limits := admission.Limits{Slots: 200, QueueLength: 50, FixedLimit: true, ColdRate: restartColdRate}
	rapid.Check(t, func(t *rapid.T) {
		var starts []time.Time
		now, next := epoch, 0
		for range rapid.IntRange(2, 6).Draw(t, "processes") {
			m := admission.New(limits)
			m.Update(now, limits)
			m.Update(now, admission.BackendState{State: admission.Cold})
			for range rapid.IntRange(1, 500).Draw(t, "steps") {
				next++
				starts = append(starts, startsOf(m, now, next)...)
				now = now.Add(restartStep)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause ms")) * time.Millisecond)
		}
		if n := mostWithin(starts, time.Second); float64(n) > restartColdRate*restartColdOverage {
			t.Fatalf("%d starts within a second", n)
		}
	})
}

// Guards against a node that leaves its cold back end idle because of its own start: the whole rate is used a second later.
func TestColdRateAfterFirstSecond(t *testing.T) {
	limits := admission.Limits{Slots: 200, QueueLength: 50, FixedLimit: true, ColdRate: restartColdRate}
	m := admission.New(limits)
	m.Update(epoch, limits)
	m.Update(epoch, admission.BackendState{State: admission.Cold})
	started := make([]int, 3) // by second
	for at := time.Duration(0); at < time.Duration(len(started))*time.Second; at += restartStep {
		started[at/time.Second] += len(startsOf(m, epoch.Add(at), int(at/restartStep)+1))
	}
	if started[0] < restartColdRate/2-1 || started[1] < restartColdRate || started[2] < restartColdRate {
		t.Errorf("starts by second: %v", started)
	}
}

// startsOf sends request n to the back end and returns the times of the requests that start then.
func startsOf(m *admission.Model, now time.Time, n int) []time.Time {
	var starts []time.Time
	for _, outcome := range outcomes(m, now, admission.Tick{}, newArrival(now, n, rule.PriorityNormal, 10*time.Second)) {
		if outcome == "start" {
			starts = append(starts, now)
		}
	}
	return starts
}

// mostWithin returns the largest number of times, which are in order, within a sliding window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for !times[i].Before(times[first].Add(window)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
