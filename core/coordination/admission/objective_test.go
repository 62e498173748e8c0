package admission_test

import (
	"testing"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// fixedLimits are the limits of a back end that reports its own concurrency limit.
var fixedLimits = admission.Limits{Slots: 2, QueueLength: 10, FixedLimit: true, ColdRate: 4}

// newFixedLimitModel returns a model of a ready back end that has learned the service time of route "r".
func newFixedLimitModel(t *testing.T, took time.Duration) *admission.Model {
	t.Helper()
	m := admission.New(fixedLimits)
	m.Update(epoch, fixedLimits)
	m.Update(epoch, admission.BackendState{State: admission.Ready})
	for n := range 40 {
		at := epoch.Add(time.Duration(n) * time.Second)
		m.Update(at, newArrival(at, n, rule.PriorityNormal, time.Second))
		m.Update(at.Add(took), admission.Done{ID: id(n), Result: admission.Good, Latency: took})
	}
	return m
}

func newArrival(now time.Time, n int, priority rule.Priority, objective time.Duration) admission.Arrive {
	return admission.Arrive{
		ID: id(n), Deadline: now.Add(2 * objective), Priority: priority, Route: "r", ObjectiveAt: now.Add(objective), LatencyObjective: objective,
	}
}

// outcomes sends messages and returns the answers by request: "start" or the reason of a refusal; waiting requests are
// left out.
func outcomes(m *admission.Model, now time.Time, msgs ...admission.Msg) map[int]string {
	byRequest := map[int]string{}
	for _, msg := range msgs {
		for _, cmd := range m.Update(now, msg) {
			switch cmd := cmd.(type) {
			case admission.Start:
				byRequest[int(cmd.ID.Sequence)] = "start"
			case admission.Refuse:
				byRequest[int(cmd.ID.Sequence)] = cmd.Reason.String()
			}
		}
	}
	return byRequest
}

// Guards against overload in which requests past their latency objective take slots from those that can still meet
// theirs. It comes about when the slowdown of back ends changes: requests that can't meet their objective must use only
// free slots or be refused while their callers can still retry.
func TestOverloadServesRequestsThatCanMeetTheirObjective(t *testing.T) {
	m := newFixedLimitModel(t, 100*time.Millisecond)
	now := epoch.Add(time.Minute)
	var msgs []admission.Msg
	for n := range 12 {
		msgs = append(msgs, newArrival(now, 100+n, rule.PriorityNormal, 300*time.Millisecond))
	}
	got := outcomes(m, now, msgs...)
	refused := 0
	for _, outcome := range got {
		if outcome == refusal.AtCapacity.String() {
			refused++
		}
	}
	// Two start, four can follow within the objective, and one more may wait for a free slot.
	if got[100] != "start" || got[101] != "start" || refused == 0 || refused > 8 {
		t.Errorf("outcomes %v", got)
	}
	later := now.Add(100 * time.Millisecond)
	next := outcomes(m, later, admission.Done{ID: id(100), Result: admission.Good, Latency: 100 * time.Millisecond})
	if next[102] != "start" {
		t.Errorf("after one request has ended: %v", next)
	}
}

// Guards against a high-priority request that waits behind others, or is refused for its objective while others fill the
// queue. Calls on behalf of other requests have high priority, and delaying them delays a request that holds a slot.
func TestHighPriorityStartsFirst(t *testing.T) {
	m := newFixedLimitModel(t, 100*time.Millisecond)
	now := epoch.Add(time.Minute)
	outcomes(m, now, newArrival(now, 100, rule.PriorityNormal, 300*time.Millisecond), newArrival(now, 101, rule.PriorityNormal, 300*time.Millisecond),
		newArrival(now, 102, rule.PriorityNormal, 300*time.Millisecond))
	if got := outcomes(m, now, newArrival(now, 103, rule.PriorityHigh, 110*time.Millisecond)); len(got) > 0 {
		t.Fatalf("high-priority request: %v", got)
	}
	got := outcomes(m, now.Add(50*time.Millisecond), admission.Done{ID: id(100), Result: admission.Good, Latency: 50 * time.Millisecond})
	if got[103] != "start" {
		t.Errorf("after one request has ended: %v", got)
	}
}

// Guards against a request that is queued although its service time alone exceeds the time to its deadline.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	m := newFixedLimitModel(t, 100*time.Millisecond)
	now := epoch.Add(time.Minute)
	got := outcomes(m, now, admission.Arrive{ID: id(100), Route: "r", Deadline: now.Add(50 * time.Millisecond), ObjectiveAt: now.Add(time.Second)})
	if got[100] != refusal.TooLate.String() {
		t.Errorf("outcomes %v", got)
	}
}

// Guards against more requests per second than a cold back end can take, in any sliding window. It comes about when a zone
// returns with cold back ends under full load.
func TestColdBackendGetsLimitedRate(t *testing.T) {
	m := newFixedLimitModel(t, time.Millisecond)
	now := epoch.Add(time.Minute)
	m.Update(now, admission.BackendState{State: admission.Cold})
	var starts []time.Time
	for n := range 3000 {
		at := now.Add(time.Duration(n) * time.Millisecond)
		msgs := []admission.Msg{admission.Tick{}, newArrival(at, 1000+n, rule.PriorityNormal, 10*time.Second)}
		for n0, outcome := range outcomes(m, at, msgs...) {
			if outcome == "start" {
				starts = append(starts, at)
				m.Update(at, admission.Done{ID: id(n0), Result: admission.Good, Latency: time.Millisecond})
			}
		}
	}
	for i := range starts {
		n := 0
		for _, s := range starts[i:] {
			if s.Before(starts[i].Add(time.Second)) {
				n++
			}
		}
		if float64(n) > fixedLimits.ColdRate {
			t.Fatalf("%d starts within a second, want at most %v", n, fixedLimits.ColdRate)
		}
	}
	if len(starts) < 8 {
		t.Errorf("only %d starts in three seconds", len(starts))
	}
}

// Guards against using slots that slow all others down, and against free slots on a back end without such a slowdown.
func TestSaturatedBackendKeepsLastSlotsFree(t *testing.T) {
	for _, tt := range []struct {
		name string
		slow float64 // factor on the service time of requests that start with both slots in use
		want int
	}{{"slows down", 1.7, 1}, {"keeps its service time", 1, 2}} {
		t.Run(tt.name, func(t *testing.T) {
			m := newFixedLimitModel(t, 100*time.Millisecond)
			now := epoch.Add(time.Minute)
			for n := range 100 {
				now = now.Add(time.Second)
				one, two := 1000+2*n, 1001+2*n
				if outcomes(m, now, newArrival(now, one, rule.PriorityNormal, time.Second), newArrival(now, two, rule.PriorityNormal, time.Second))[two] != "start" {
					break
				}
				took := time.Duration(tt.slow * float64(100*time.Millisecond))
				m.Update(now.Add(took), admission.Done{ID: id(two), Result: admission.Good, Latency: took})
				m.Update(now.Add(took), admission.Done{ID: id(one), Result: admission.Good, Latency: 100 * time.Millisecond})
			}
			if got := m.View().Limit; got != tt.want {
				t.Errorf("limit %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against a back end that fails its requests and looks healthy to entry nodes: hints report the failure share.
func TestFailureShareIsReportedInHints(t *testing.T) {
	m := newFixedLimitModel(t, 100*time.Millisecond)
	now := epoch.Add(time.Minute)
	for n := range 40 {
		now = now.Add(time.Second)
		m.Update(now, newArrival(now, 1000+n, rule.PriorityNormal, time.Second))
		result, took := admission.Reset, 10*time.Millisecond
		if n%2 == 0 {
			result, took = admission.Aborted, 2*time.Second
		}
		m.Update(now.Add(took), admission.Done{ID: id(1000 + n), Result: result, Latency: took})
	}
	if got := m.View().Hint.FailureShare; got < 0.8 {
		t.Errorf("failure share %v, want at least 0.8", got)
	}
}

// Guards against starting a request that misses its objective at the present slowdown while one that would meet its own
// waits. Under overload on slow back ends both were late.
func TestSlotsGoToRequestsThatMeetTheirObjectiveAtPresentSlowdown(t *testing.T) {
	m := newFixedLimitModel(t, 20*time.Millisecond)
	now := epoch.Add(time.Minute)
	outcomes(m, now, newArrival(now, 100, rule.PriorityNormal, time.Second), newArrival(now, 101, rule.PriorityNormal, time.Second),
		newArrival(now, 102, rule.PriorityNormal, 80*time.Millisecond), newArrival(now, 103, rule.PriorityNormal, 300*time.Millisecond))
	// From now on a request takes 100 ms, which is too long for the first in the queue.
	outcomes(m, now, admission.Slowdown{Factor: 5})
	later := now.Add(5 * time.Millisecond)
	got := outcomes(m, later, admission.Done{ID: id(100), Result: admission.Good, Latency: 5 * time.Millisecond})
	if got[103] != "start" || got[102] == "start" {
		t.Errorf("after one request has ended: %v", got)
	}
}
