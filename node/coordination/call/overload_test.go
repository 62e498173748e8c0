package call_test

import (
	"testing"
	"time"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/coordination/call"
)

// reportQueues reports full back ends with the same number of waiting requests until the averages have followed.
func reportQueues(m *call.Model, at time.Time, queued int) {
	for range 300 {
		for _, name := range []string{"a", "b"} {
			m.ReportHint(at, balancer.LoadReport{Backend: name, Hint: hint.Hint{
				Inflight: 14, Queued: queued, Limit: 14, Slowdown: 1, ServiceTime: lookupServiceTime,
			}})
		}
	}
}

// refuseFull begins a call, whose first attempt is refused for lack of room, and returns the commands that follow.
func refuseFull(m *call.Model, at time.Time, begin call.Begin) []call.Cmd {
	begin.ByCost = true
	ids := sentAttempts(m.Update(at, begin))
	return m.Update(at, call.Response{
		Attempt: ids[0], Outcome: attempt.NotRun, Result: balancer.Refused, Deliverable: true,
		Refusal: refusal.Refusal{Reason: refusal.AtCapacity, Outcome: attempt.NotRun, Node: "a", RetryAfter: time.Second},
	})
}

func retryAfter(cmds []call.Cmd) (time.Duration, bool) {
	for _, cmd := range cmds {
		if r, ok := cmd.(call.Refuse); ok {
			return r.Refusal.RetryAfter, true
		}
	}
	return 0, false
}

// Guards against refused requests that go from one full back end to the next while the pool as a whole is overloaded. The
// load: more requests than all back ends can do, so that each refuses what its queue has no place for. A call that another
// request waits for is still tried elsewhere, as is one after a refusal while another back end has room.
func TestOverloadIsPassedToCallersAtOnce(t *testing.T) {
	for _, tt := range []struct {
		name   string
		queued int
		edit   func(*call.Begin)
		want   int
	}{
		{"all full", 14, func(*call.Begin) {}, 0},
		{"all full, nested", 14, func(b *call.Begin) { b.Nested = true }, 1},
		{"others have room", 0, func(*call.Begin) {}, 1},
	} {
		m := newPoolModel(t)
		reportQueues(m, epoch, tt.queued)
		begin := beginLookup(1, epoch)
		tt.edit(&begin)
		if got := len(sentAttempts(refuseFull(m, epoch, begin))); got != tt.want {
			t.Errorf("%s: %d more attempts, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against a Retry-After that sends callers back while the queues that refused them are still full, and against one
// after their deadline. The load: queues that take 80 ms to drain, then longer ones, for a caller whose objective can still
// be met and for one that can only be late, who leaves the next room to others.
func TestRetryAfterIsTheTimeUntilRoom(t *testing.T) {
	for _, tt := range []struct {
		name     string
		queued   int
		left     time.Duration // until the deadline
		waited   time.Duration
		from, to time.Duration
	}{
		{"in time", 14, 6 * time.Second, 0, 70 * time.Millisecond, 90 * time.Millisecond},
		{"late", 14, 6 * time.Second, lookupObjective, 1200 * time.Millisecond, 2 * time.Second},
		{"longer than the deadline", 1400, time.Second, 0, 0, time.Second},
	} {
		m := newPoolModel(t)
		reportQueues(m, epoch, tt.queued)
		begin := beginLookup(1, epoch)
		begin.Deadline, begin.Waited = epoch.Add(tt.left), tt.waited
		wait, refused := retryAfter(refuseFull(m, epoch, begin))
		if !refused || wait < tt.from || wait > tt.to {
			t.Errorf("%s: refused %v, come back after %v, want %v to %v", tt.name, refused, wait, tt.from, tt.to)
		}
	}
}
