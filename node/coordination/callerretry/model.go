package callerretry

import (
	"slices"
	"time"
)

const (
	// deadlineTolerance is the largest difference between the deadlines of two tries of one caller. Callers send their
	// timeout in whole milliseconds, so the deadlines computed from it differ by rounding.
	deadlineTolerance = 1500 * time.Microsecond
	// maxRefused bounds the number of refused callers that are remembered; the oldest are dropped first.
	maxRefused = 1024
)

// Model remembers refused callers until their deadlines; it is not safe for concurrent use.
type Model struct {
	refused []Caller
}

// Caller identifies a refused caller by the route that it called and its deadline.
type Caller struct {
	Route    string
	FirstTry time.Time // arrival of its first try
	Deadline time.Time // when the caller gives up, the same for all its tries
}

// AddRefused remembers a caller whose request was refused, so that its next try is recognized.
func (m *Model) AddRefused(c Caller) {
	if len(m.refused) >= maxRefused {
		m.refused = slices.Delete(m.refused, 0, 1)
	}
	m.refused = append(m.refused, c)
}

// FirstTry returns when the caller of a request that arrives now made its first try; for a new caller that is now. A
// refused caller is recognized by its deadline, which all of its tries share, and then forgotten.
func (m *Model) FirstTry(now time.Time, route string, deadline time.Time) time.Time {
	m.refused = slices.DeleteFunc(m.refused, func(c Caller) bool { return now.After(c.Deadline) })
	i := slices.IndexFunc(m.refused, func(c Caller) bool {
		return c.Route == route && c.Deadline.Sub(deadline).Abs() <= deadlineTolerance
	})
	if i < 0 {
		return now
	}
	firstTry := m.refused[i].FirstTry
	m.refused = slices.Delete(m.refused, i, i+1)
	return firstTry
}
