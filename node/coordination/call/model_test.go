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

// entryModel is an entry node that knows three back ends and has retries to spend.
func entryModel() *call.Model {
	m := call.New(call.Config{Node: "e", Choice: balancer.New(balancer.Config{Rand: rand.New(rand.NewPCG(1, 1))})})
	m.SetRules(epoch, rules)
	var targets []balancer.Target
	for _, name := range []string{"a", "b", "c"} {
		targets = append(targets, balancer.Target{Backend: name, Node: name, Service: "desk", Slots: 2, State: admission.Ready})
	}
	m.SetTargets(epoch, targets)
	return m
}

func sends(cmds []call.Cmd) []attempt.ID {
	var ids []attempt.ID
	for _, cmd := range cmds {
		if s, ok := cmd.(call.Send); ok {
			ids = append(ids, s.Attempt)
		}
	}
	return ids
}

// Guards against a refusal that every level of a call chain retries, and against a refusal next door that no level retries.
func TestOnlyRefusalsNextDoorAreRetried(t *testing.T) {
	for level, want := range map[int]int{3: 1, 4: 0, 9: 0} {
		m := entryModel()
		ids := sends(m.Update(epoch, call.Begin{Call: 1, Service: "desk", Deadline: epoch.Add(time.Second), Depth: 3}))
		if len(ids) != 1 {
			t.Fatalf("%d attempts at first", len(ids))
		}
		cmds := m.Update(epoch, call.Response{
			Attempt: ids[0], Outcome: attempt.NotRun, Result: balancer.Refused, Deliverable: true,
			Refusal: refusal.Refusal{Reason: refusal.Shed, Outcome: attempt.NotRun, Node: "deep", Level: level},
		})
		if got := len(sends(cmds)); got != want {
			t.Errorf("refusal at level %d: %d more attempts, want %d", level, got, want)
		}
		for _, cmd := range cmds {
			if r, ok := cmd.(call.Refuse); ok && (r.Refusal.Level != level || r.Refusal.Node != "deep") {
				t.Errorf("refusal at level %d is passed back as %+v", level, r.Refusal)
			}
		}
	}
}

// Guards against a hedge whose loser runs on, and against a hedge of a request that is not idempotent.
func TestHedgeAndItsLoser(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		m := entryModel()
		at := epoch
		for id := range call.ID(100) {
			at = at.Add(10 * time.Millisecond)
			ids := sends(m.Update(at, call.Begin{Call: id + 10, Service: "desk", Idempotent: true, Deadline: at.Add(time.Second)}))
			m.Update(at.Add(time.Millisecond), call.Response{Attempt: ids[0], Outcome: attempt.Answered, Deliverable: true})
			m.Update(at.Add(time.Millisecond), call.Ended{Attempt: ids[0]})
		}
		first := sends(m.Update(at, call.Begin{Call: 1, Service: "desk", Idempotent: idempotent, Deadline: at.Add(time.Second)}))
		late := at.Add(500 * time.Millisecond)
		second := sends(m.Update(late, call.TimerFired{Call: 1}))
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
			t.Error("the loser is not cancelled")
		}
	}
}
