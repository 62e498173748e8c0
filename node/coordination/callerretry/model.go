package callerretry

import (
	"slices"
	"time"
)

// Pattern: more callers arrive than can be served, and refused ones come back. What they have waited counts against
// their aim, so that one that has lost its aim must not take the place of one that can still meet it.

const (
	// sameDeadline is how far apart two tries of a caller put the end of its time: limits are in whole milliseconds.
	sameDeadline = 1500 * time.Microsecond
	// maxRefused bounds the refused callers that are remembered.
	maxRefused = 1024
)

// Model remembers refused callers until their time ends; it is not safe for concurrent use.
type Model struct {
	refused []Caller
}

// Caller is one caller of a route.
type Caller struct {
	Route    string
	FirstTry time.Time // arrival of its first try
	Deadline time.Time // end of its time
}

// AddRefused remembers a caller that was told to come back.
func (m *Model) AddRefused(c Caller) {
	if len(m.refused) >= maxRefused {
		m.refused = slices.Delete(m.refused, 0, 1)
	}
	m.refused = append(m.refused, c)
}

// FirstTry returns when the caller of a request that arrives now made its first try. A refused caller is recognized by
// the end of its time, which all of its tries share.
func (m *Model) FirstTry(now time.Time, route string, deadline time.Time) time.Time {
	m.refused = slices.DeleteFunc(m.refused, func(c Caller) bool { return now.After(c.Deadline) })
	i := slices.IndexFunc(m.refused, func(c Caller) bool {
		return c.Route == route && c.Deadline.Sub(deadline).Abs() <= sameDeadline
	})
	if i < 0 {
		return now
	}
	first := m.refused[i].FirstTry
	m.refused = slices.Delete(m.refused, i, i+1)
	return first
}
