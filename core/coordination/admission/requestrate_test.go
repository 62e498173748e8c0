package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/protocol/requestlimit"
	"pollenhill.example/core/state/rule"
)

// Stated bound of a request limit: in any limitSpan the back end gets at most limitFactor times what the limit allows, plus
// limitSlack; from limitNotice after a limit is first named.
const (
	limitSpan   = 4 * time.Second
	limitNotice = 3 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedBackend sends requests to a model of a ready back end with many slots and records what starts. Each request ends
// at once.
type limitedBackend struct {
	m      *admission.Model
	next   int
	starts []time.Time
}

func newLimitedBackend(now time.Time, fixed bool) *limitedBackend {
	limits := admission.Limits{Slots: 100, ColdSlots: 100, QueueLength: 10, FixedLimit: fixed}
	m := admission.New(limits)
	m.Update(now, admission.BackendState{State: admission.Ready})
	return &limitedBackend{m: m}
}

// update applies a message and records the requests that it starts, also earlier ones.
func (b *limitedBackend) update(now time.Time, msg admission.Msg) []admission.Cmd {
	cmds := b.m.Update(now, msg)
	for _, cmd := range cmds {
		if start, ok := cmd.(admission.Start); ok {
			b.starts = append(b.starts, now)
			b.update(now, admission.Done{ID: start.ID, Result: admission.Good, Latency: time.Millisecond})
		}
	}
	return cmds
}

// arrive sends a request and returns the refusal, if it is refused at once.
func (b *limitedBackend) arrive(now time.Time, change func(*admission.Arrive)) (admission.Refuse, bool) {
	b.next++
	a := newArrival(now, b.next, rule.PriorityNormal, 300*time.Millisecond)
	if change != nil {
		change(&a)
	}
	for _, cmd := range b.update(now, a) {
		if r, ok := cmd.(admission.Refuse); ok && r.ID == a.ID {
			return r, true
		}
	}
	return admission.Refuse{}, false
}

// run sends requests at a rate per second from start to end.
func (b *limitedBackend) run(start, end time.Time, perSecond int) {
	for now := start; now.Before(end); now = now.Add(time.Second / time.Duration(perSecond)) {
		b.arrive(now, nil)
	}
}

// most returns the largest number of starts in a span that ends at or after the given time.
func (b *limitedBackend) most(from time.Time) int {
	most := 0
	for i, end := range b.starts {
		if end.Before(from) {
			continue
		}
		n := 0
		for _, start := range b.starts[:i+1] {
			if end.Sub(start) < limitSpan {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against more requests than a back end takes by its own word: under a steady overload, after a rate far above the
// first limit, while it falls, rises, ends and comes again, and with checks beside the requests.
func TestRequestLimitHolds(t *testing.T) {
	for name, fixed := range map[string]bool{"adaptive limit": false, "fixed limit": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				b := newLimitedBackend(epoch, fixed)
				limit := rapid.Float64Range(2, 40).Draw(t, "limit")
				before := 1 + int(rapid.Float64Range(0.1, 4).Draw(t, "rate before")*limit)
				offered := 1 + int(rapid.Float64Range(0.5, 10).Draw(t, "rate")*limit)
				named := epoch.Add(5 * time.Second)
				b.run(epoch, named, before)
				b.update(named, admission.RequestLimit{Limit: requestlimit.New(limit)})
				b.run(named, named.Add(12*time.Second), offered)
				if got, allowed := b.most(named.Add(limitNotice)), limitFactor*limitSpan.Seconds()*limit+limitSlack; float64(got) > allowed {
					t.Fatalf("%d requests in %v at a limit of %.1f a second, allowed %.0f", got, limitSpan, limit, allowed)
				}
			})
		})
	}
}

// Guards against a limit that falls while requests of the earlier, higher limit are still in the window: once they can be
// worked off, the lower limit holds.
func TestFallingRequestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newLimitedBackend(epoch, true)
		high := rapid.Float64Range(5, 40).Draw(t, "high")
		low := high * rapid.Float64Range(0.1, 0.9).Draw(t, "share")
		b.update(epoch, admission.RequestLimit{Limit: requestlimit.New(high)})
		fall := epoch.Add(8 * time.Second)
		b.run(epoch, fall, 100)
		b.update(fall, admission.RequestLimit{Limit: requestlimit.New(low)})
		b.run(fall, fall.Add(12*time.Second), 100)
		allowed := limitFactor*limitSpan.Seconds()*low + limitSlack
		worked := limitSpan // by then no request from before the fall is left in the window
		if got := b.most(fall.Add(worked)); float64(got) > allowed {
			t.Fatalf("%d requests in %v at a limit of %.1f a second, allowed %.0f", got, limitSpan, low, allowed)
		}
		overshoot := 0
		for _, start := range b.starts {
			if since := start.Sub(fall); since > 0 && since < worked && float64(b.countBefore(start)) > allowed {
				overshoot++
			}
		}
		if overshoot > 0 {
			t.Fatalf("%d requests although the window held more than the lower limit allows", overshoot)
		}
	})
}

// countBefore returns the starts within limitSpan up to a start, itself included.
func (b *limitedBackend) countBefore(start time.Time) int {
	n := 0
	for _, s := range b.starts {
		if !s.After(start) && start.Sub(s) < limitSpan {
			n++
		}
	}
	return n
}

// Guards against a limit that keeps requests away longer than it holds, or that starves a back end that names a steady
// limit.
func TestRequestLimitIsUsed(t *testing.T) {
	b := newLimitedBackend(epoch, true)
	b.update(epoch, admission.RequestLimit{Limit: requestlimit.New(20)})
	b.run(epoch, epoch.Add(10*time.Second), 100)
	if n := len(b.starts); n < 190 || n > 210 {
		t.Errorf("%d requests in 10 s at a limit of 20 a second", n)
	}
	end := epoch.Add(10 * time.Second)
	b.update(end, admission.RequestLimit{Limit: requestlimit.None()})
	b.starts = nil
	b.run(end, end.Add(time.Second), 100)
	if n := len(b.starts); n != 100 {
		t.Errorf("%d of 100 requests after the limit has ended", n)
	}
}

// Guards against checks of the node itself that take a back end above its limit unnoticed.
func TestChecksCountAgainstRequestLimit(t *testing.T) {
	b := newLimitedBackend(epoch, true)
	b.update(epoch, admission.RequestLimit{Limit: requestlimit.New(10)})
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		if i%20 == 0 { // 5 checks a second
			b.update(now, admission.CheckSent{})
		}
		b.arrive(now, nil)
	}
	if n := len(b.starts); n < 40 || n > 60 {
		t.Errorf("%d requests beside 50 checks in 10 s at a limit of 10 a second", n)
	}
}

// Guards against a burst of more than the limit after a time in which the node stood still, as after a freeze.
func TestRequestLimitAfterFreeze(t *testing.T) {
	b := newLimitedBackend(epoch, true)
	b.update(epoch, admission.RequestLimit{Limit: requestlimit.New(8)})
	now := epoch.Add(time.Hour)
	for range 50 {
		b.arrive(now, nil)
	}
	if n := len(b.starts); n > 2 {
		t.Errorf("%d requests at once at a limit of 8 a second", n)
	}
}

// Guards against a restart of the destination node that forgets the limit: until its back end answers, the limit that the
// entry nodes have heard holds, the lowest one if they differ. Then the back end's own word counts.
func TestLimitOfOtherNodesHoldsUntilBackendAnswers(t *testing.T) {
	b := newLimitedBackend(epoch, true)
	heard := func(perSecond float64) func(*admission.Arrive) {
		return func(a *admission.Arrive) { a.KnownLimit = requestlimit.New(perSecond) }
	}
	b.arrive(epoch, heard(40))
	b.arrive(epoch, heard(4))
	b.arrive(epoch, heard(30))
	for i := range 400 {
		b.arrive(epoch.Add(time.Duration(i)*10*time.Millisecond), heard(30))
	}
	if n := len(b.starts); n > 18 {
		t.Errorf("%d requests in 4 s; the lowest limit heard is 4 a second", n)
	}
	answered := epoch.Add(5 * time.Second)
	b.update(answered, admission.RequestLimit{Limit: requestlimit.None()})
	b.starts = nil
	for range 20 {
		b.arrive(answered, heard(4))
	}
	if len(b.starts) != 20 {
		t.Errorf("%d of 20 requests after the back end answered without a limit", len(b.starts))
	}
}

// Guards against the limit of an earlier instance that holds for the next one.
func TestNewInstanceHasNoLimit(t *testing.T) {
	b := newLimitedBackend(epoch, true)
	b.update(epoch, admission.RequestLimit{Limit: requestlimit.New(0)})
	if r, refused := b.arrive(epoch, nil); !refused || r.Reason != refusal.RequestLimit {
		t.Errorf("a limit of 0: %+v, %v", r, refused)
	}
	b.update(epoch, admission.NewInstance{})
	b.arrive(epoch, nil)
	if len(b.starts) != 1 {
		t.Error("the limit of the earlier instance holds")
	}
}

// Guards against requests that wait for the limit until their time is over instead of going elsewhere, and against refusals
// with a time to come back at which they are refused again.
func TestRequestsAboveLimitAreRefusedAtOnce(t *testing.T) {
	b := newLimitedBackend(epoch, true)
	b.update(epoch, admission.RequestLimit{Limit: requestlimit.New(2)})
	if r, refused := b.arrive(epoch, func(a *admission.Arrive) { a.Movable = true }); !refused || r.Reason != refusal.RequestLimit {
		t.Errorf("another back end has room: %+v, %v", r, refused)
	}
	r, refused := b.arrive(epoch, nil)
	if !refused || r.Reason != refusal.RequestLimit || r.RetryAfter < 450*time.Millisecond || r.RetryAfter > 550*time.Millisecond {
		t.Fatalf("the next request may start in 500 ms: %+v, %v", r, refused)
	}
	b.arrive(epoch.Add(r.RetryAfter), nil)
	if len(b.starts) != 1 {
		t.Error("refused again at the time that the refusal named")
	}
	waiting := newLimitedBackend(epoch, true)
	waiting.update(epoch, admission.RequestLimit{Limit: requestlimit.New(10)})
	if _, refused := waiting.arrive(epoch, nil); refused {
		t.Error("refused although it can start within its objective")
	}
}

// BenchmarkRequestLimit measures the admission of one request that starts and ends, without and with a request limit.
func BenchmarkRequestLimit(b *testing.B) {
	for name, limit := range map[string]requestlimit.Limit{"none": requestlimit.None(), "named": requestlimit.New(1e9)} {
		b.Run(name, func(b *testing.B) {
			backend := newLimitedBackend(epoch, true)
			backend.update(epoch, admission.RequestLimit{Limit: limit})
			for i := range b.N {
				now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
				backend.next++
				a := newArrival(now, backend.next, rule.PriorityNormal, 300*time.Millisecond)
				backend.m.Update(now, a)
				backend.m.Update(now, admission.Done{ID: a.ID, Result: admission.Good, Latency: time.Millisecond})
			}
		})
	}
}

// Guards against a sequence of messages about request limits that ends the process, such as a limit that is far below the
// length of the queue.
func TestNoMessageSequencePanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newLimitedBackend(epoch, rapid.Bool().Draw(t, "fixed"))
		now := epoch
		limits := rapid.SampledFrom([]requestlimit.Limit{{}, requestlimit.None(), requestlimit.New(0), requestlimit.New(0.3), requestlimit.New(5)})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "message") {
			case 0:
				b.update(now, admission.RequestLimit{Limit: limits.Draw(t, "limit")})
			case 1:
				b.update(now, admission.CheckSent{})
			case 2:
				b.update(now, admission.NewInstance{})
			case 3:
				b.update(now, admission.BackendState{State: admission.State(rapid.IntRange(0, 4).Draw(t, "state"))})
			case 4:
				b.update(now, admission.Tick{})
			default:
				for range rapid.IntRange(1, 20).Draw(t, "requests") {
					b.arrive(now, func(a *admission.Arrive) {
						a.KnownLimit = limits.Draw(t, "known")
						a.Priority = rapid.SampledFrom([]rule.Priority{rule.PriorityLow, rule.PriorityNormal, rule.PriorityHigh}).Draw(t, "priority")
					})
				}
			}
		}
	})
}
