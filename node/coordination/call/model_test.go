package call_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/coordination/call"
)

// newEntryModel returns the model of an entry node with three back ends and a retry budget.
func newEntryModel() *call.Model {
	m := call.New(call.Config{Node: "e", Balancer: balancer.New(balancer.Config{Rand: rand.New(rand.NewPCG(1, 1))})})
	m.SetRules(epoch, rules)
	var targets []balancer.Target
	for _, name := range []string{"a", "b", "c"} {
		targets = append(targets, balancer.Target{Backend: name, Node: name, Service: "desk", Slots: 2, State: admission.Ready})
	}
	m.SetTargets(epoch, targets)
	return m
}

func sentAttempts(cmds []call.Cmd) []attempt.ID {
	var ids []attempt.ID
	for _, cmd := range cmds {
		if s, ok := cmd.(call.Send); ok {
			ids = append(ids, s.Attempt)
		}
	}
	return ids
}

// Guards against a refusal that every level of a call chain retries, which multiplies attempts, and against a refusal by
// the directly called destination that no level retries.
func TestOnlyRefusalsOneLevelBelowAreRetried(t *testing.T) {
	for depth, want := range map[int]int{3: 1, 4: 0, 9: 0} {
		m := newEntryModel()
		ids := sentAttempts(m.Update(epoch, call.Begin{Call: 1, Service: "desk", Deadline: epoch.Add(time.Second), Depth: 3}))
		if len(ids) != 1 {
			t.Fatalf("%d initial attempts, want 1", len(ids))
		}
		cmds := m.Update(epoch, call.Response{
			Attempt: ids[0], Outcome: attempt.NotRun, Result: balancer.Refused, Deliverable: true,
			Refusal: refusal.Refusal{Reason: refusal.Shed, Outcome: attempt.NotRun, Node: "deep", Depth: depth},
		})
		if got := len(sentAttempts(cmds)); got != want {
			t.Errorf("refusal at depth %d: %d more attempts, want %d", depth, got, want)
		}
		for _, cmd := range cmds {
			if r, ok := cmd.(call.Refuse); ok && (r.Refusal.Depth != depth || r.Refusal.Node != "deep") {
				t.Errorf("refusal at depth %d is passed back as %+v", depth, r.Refusal)
			}
		}
	}
}

// Guards against a hedged call whose slower attempt keeps running after the other one answered, and against a hedge of a
// request that is not idempotent.
func TestHedgeLoserIsAborted(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		m := newEntryModel()
		at := epoch
		for id := range call.ID(100) {
			at = at.Add(10 * time.Millisecond)
			ids := sentAttempts(m.Update(at, call.Begin{Call: id + 10, Service: "desk", Idempotent: true, Deadline: at.Add(time.Second)}))
			m.Update(at.Add(time.Millisecond), call.Response{Attempt: ids[0], Outcome: attempt.Answered, Deliverable: true})
			m.Update(at.Add(time.Millisecond), call.Ended{Attempt: ids[0]})
		}
		first := sentAttempts(m.Update(at, call.Begin{Call: 1, Service: "desk", Idempotent: idempotent, Deadline: at.Add(time.Second)}))
		late := at.Add(500 * time.Millisecond)
		second := sentAttempts(m.Update(late, call.TimerFired{Call: 1}))
		if (len(second) == 1) != idempotent {
			t.Fatalf("idempotent %v: %d hedges", idempotent, len(second))
		}
		if !idempotent {
			continue
		}
		aborted := false
		for _, cmd := range m.Update(late, call.Response{Attempt: second[0], Outcome: attempt.Answered, Deliverable: true}) {
			a, ok := cmd.(call.Abort)
			aborted = aborted || ok && a.Attempt == first[0]
		}
		if !aborted {
			t.Error("the slower attempt is not aborted")
		}
	}
}
