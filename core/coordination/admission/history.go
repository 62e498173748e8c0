package admission

import (
	"time"

	"pollenhill.example/core/protocol/attempt"
)

// The entry node may be told "not run" up to ten minutes before a delayed attempt arrives. Three
// generations of five minutes keep every ID for ten to fifteen minutes and expire in bulk.
const (
	generationLength = 5 * time.Minute
	generationCount  = 3
)

// attemptStatus is what the history knows of an attempt ID.
type attemptStatus int

const (
	unseen     attemptStatus = iota
	notStarted               // queued or refused
	cancelled                // must never start
	started                  // running or finished
)

// attemptHistory keeps the status of recent attempt IDs.
type attemptHistory struct {
	generations  [generationCount]map[attempt.ID]attemptStatus // newest first
	currentSince time.Time                                     // start of generations[0]
}

func (h *attemptHistory) status(now time.Time, id attempt.ID) attemptStatus {
	h.rotate(now)
	for _, statuses := range h.generations {
		if status, ok := statuses[id]; ok {
			return status
		}
	}
	return unseen
}

func (h *attemptHistory) record(now time.Time, id attempt.ID, status attemptStatus) {
	h.rotate(now)
	h.generations[0][id] = status
}

// rotate starts a new generation every generationLength and drops the oldest.
func (h *attemptHistory) rotate(now time.Time) {
	if h.generations[0] == nil {
		h.generations[0] = map[attempt.ID]attemptStatus{}
		h.currentSince = now
	}
	for range generationCount {
		if now.Sub(h.currentSince) < generationLength {
			return
		}
		copy(h.generations[1:], h.generations[:generationCount-1])
		h.generations[0] = map[attempt.ID]attemptStatus{}
		h.currentSince = h.currentSince.Add(generationLength)
	}
	// All generations have been replaced after a long time without messages.
	h.currentSince = now
}
