package admission

import (
	"slices"
	"time"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// This file admits requests by latency objective, for back ends with a fixed limit whose slowdown changes many times a
// second. An answer after the objective has less use, so that under overload the requests that can still meet theirs
// start first. The others use free slots only, wait a short time on a best-effort queue, or are refused while their
// callers can still retry.

const (
	// bestEffortMaxWait is the longest wait of a request that can no longer meet its objective.
	bestEffortMaxWait = 150 * time.Millisecond
	// bestEffortQueueShare is the length of the best-effort queue as a share of the concurrency limit.
	bestEffortQueueShare = 0.5
	// initialServiceTimeShare is the service time assumed for a route before its first completion, as a share of the
	// latency objective.
	initialServiceTimeShare = 0.3
)

// normalServiceTime returns the expected service time of a request at slowdown 1, the shortest that can be expected.
func (m *Model) normalServiceTime(a Arrive) time.Duration {
	if d, ok := m.serviceTimes[a.Route]; ok {
		return d
	}
	return time.Duration(initialServiceTimeShare * float64(a.LatencyObjective))
}

// queueWait returns the expected time until a slot is free for a request with that many waiting requests ahead of it.
func (m *Model) queueWait(ahead int) time.Duration {
	return time.Duration(float64(m.adaptive.meanLatency()) * float64(ahead+1) / float64(max(1, m.limit())))
}

// arriveWithObjective starts a request, queues it while an answer can still be of use to its caller, or refuses it.
func (m *Model) arriveWithObjective(now time.Time, msg Arrive) []Cmd {
	if now.Add(m.normalServiceTime(msg)).After(msg.Deadline) {
		return []Cmd{Refuse{ID: msg.ID, Reason: refusal.TooLate, RetryAfter: busyRetryAfter}}
	}
	msg.arrivedAt = now
	if m.shouldMove(now, msg) {
		return []Cmd{Refuse{ID: msg.ID, Reason: refusal.BackendSlow, RetryAfter: busyRetryAfter}}
	}
	if m.canStart(now) && m.noneStartable(now) {
		if !m.shouldHold(now, msg) {
			return []Cmd{m.start(now, msg)}
		}
		m.queue.insert(msg, byPriority)
		return nil
	}
	if now.Add(m.queueWait(m.queue.ahead(msg, byPriority)) + m.expectedCompletion(msg)).Before(msg.finishBy()) {
		m.queue.insert(msg, byPriority)
		return nil
	}
	return m.deferOrRefuse(now, msg)
}

// noneStartable reports whether every request in the queue is held.
func (m *Model) noneStartable(now time.Time) bool {
	return !slices.ContainsFunc(m.queue, func(a Arrive) bool { return !m.shouldHold(now, a) })
}

// deferOrRefuse moves a request that can't meet its objective to the best-effort queue, or refuses it.
func (m *Model) deferOrRefuse(now time.Time, msg Arrive) []Cmd {
	if !m.requestRate.allows(now) {
		return []Cmd{m.refuseForLimit(now, msg)}
	}
	capacity := max(1, int(bestEffortQueueShare*float64(m.limit())))
	meetsDeadline := now.Add(m.expectedCompletion(msg)).Before(msg.Deadline)
	if meetsDeadline && len(m.bestEffort) < capacity && now.Sub(msg.arrivedAt) < bestEffortMaxWait {
		m.bestEffort.insert(msg, byPriority)
		return nil
	}
	return []Cmd{Refuse{ID: msg.ID, Reason: m.fullReason(), RetryAfter: busyRetryAfter}}
}

// expireByObjective moves queued requests that can no longer meet their objective to the best-effort queue. It refuses
// those on the best-effort queue that would miss their deadline, and those that have waited for bestEffortMaxWait while
// more requests wait than slots are free.
func (m *Model) expireByObjective(now time.Time) []Cmd {
	var cmds []Cmd
	missed := m.queue.remove(func(a Arrive) bool { return now.Add(m.expectedCompletion(a)).After(a.finishBy()) })
	for _, a := range missed {
		cmds = append(cmds, m.deferOrRefuse(now, a)...)
	}
	exceeds := m.queueExceedsFreeSlots()
	expired := m.bestEffort.remove(func(a Arrive) bool {
		return exceeds && now.Sub(a.arrivedAt) >= bestEffortMaxWait || now.Add(m.expectedCompletion(a)).After(a.Deadline)
	})
	for _, a := range expired {
		cmds = append(cmds, Refuse{ID: a.ID, Reason: refusal.TooLate, RetryAfter: busyRetryAfter})
	}
	return cmds
}

// queueExceedsFreeSlots reports whether more requests wait than slots are free, so that a request that starts in a slow
// period keeps others from starting.
func (m *Model) queueExceedsFreeSlots() bool {
	return len(m.queue)+len(m.bestEffort) > m.limit()-len(m.inflight)
}

// startQueuedByObjective starts waiting requests, those that can meet their objective first.
func (m *Model) startQueuedByObjective(now time.Time) []Cmd {
	cmds := m.refuseMovable(now)
	exceeds := m.queueExceedsFreeSlots()
	for m.canStart(now) {
		next, ok := m.queue.takeFirst(func(a Arrive) bool { return !m.shouldHold(now, a) })
		if !ok {
			next, ok = m.bestEffort.takeFirst(func(a Arrive) bool {
				return !m.shouldHold(now, a) || !exceeds && now.Sub(a.arrivedAt) >= bestEffortMaxWait
			})
		}
		if !ok {
			break
		}
		cmds = append(cmds, m.start(now, next))
	}
	return append(cmds, m.requestSpeedCheck(now)...)
}

// finishBy returns the time by which a request must be expected to finish to stay in the queue. High priority stays until
// its deadline: such requests are few, start before all others, and those sent on behalf of another request delay one
// that already holds a slot.
func (a Arrive) finishBy() time.Time {
	if a.Priority == rule.PriorityHigh {
		return a.Deadline
	}
	return a.ObjectiveAt
}
