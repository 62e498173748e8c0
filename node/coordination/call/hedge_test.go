package call_test

import (
	"cmp"
	"math/rand/v2"
	"testing"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/call"
)

const (
	lookupObjective   = 200 * time.Millisecond
	lookupServiceTime = 80 * time.Millisecond
)

// newPoolModel returns the model of an entry node for a pool of two fast back ends. It has learned the usual service time
// of lookups.
func newPoolModel(t *testing.T) *call.Model {
	t.Helper()
	set, err := rule.Parse("format 1\nchange 1 # a: b\npool desk # a: b\n")
	if err != nil {
		t.Fatal(err)
	}
	m := call.New(call.Config{Node: "e", ExtraRatio: 0.2, Balancer: balancer.New(balancer.Config{Zone: "z", Rand: rand.New(rand.NewPCG(1, 1))})})
	m.SetRules(epoch, set)
	var targets []balancer.Target
	for _, name := range []string{"a", "b"} {
		targets = append(targets, balancer.Target{Backend: name, Node: name, Zone: "z", Service: "desk", Slots: 14, State: admission.Ready})
	}
	m.SetTargets(epoch, targets)
	for id := range call.ID(100) {
		reportSlowdowns(m, epoch, map[string]float64{"a": 1, "b": 1})
		ids := sentAttempts(m.Update(epoch, beginLookup(1000+id, epoch)))
		m.Update(epoch.Add(lookupServiceTime), call.Response{Attempt: ids[0], Outcome: attempt.Answered, Deliverable: true})
		m.Update(epoch.Add(lookupServiceTime), call.Ended{Attempt: ids[0]})
	}
	return m
}

func beginLookup(id call.ID, at time.Time) call.Begin {
	return call.Begin{
		Call: id, Service: "desk", Route: "look", Idempotent: true, Deadline: at.Add(time.Second), Objective: lookupObjective, MaxTries: 2, FreeRefusals: true,
	}
}

// reportSlowdowns reports the slowdown of each back end and returns the attempts that are sent in response.
func reportSlowdowns(m *call.Model, at time.Time, slowdowns map[string]float64) []attempt.ID {
	var ids []attempt.ID
	for _, name := range []string{"a", "b"} {
		h := hint.Hint{Inflight: 2, Limit: 14, Slowdown: slowdowns[name]}
		ids = append(ids, sentAttempts(m.ReportHint(at, balancer.LoadReport{Backend: name, Hint: h}))...)
	}
	return ids
}

func sentTo(cmds []call.Cmd) string {
	for _, cmd := range cmds {
		if s, ok := cmd.(call.Send); ok {
			return s.Target.Backend
		}
	}
	return ""
}

// Guards against hedges that start too late to meet the latency objective, because they wait for a fixed time instead of
// the hint that the back end was slow at the start of the attempt: a back end that slows down just before then takes five
// times as long. Also guards against hedges that are not needed or cannot help: a request that started fast stays fast.
func TestSlowedAttemptIsHedged(t *testing.T) {
	for name, c := range map[string]struct {
		after         time.Duration // from the start of the attempt to the change of slowdown
		slowdown      float64       // of its back end after the change, 0 means 5
		otherSlowdown float64       // slowdown of the other back end
		edit          func(*call.Begin)
		want          int
	}{
		"slow from the start":    {after: 10 * time.Millisecond, otherSlowdown: 1, want: 1},
		"slow after the start":   {after: 50 * time.Millisecond, otherSlowdown: 1, want: 0},
		"slightly slower":        {after: 10 * time.Millisecond, slowdown: 2, otherSlowdown: 1, want: 0},
		"no fast back end":       {after: 10 * time.Millisecond, otherSlowdown: 5, want: 0},
		"objective out of reach": {after: 150 * time.Millisecond, otherSlowdown: 1, want: 0},
		"not idempotent": {
			after: 10 * time.Millisecond, otherSlowdown: 1, want: 0,
			edit: func(b *call.Begin) { b.Idempotent = false },
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newPoolModel(t)
			begin := beginLookup(1, epoch)
			if c.edit != nil {
				c.edit(&begin)
			}
			backend := sentTo(m.Update(epoch, begin))
			otherBackend := map[string]string{"a": "b", "b": "a"}[backend]
			reportSlowdowns(m, epoch.Add(c.after-time.Millisecond), map[string]float64{backend: 1, otherBackend: c.otherSlowdown})
			got := reportSlowdowns(m, epoch.Add(c.after), map[string]float64{backend: cmp.Or(c.slowdown, 5), otherBackend: c.otherSlowdown})
			if len(got) != c.want {
				t.Errorf("%d hedges, want %d", len(got), c.want)
			}
		})
	}
}

// Guards against not hedging a request that started slow without any hint that shows it, while a hedge can still meet the
// objective. In simulated days, idempotent lookups reached their deadline with only one attempt.
func TestSlowAttemptIsHedgedWithoutHint(t *testing.T) {
	m := newPoolModel(t)
	begin := beginLookup(1, epoch)
	begin.Objective = 300 * time.Millisecond
	m.Update(epoch, begin)
	at := epoch
	for range 3 {
		at = at.Add(begin.Objective / 4)
		reportSlowdowns(m, at, map[string]float64{"a": 1, "b": 1})
		if ids := sentAttempts(m.Update(at, call.TimerFired{Call: 1})); len(ids) > 0 {
			if took := at.Sub(epoch); took < 3*lookupServiceTime/2 || took > begin.Objective-lookupServiceTime {
				t.Errorf("hedged after %v", took)
			}
			return
		}
	}
	t.Error("no hedge before the objective is out of reach")
}

// Guards against a retry budget that shrinks as under overload while back ends of a pool shed requests at random. Their
// nodes keep them within their slots, so a shed request is a fault, and another back end probably accepts it.
func TestShedRequestsOfPoolsAreRetried(t *testing.T) {
	m := newPoolModel(t)
	retried := 0
	for i := range 200 {
		at := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		ids := sentAttempts(m.Update(at, beginLookup(call.ID(5000+i), at)))
		if i%5 > 0 {
			m.Update(at, call.Response{Attempt: ids[0], Outcome: attempt.Answered, Deliverable: true})
			m.Update(at, call.Ended{Attempt: ids[0]})
			continue
		}
		shed := call.Response{
			Attempt: ids[0], Outcome: attempt.NotRun, Result: balancer.Refused,
			Refusal: refusal.Refusal{Reason: refusal.Shed, Outcome: attempt.NotRun},
		}
		for _, id := range sentAttempts(m.Update(at, shed)) {
			retried++
			m.Update(at, call.Response{Attempt: id, Outcome: attempt.Answered, Deliverable: true})
			m.Update(at, call.Ended{Attempt: id})
		}
	}
	// The budget allows the configured ratio of 0.2 less its margin, and one request in five is shed.
	if retried < 30 {
		t.Errorf("%d of 40 shed requests were retried", retried)
	}
}

// Guards against exceeding the bound on extra attempts of a service that is called by reruns: calls made by reruns are
// extra attempts there.
func TestCallsOfRerunsAreCharged(t *testing.T) {
	retries := func(rerunShare float64) int {
		m := newPoolModel(t)
		n := 0
		for i := range 200 {
			at := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
			begin := beginLookup(call.ID(5000+i), at)
			begin.RerunShare = rerunShare
			ids := sentAttempts(m.Update(at, begin))
			lost := call.Response{Attempt: ids[0], Outcome: attempt.Unknown, Result: balancer.Lost}
			n += len(sentAttempts(m.Update(at, lost)))
		}
		return n
	}
	if got := retries(1); got > 4 {
		t.Errorf("%d extra attempts while every call comes from a rerun", got)
	}
	if got := retries(0); got < 20 || got > 44 {
		t.Errorf("%d extra attempts of 200 calls, want about 17%%", got)
	}
}
