package call

import (
	"time"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/coordination/retry"
	"pollenhill.example/core/protocol/refusal"
)

const (
	// fullQueueShare is the number of waiting requests per slot from which a back end refuses more of them.
	fullQueueShare = 0.25
	// lateRetryShare is the wait of a caller whose objective is missed, as a share of the time until its deadline. Callers
	// wait for a third at most, and the wait is spread over half of its length.
	lateRetryShare = 0.2
)

// isPointless reports whether another attempt after a refusal would meet a full queue too. A request that others depend
// on, or that goes before all others, may still find a slot.
func (m *Model) isPointless(s *callState, reason refusal.Reason, target balancer.Target) bool {
	if !s.ByCost || s.Nested || s.Urgent || !retry.IsOverload(reason) || target.Observed.Limit == 0 {
		return false
	}
	return target.Observed.Requests >= (1+fullQueueShare)*float64(target.Observed.Limit)
}

// roomAfter returns the time after which a refused call is expected to find a slot: the time in which the back ends of its
// service finish what waits there. A call that then misses its objective anyway leaves that room to others for longer.
func (m *Model) roomAfter(s *callState, reason refusal.Reason) time.Duration {
	if !retry.IsOverload(reason) {
		return 0
	}
	now := m.now
	wait := m.cfg.Balancer.DrainTime(s.Service)
	objectiveAt := s.startedAt.Add(s.Objective - s.Waited)
	if now.Add(wait + m.serviceTimes[s.Route]).After(objectiveAt) {
		wait = max(wait, time.Duration(lateRetryShare*float64(s.Deadline.Sub(now))))
	}
	return min(wait, max(0, s.Deadline.Sub(now)-m.serviceTimes[s.Route]))
}
