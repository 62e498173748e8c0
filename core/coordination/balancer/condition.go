package balancer

import (
	"time"

	"pollenhill.example/core/protocol/requestlimit"
)

// conditionRetention is how long the word of a back end is kept that it leaves, and the limit of one that is no target, as
// while its node restarts.
const conditionRetention = 10 * time.Minute

// condition is what this entry node has heard of a back end from its responses. It outlasts restarts of the node beside the
// back end, which forgets it.
type condition struct {
	limit   requestlimit.Limit
	share   float64 // of the attempts that would go to the back end, 0 to 1; the others go elsewhere
	heardAt time.Time

	leaving     bool
	leavingAt   time.Time // when it last said so
	startMillis int64     // of the instance that leaves, 0 if it is not known
}

// Condition reports what a response said about the back end that sent it.
type Condition struct {
	Backend     string
	StartMillis int64 // start of the instance in Unix time, 0 if it is not known
	Limit       requestlimit.Limit
	Leaving     bool // the instance is about to end
}

func (Condition) msg() {}

// applyCondition updates what is known of a back end with a response of its own.
func (m *Model) applyCondition(now time.Time, msg Condition) {
	m.hearLimit(now, msg.Backend, msg.Limit, 0)
	if msg.Leaving {
		c := m.condition(now, msg.Backend)
		c.leaving, c.leavingAt, c.startMillis = true, now, msg.StartMillis
	}
}

// condition returns the condition of a back end, a new one if there is none.
func (m *Model) condition(now time.Time, backend string) *condition {
	c, ok := m.conditions[backend]
	if !ok {
		c = &condition{limit: requestlimit.None(), share: 1, heardAt: now}
		m.conditions[backend] = c
	}
	return c
}

// hearLimit updates the request limit of a back end with a response or a hint; the share is 0 if it is not known.
func (m *Model) hearLimit(now time.Time, backend string, limit requestlimit.Limit, share float64) {
	if !limit.Known() {
		return
	}
	_, limited := limit.PerSecond()
	if _, heard := m.conditions[backend]; !limited && !heard {
		return
	}
	c := m.condition(now, backend)
	c.limit, c.heardAt = limit, now
	if share > 0 {
		c.share = share
	}
	if !limited && !c.leaving {
		delete(m.conditions, backend)
	}
}

// saidLeaving reports whether the instance of a target has said that it leaves. One that starts again under the same name
// has another start.
func (m *Model) saidLeaving(t Target) bool {
	c, ok := m.conditions[t.Backend]
	if !ok || !c.leaving {
		return false
	}
	return c.startMillis == 0 || t.StartMillis == 0 || c.startMillis == t.StartMillis
}

// dropConditions removes conditions that are too old to be of use. An instance that has said that it leaves is gone by then,
// so that a target with its name is another one.
func (m *Model) dropConditions(now time.Time) {
	for backend, c := range m.conditions {
		c.leaving = c.leaving && now.Sub(c.leavingAt) <= conditionRetention
		_, target := m.backends[backend]
		_, limited := c.limit.PerSecond()
		if limited && (target || now.Sub(c.heardAt) <= conditionRetention) || c.leaving {
			continue
		}
		delete(m.conditions, backend)
	}
}

// knownLimit returns the request limit of a back end as far as this entry node has heard it.
func (m *Model) knownLimit(backend string) requestlimit.Limit {
	if c, ok := m.conditions[backend]; ok {
		return c.limit
	}
	return requestlimit.Limit{}
}

// isLimited reports whether a back end names a request limit.
func (m *Model) isLimited(backend string) bool {
	_, limited := m.knownLimit(backend).PerSecond()
	return limited
}

// drawBeyondLimit reports whether an attempt should go elsewhere because of the request limit of a back end; it draws that
// at random, so that each entry node sends the same share of its attempts, however many it has.
func (m *Model) drawBeyondLimit(backend string) bool {
	c, ok := m.conditions[backend]
	return ok && m.isLimited(backend) && m.cfg.Rand.Float64() >= c.share
}
