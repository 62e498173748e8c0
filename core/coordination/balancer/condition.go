package balancer

import (
	"time"

	"pollenhill.example/core/protocol/requestlimit"
)

const (
	// conditionRetention is how long the condition of a back end is kept that is no target, as while its node restarts.
	conditionRetention = 10 * time.Minute
	// shareOvercommit is the multiple of its share of a request limit that an entry node uses. Some entry nodes need less
	// than their share; the destination node refuses what exceeds the limit.
	shareOvercommit = 1.5
	// limitCost is the cost added for a back end whose share of the request limit is used up.
	limitCost = 2.0
)

// condition is what this entry node has heard of a back end from its responses. It outlasts restarts of the node beside the
// back end, which forgets it.
type condition struct {
	limit   requestlimit.Limit
	share   float64 // requests per second of the limit for this entry node
	tokens  float64 // requests that may be sent now
	filled  time.Time
	heardAt time.Time

	leaving     bool
	startMillis int64 // of the instance that leaves, 0 if it is not known
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
		c.leaving, c.startMillis, c.heardAt = true, msg.StartMillis, now
	}
}

// condition returns the condition of a back end, a new one if there is none.
func (m *Model) condition(now time.Time, backend string) *condition {
	c, ok := m.conditions[backend]
	if !ok {
		// Entry nodes that hear of a limit at the same time start with different parts of a token.
		c = &condition{limit: requestlimit.None(), tokens: m.cfg.Rand.Float64(), filled: now}
		m.conditions[backend] = c
	}
	return c
}

// hearLimit updates the request limit of a back end with a response or a hint; the share is 0 if it is not known.
func (m *Model) hearLimit(now time.Time, backend string, limit requestlimit.Limit, share float64) {
	if !limit.Known() {
		return
	}
	perSecond, limited := limit.PerSecond()
	if _, heard := m.conditions[backend]; !limited && !heard {
		return
	}
	c := m.condition(now, backend)
	c.refill(now)
	_, before := c.limit.PerSecond()
	c.limit, c.heardAt = limit, now
	switch {
	case share > 0:
		c.share = share
	case !before:
		c.share = perSecond
	default:
		c.share = min(c.share, perSecond)
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

// refill adds the tokens of the time since the last refill.
func (c *condition) refill(now time.Time) {
	rate := shareOvercommit * c.share
	elapsed := max(0, now.Sub(c.filled).Seconds())
	c.filled = now
	c.tokens = min(max(1, rate/4), c.tokens+rate*elapsed)
}

// dropConditions removes conditions that are too old to be of use.
func (m *Model) dropConditions(now time.Time) {
	for backend, c := range m.conditions {
		if _, target := m.backends[backend]; !target && now.Sub(c.heardAt) > conditionRetention {
			delete(m.conditions, backend)
		}
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

// limitTokens returns how many requests this entry node may send to a back end now, or false if that has no limit.
func (m *Model) limitTokens(now time.Time, backend string) (float64, bool) {
	c, ok := m.conditions[backend]
	if !ok || !m.isLimited(backend) {
		return 0, false
	}
	c.refill(now)
	return c.tokens, true
}

// usedUp reports whether the share of a request limit is used up.
func (m *Model) usedUp(now time.Time, backend string) bool {
	tokens, limited := m.limitTokens(now, backend)
	return limited && tokens < 1
}

// takeToken counts an attempt against the request limit of a back end.
func (m *Model) takeToken(now time.Time, backend string) {
	if _, limited := m.limitTokens(now, backend); limited {
		c := m.conditions[backend]
		c.tokens = max(c.tokens-1, -1)
	}
}
