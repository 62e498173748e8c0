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

// Pattern: a back end slows down just before a request begins there, which then takes five times as long as planned.

const (
	lookAim  = 200 * time.Millisecond
	lookWork = 80 * time.Millisecond
)

// poolModel is an entry node of a pool with two fast back ends, that knows how long lookups usually take.
func poolModel(t *testing.T) *call.Model {
	t.Helper()
	set, err := rule.Parse("format 1\nchange 1 # a: b\npool desk # a: b\n")
	if err != nil {
		t.Fatal(err)
	}
	m := call.New(call.Config{Node: "e", ExtraRatio: 0.2, Choice: balancer.New(balancer.Config{Zone: "z", Rand: rand.New(rand.NewPCG(1, 1))})})
	m.SetRules(epoch, set)
	var targets []balancer.Target
	for _, name := range []string{"a", "b"} {
		targets = append(targets, balancer.Target{Backend: name, Node: name, Zone: "z", Service: "desk", Slots: 14, State: admission.Ready})
	}
	m.SetTargets(epoch, targets)
	for id := range call.ID(100) {
		paces(m, epoch, map[string]float64{"a": 1, "b": 1})
		ids := sends(m.Update(epoch, look(1000+id, epoch)))
		m.Update(epoch.Add(lookWork), call.Response{Attempt: ids[0], Outcome: attempt.Answered, Deliverable: true})
		m.Update(epoch.Add(lookWork), call.Ended{Attempt: ids[0]})
	}
	return m
}

func look(id call.ID, at time.Time) call.Begin {
	return call.Begin{
		Call: id, Service: "desk", Route: "look", Idempotent: true, Deadline: at.Add(time.Second), Objective: lookAim, MaxTries: 2, FreeRefusals: true,
	}
}

// paces reports speeds and returns the attempts that are sent because of them.
func paces(m *call.Model, at time.Time, speeds map[string]float64) []attempt.ID {
	var ids []attempt.ID
	for _, name := range []string{"a", "b"} {
		h := hint.Hint{Inflight: 2, Limit: 14, Pace: speeds[name]}
		ids = append(ids, sends(m.ReportHint(at, balancer.LoadReport{Backend: name, Hint: h}))...)
	}
	return ids
}

func target(cmds []call.Cmd) string {
	for _, cmd := range cmds {
		if s, ok := cmd.(call.Send); ok {
			return s.Target.Backend
		}
	}
	return ""
}

// Guards against hedges that come too late for the aim, because they wait for a fixed time instead of the news that the
// back end was slow at the start, and against those that are not needed or can't help: a run that began fast stays fast.
func TestSlowedAttemptIsHedged(t *testing.T) {
	for name, c := range map[string]struct {
		after  time.Duration // from the start to the change of speed
		speed  float64       // after it, 0 for 5
		others float64       // speed of the other back end
		edit   func(*call.Begin)
		want   int
	}{
		"early":        {after: 10 * time.Millisecond, others: 1, want: 1},
		"slowed later": {after: 50 * time.Millisecond, others: 1, want: 0},
		"a bit slower": {after: 10 * time.Millisecond, speed: 2, others: 1, want: 0},
		"no fast one":  {after: 10 * time.Millisecond, others: 5, want: 0},
		"out of reach": {after: 150 * time.Millisecond, others: 1, want: 0},
		"not idempotent": {
			after: 10 * time.Millisecond, others: 1, want: 0,
			edit: func(b *call.Begin) { b.Idempotent = false },
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := poolModel(t)
			begin := look(1, epoch)
			if c.edit != nil {
				c.edit(&begin)
			}
			at := target(m.Update(epoch, begin))
			other := map[string]string{"a": "b", "b": "a"}[at]
			paces(m, epoch.Add(c.after-time.Millisecond), map[string]float64{at: 1, other: c.others})
			got := paces(m, epoch.Add(c.after), map[string]float64{at: cmp.Or(c.speed, 5), other: c.others})
			if len(got) != c.want {
				t.Errorf("%d hedges, want %d", len(got), c.want)
			}
		})
	}
}

// Guards against a request that began slow, without any report that says so, and gets no hedge while one can still meet
// the aim: played days lost idempotent lookups with one attempt at their deadline.
func TestOvertimeIsHedged(t *testing.T) {
	m := poolModel(t)
	begin := look(1, epoch)
	begin.Objective = 300 * time.Millisecond
	m.Update(epoch, begin)
	at := epoch
	for range 3 {
		at = at.Add(begin.Objective / 4)
		paces(m, at, map[string]float64{"a": 1, "b": 1})
		if ids := sends(m.Update(at, call.TimerFired{Call: 1})); len(ids) > 0 {
			if took := at.Sub(epoch); took < 3*lookWork/2 || took > begin.Objective-lookWork {
				t.Errorf("hedged after %v", took)
			}
			return
		}
	}
	t.Error("no hedge before the aim is out of reach")
}

// Guards against a retry budget that ends while back ends shed at random: their nodes keep them within their slots, so
// that a refusal of theirs is a fault and another back end probably takes the request.
func TestShedRequestsKeepTheBudgetOfPools(t *testing.T) {
	m := poolModel(t)
	retried := 0
	for i := range 200 {
		at := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		ids := sends(m.Update(at, look(call.ID(5000+i), at)))
		if i%5 > 0 {
			m.Update(at, call.Response{Attempt: ids[0], Outcome: attempt.Answered, Deliverable: true})
			m.Update(at, call.Ended{Attempt: ids[0]})
			continue
		}
		shed := call.Response{
			Attempt: ids[0], Outcome: attempt.NotRun, Result: balancer.Refused,
			Refusal: refusal.Refusal{Reason: refusal.Shed, Outcome: attempt.NotRun},
		}
		for _, id := range sends(m.Update(at, shed)) {
			retried++
			m.Update(at, call.Response{Attempt: id, Outcome: attempt.Answered, Deliverable: true})
			m.Update(at, call.Ended{Attempt: id})
		}
	}
	// The stated ratio of 0.2 less its margin, for one request in five that is shed.
	if retried < 30 {
		t.Errorf("%d of 40 shed requests were tried again", retried)
	}
}

// Guards against extra attempts above the bound of a service that is called by second runs: their calls are extra there.
func TestCallsOfSecondRunsAreCharged(t *testing.T) {
	retries := func(rerun float64) int {
		m := poolModel(t)
		n := 0
		for i := range 200 {
			at := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
			begin := look(call.ID(5000+i), at)
			begin.RerunShare = rerun
			ids := sends(m.Update(at, begin))
			lost := call.Response{Attempt: ids[0], Outcome: attempt.Unknown, Result: balancer.Lost}
			n += len(sends(m.Update(at, lost)))
		}
		return n
	}
	if got := retries(1); got > 4 {
		t.Errorf("%d extra attempts while every call comes from a second run", got)
	}
	if got := retries(0); got < 20 || got > 44 {
		t.Errorf("%d extra attempts of 200 calls, want about 17%%", got)
	}
}
