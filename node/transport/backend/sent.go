package backend

import (
	"sync"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=RequestKind -linecomment

// RequestKind is the kind of a request that this node sends to its back end.
type RequestKind int

// Kinds of requests; a back end counts both.
const (
	AttemptRequest RequestKind = iota // attempt
	CheckRequest                      // check

	requestKinds // number of kinds, not a kind itself
)

// sentWindow is the time over which recently sent requests are counted.
const sentWindow = 4 * time.Second

// sentRequests counts the requests that were sent to the back end; it is safe for concurrent use.
type sentRequests struct {
	mu     sync.Mutex
	total  [requestKinds]int64
	recent [requestKinds][]time.Time // within sentWindow, oldest first
}

// record counts a request that is sent now.
func (s *sentRequests) record(now time.Time, kind RequestKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total[kind]++
	s.recent[kind] = append(s.dropOld(now, kind), now)
}

// totals returns the number of requests since the start of the node.
func (s *sentRequests) totals() [requestKinds]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// inWindow returns the number of requests of a kind within sentWindow before now.
func (s *sentRequests) inWindow(now time.Time, kind RequestKind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent[kind] = s.dropOld(now, kind)
	return len(s.recent[kind])
}

func (s *sentRequests) dropOld(now time.Time, kind RequestKind) []time.Time {
	times := s.recent[kind]
	n := 0
	for n < len(times) && now.Sub(times[n]) >= sentWindow {
		n++
	}
	return append(times[:0], times[n:]...)
}
