package call_test

import (
	"testing"
	"time"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/coordination/call"
)

// Guards against a refusal that names a later time to come back than one of the limited back ends allows, or an earlier
// one than all of them.
func TestRefusalNamesEarliestLimit(t *testing.T) {
	m := newPoolModel(t)
	cmds := m.Update(epoch, beginLookup(1, epoch))
	waits := []time.Duration{400 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 600 * time.Millisecond}
	for i := 0; i < len(waits); i++ {
		sent := sentAttempts(cmds)
		if len(sent) == 0 {
			break
		}
		cmds = m.Update(epoch, call.Response{
			Attempt: sent[0], Outcome: attempt.NotRun, Result: balancer.Refused, Deliverable: true,
			Refusal: refusal.Refusal{Reason: refusal.RequestLimit, Outcome: attempt.NotRun, RetryAfter: waits[i]},
		})
	}
	for _, cmd := range cmds {
		if r, ok := cmd.(call.Refuse); ok {
			if r.Refusal.Reason != refusal.RequestLimit || r.Refusal.RetryAfter != 300*time.Millisecond {
				t.Errorf("%+v", r.Refusal)
			}
			return
		}
	}
	t.Errorf("not refused: %+v", cmds)
}
