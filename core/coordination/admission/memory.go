package admission

import (
	"time"

	"pollenhill.example/core/protocol/attempt"
)

// The entry node may be told "not run" up to ten minutes before a delayed attempt arrives. Three
// generations of five minutes keep every ID for ten to fifteen minutes and expire in bulk.
const (
	generation  = 5 * time.Minute
	generations = 3
)

// fate is what is remembered of an attempt ID.
type fate int

const (
	unseen    fate = iota
	seen           // queued or refused, not started
	cancelled      // never starts
	ran            // started
)

// memory keeps the fates of attempt IDs.
type memory struct {
	maps  [generations]map[attempt.ID]fate
	since time.Time // start of maps[0]
}

func (m *memory) fate(now time.Time, id attempt.ID) fate {
	m.rotate(now)
	for _, fates := range m.maps {
		if f, ok := fates[id]; ok {
			return f
		}
	}
	return unseen
}

func (m *memory) set(now time.Time, id attempt.ID, f fate) {
	m.rotate(now)
	m.maps[0][id] = f
}

func (m *memory) rotate(now time.Time) {
	if m.maps[0] == nil {
		m.maps[0] = map[attempt.ID]fate{}
		m.since = now
	}
	for range generations {
		if now.Sub(m.since) < generation {
			return
		}
		copy(m.maps[1:], m.maps[:generations-1])
		m.maps[0] = map[attempt.ID]fate{}
		m.since = m.since.Add(generation)
	}
	// Everything is older than all generations after a long pause.
	m.since = now
}
