package admission_test

import (
	"testing"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// fixed is a back end that says itself how many requests it takes.
var fixed = admission.Limits{Slots: 2, QueueLength: 10, FixedLimit: true, ColdRate: 4}

// promptModel returns a ready model that has learned how long requests take.
func promptModel(t *testing.T, took time.Duration) *admission.Model {
	t.Helper()
	m := admission.New(fixed)
	m.Update(epoch, fixed)
	m.Update(epoch, admission.BackendState{State: admission.Ready})
	for n := range 40 {
		at := epoch.Add(time.Duration(n) * time.Second)
		m.Update(at, arrives(at, n, rule.Normal, time.Second))
		m.Update(at.Add(took), admission.Done{ID: id(n), Result: admission.Good, Latency: took})
	}
	return m
}

func arrives(now time.Time, n int, level rule.Level, aim time.Duration) admission.Arrive {
	return admission.Arrive{
		ID: id(n), Deadline: now.Add(2 * aim), Priority: level, Route: "r", ObjectiveAt: now.Add(aim), LatencyObjective: aim,
	}
}

// fates lists what became of arrivals: "start", the reason of a refusal, or "" for waiting.
func fates(m *admission.Model, now time.Time, msgs ...admission.Msg) map[int]string {
	out := map[int]string{}
	for _, msg := range msgs {
		for _, cmd := range m.Update(now, msg) {
			switch cmd := cmd.(type) {
			case admission.Start:
				out[int(cmd.ID.Sequence)] = "start"
			case admission.Refuse:
				out[int(cmd.ID.Sequence)] = cmd.Reason.String()
			}
		}
	}
	return out
}

// Guards against requests that wait beyond their aim while others could still meet theirs, the pattern of overload by
// back ends that change their speed: what can't meet its aim gets leftovers only, or is refused while it may come back.
func TestOverloadServesWhatCanMeetItsAim(t *testing.T) {
	m := promptModel(t, 100*time.Millisecond)
	now := epoch.Add(time.Minute)
	var msgs []admission.Msg
	for n := range 12 {
		msgs = append(msgs, arrives(now, 100+n, rule.Normal, 300*time.Millisecond))
	}
	got := fates(m, now, msgs...)
	refused := 0
	for _, fate := range got {
		if fate == refusal.Full.String() {
			refused++
		}
	}
	// Two start, four can follow within the aim, one more may get leftovers.
	if got[100] != "start" || got[101] != "start" || refused == 0 || refused > 8 {
		t.Errorf("fates %v", got)
	}
	later := now.Add(100 * time.Millisecond)
	next := fates(m, later, admission.Done{ID: id(100), Result: admission.Good, Latency: 100 * time.Millisecond})
	if next[102] != "start" {
		t.Errorf("after one has ended %v", next)
	}
}

// Guards against an urgent request that waits behind others, or is refused for its aim while others hold the queue:
// calls inside of requests hold up what has a slot already.
func TestUrgentGoesFirst(t *testing.T) {
	m := promptModel(t, 100*time.Millisecond)
	now := epoch.Add(time.Minute)
	fates(m, now, arrives(now, 100, rule.Normal, 300*time.Millisecond), arrives(now, 101, rule.Normal, 300*time.Millisecond),
		arrives(now, 102, rule.Normal, 300*time.Millisecond))
	if got := fates(m, now, arrives(now, 103, rule.High, 110*time.Millisecond)); len(got) > 0 {
		t.Fatalf("urgent request: %v", got)
	}
	got := fates(m, now.Add(50*time.Millisecond), admission.Done{ID: id(100), Result: admission.Good, Latency: 50 * time.Millisecond})
	if got[103] != "start" {
		t.Errorf("after one has ended %v", got)
	}
}

// Guards against a request that is held although it surely can't be served in time.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	m := promptModel(t, 100*time.Millisecond)
	now := epoch.Add(time.Minute)
	got := fates(m, now, admission.Arrive{ID: id(100), Route: "r", Deadline: now.Add(50 * time.Millisecond), ObjectiveAt: now.Add(time.Second)})
	if got[100] != refusal.Late.String() {
		t.Errorf("fates %v", got)
	}
}

// Guards against more requests a second than a cold back end bears, the pattern of a zone that returns cold under
// full load; the window slides.
func TestColdRate(t *testing.T) {
	m := promptModel(t, time.Millisecond)
	now := epoch.Add(time.Minute)
	m.Update(now, admission.BackendState{State: admission.Cold})
	var starts []time.Time
	for n := range 3000 {
		at := now.Add(time.Duration(n) * time.Millisecond)
		msgs := []admission.Msg{admission.Tick{}, arrives(at, 1000+n, rule.Normal, 10*time.Second)}
		for n0, fate := range fates(m, at, msgs...) {
			if fate == "start" {
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
		if float64(n) > fixed.ColdRate {
			t.Fatalf("%d starts within a second, want at most %v", n, fixed.ColdRate)
		}
	}
	if len(starts) < 8 {
		t.Errorf("only %d starts in three seconds", len(starts))
	}
}

// Guards against slots that slow all others down, and against slots left free on a back end that bears them.
func TestKnee(t *testing.T) {
	for _, tt := range []struct {
		name string
		slow float64 // of requests that start with both slots in use
		want int
	}{{"slows down", 1.7, 1}, {"bears all", 1, 2}} {
		t.Run(tt.name, func(t *testing.T) {
			m := promptModel(t, 100*time.Millisecond)
			now := epoch.Add(time.Minute)
			for n := range 100 {
				now = now.Add(time.Second)
				one, two := 1000+2*n, 1001+2*n
				if fates(m, now, arrives(now, one, rule.Normal, time.Second), arrives(now, two, rule.Normal, time.Second))[two] != "start" {
					break
				}
				took := time.Duration(tt.slow * float64(100*time.Millisecond))
				m.Update(now.Add(took), admission.Done{ID: id(two), Result: admission.Good, Latency: took})
				m.Update(now.Add(took), admission.Done{ID: id(one), Result: admission.Good, Latency: 100 * time.Millisecond})
			}
			if got := m.View().Limit; got != tt.want {
				t.Errorf("cap %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against a back end that fails its requests and still looks like any other: the share is told in hints.
func TestFaultsAreTold(t *testing.T) {
	m := promptModel(t, 100*time.Millisecond)
	now := epoch.Add(time.Minute)
	for n := range 40 {
		now = now.Add(time.Second)
		m.Update(now, arrives(now, 1000+n, rule.Normal, time.Second))
		result, took := admission.Reset, 10*time.Millisecond
		if n%2 == 0 {
			result, took = admission.Aborted, 2*time.Second
		}
		m.Update(now.Add(took), admission.Done{ID: id(1000 + n), Result: result, Latency: took})
	}
	if got := m.View().Hint.Faults; got < 0.8 {
		t.Errorf("faults %v, want most", got)
	}
}

// Guards against a slot for a request that misses its aim at the present speed, while one that would meet its own
// waits: under overload on slow machines both were late.
func TestSlotsGoToWhatMeetsItsAimAtPresentSpeed(t *testing.T) {
	m := promptModel(t, 20*time.Millisecond)
	now := epoch.Add(time.Minute)
	fates(m, now, arrives(now, 100, rule.Normal, time.Second), arrives(now, 101, rule.Normal, time.Second),
		arrives(now, 102, rule.Normal, 80*time.Millisecond), arrives(now, 103, rule.Normal, 300*time.Millisecond))
	// From now on a request takes 100 ms: too long for the one that is first in the queue.
	fates(m, now, admission.Slowdown{Factor: 5})
	later := now.Add(5 * time.Millisecond)
	got := fates(m, later, admission.Done{ID: id(100), Result: admission.Good, Latency: 5 * time.Millisecond})
	if got[103] != "start" || got[102] == "start" {
		t.Errorf("after one has ended %v", got)
	}
}
