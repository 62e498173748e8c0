package call_test

import (
	"testing"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/coordination/call"
)

// findCmd returns the first effect of type C.
func findCmd[C call.Cmd](cmds []call.Cmd) (found C, ok bool) {
	for _, cmd := range cmds {
		if found, ok = cmd.(C); ok {
			return found, true
		}
	}
	return found, false
}

// Guards against calls that a node which shuts down keeps until its process is killed, and against one that is given up before
// its own deadline for no need or refused with a false outcome.
func TestCallsEndByLatestDeadline(t *testing.T) {
	m := newEntryModel()
	begin := func(id call.ID, timeout time.Duration) []call.Cmd {
		return m.Update(epoch, call.Begin{Call: id, Service: "desk", Deadline: epoch.Add(timeout)})
	}
	running := sentAttempts(begin(1, 10*time.Second))
	begin(2, time.Second)
	end := epoch.Add(5 * time.Second)
	timers := m.Update(epoch, call.EndBy{At: end})
	if timer, ok := findCmd[call.SetTimer](timers); !ok || len(timers) != 1 || timer != (call.SetTimer{Call: 1, At: end}) {
		t.Errorf("effects %+v, want one timer of call 1 at %v", timers, end)
	}
	later := begin(3, 20*time.Second)
	if timer, _ := findCmd[call.SetTimer](later); timer.At != end {
		t.Errorf("a later call has its timer at %v, want %v", timer.At, end)
	}
	for _, id := range []call.ID{1, 3} {
		if _, ok := findCmd[call.Cancel](m.Update(end, call.TimerFired{Call: id})); !ok {
			t.Errorf("call %d does not ask whether its attempt ran", id)
		}
	}
	refused, _ := findCmd[call.Refuse](m.Update(end, call.CancelResult{Attempt: lo.FirstOrEmpty(running), NotRun: true}))
	if refused.Refusal.Outcome != attempt.NotRun {
		t.Errorf("a call that did not run is refused with %+v", refused)
	}
	refused, _ = findCmd[call.Refuse](m.Update(end.Add(call.CancelGrace), call.TimerFired{Call: 3}))
	if refused.Refusal.Outcome != attempt.Unknown || refused.Refusal.Reason != refusal.Timeout {
		t.Errorf("a call that may have run is refused with %+v", refused)
	}
}
