package admission

import (
	"cmp"
	"slices"
	"time"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// Pattern: overload of back ends whose speed changes many times a second. An answer is of full use within its aim
// only, so that work which can still meet its aim goes first, and a request that would wait beyond it takes only what
// is left over, for a short time, or is refused while its caller can still come back.

const (
	// lateWait is the longest wait of a request that can't meet its aim any more.
	lateWait = 150 * time.Millisecond
	// lateShare is the length of the queue of such requests, per request at the back end.
	lateShare = 0.5
	// firstWork is the time assumed for a route before its first completion, as a part of its aim.
	firstWork = 0.3
)

// least is the shortest time that a request can be expected to take.
func (m *Model) least(a Arrive) time.Duration {
	if d, ok := m.works[a.Route]; ok {
		return d
	}
	return time.Duration(firstWork * float64(a.LatencyObjective))
}

// wait is the expected time until a slot is free behind a number of waiting requests.
func (m *Model) wait(ahead int) time.Duration {
	return time.Duration(float64(m.window.mean()) * float64(ahead+1) / float64(max(1, m.cap())))
}

// arrivePrompt starts a request, lets it wait while that makes sense for its caller, or refuses it.
func (m *Model) arrivePrompt(now time.Time, msg Arrive) []Cmd {
	if now.Add(m.least(msg)).After(msg.Deadline) {
		return []Cmd{Refuse{ID: msg.ID, Reason: refusal.Late, RetryAfter: busyWait}}
	}
	msg.since = now
	if m.moves(now, msg) {
		return []Cmd{Refuse{ID: msg.ID, Reason: refusal.Slow, RetryAfter: busyWait}}
	}
	if m.free(now) && m.first(now) {
		if !m.holds(now, msg) {
			return []Cmd{m.start(now, msg)}
		}
		m.queue.push(msg, urgency)
		return nil
	}
	if now.Add(m.wait(m.queue.ahead(msg, urgency)) + m.span(msg)).Before(msg.until()) {
		m.queue.push(msg, urgency)
		return nil
	}
	return m.defers(now, msg)
}

// first says whether no waiting request could start.
func (m *Model) first(now time.Time) bool {
	return !slices.ContainsFunc(m.queue, func(a Arrive) bool { return !m.holds(now, a) })
}

// defers puts a request behind those that can meet their aim, or refuses it.
func (m *Model) defers(now time.Time, msg Arrive) []Cmd {
	if now.Add(m.span(msg)).Before(msg.Deadline) && len(m.late) < max(1, int(lateShare*float64(m.cap()))) && now.Sub(msg.since) < lateWait {
		m.late.push(msg, urgency)
		return nil
	}
	return []Cmd{Refuse{ID: msg.ID, Reason: m.fullReason(), RetryAfter: busyWait}}
}

// sift moves waiting requests that can't meet their aim any more, and refuses those that waited for long enough.
func (m *Model) sift(now time.Time) []Cmd {
	var cmds []Cmd
	missed := m.queue.remove(func(a Arrive) bool { return now.Add(m.span(a)).After(a.until()) })
	for _, a := range missed {
		cmds = append(cmds, m.defers(now, a)...)
	}
	crowded := m.crowded()
	over := m.late.remove(func(a Arrive) bool {
		return crowded && now.Sub(a.since) >= lateWait || now.Add(m.span(a)).After(a.Deadline)
	})
	for _, a := range over {
		cmds = append(cmds, Refuse{ID: a.ID, Reason: refusal.Late, RetryAfter: busyWait})
	}
	return cmds
}

// crowded says whether more requests wait than slots are free, so that a slow run would take the place of others.
func (m *Model) crowded() bool {
	return len(m.queue)+len(m.late) > m.cap()-len(m.started)
}

// pumpPrompt starts waiting requests, those that can meet their aim first.
func (m *Model) pumpPrompt(now time.Time) []Cmd {
	cmds := m.move(now)
	crowded := m.crowded()
	for m.free(now) {
		next, ok := m.queue.take(func(a Arrive) bool { return !m.holds(now, a) })
		if !ok {
			next, ok = m.late.take(func(a Arrive) bool { return !m.holds(now, a) || !crowded && now.Sub(a.since) >= lateWait })
		}
		if !ok {
			break
		}
		cmds = append(cmds, m.start(now, next))
	}
	return append(cmds, m.check(now)...)
}

// until is the time by which a waiting request must end to keep its place. The most urgent ones keep it up to their
// deadline: they are few, they pass all others, and calls among them hold up requests that have a slot already.
func (a Arrive) until() time.Time {
	if a.Priority == rule.High {
		return a.Deadline
	}
	return a.ObjectiveAt
}

// urgency orders waiting requests: by priority, then by the aim.
func urgency(a, b Arrive) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), a.ObjectiveAt.Compare(b.ObjectiveAt))
}
