package admission

import "time"

// coldWindow is the span in which the starts at a cold back end are counted; it slides.
const coldWindow = time.Second

// coldShare is the part of a cold back end's rate that is used; it tolerates the whole rate, and a little above it for a moment.
const coldShare = 1.0

// starts bounds the starts per second at a cold back end.
type starts struct {
	rate float64 // requests a second, 0 for no bound
	at   []time.Time
}

// note counts a start; they are counted at all times, since a back end may turn cold at any moment.
func (s *starts) note(now time.Time) {
	if s.rate <= 0 {
		return
	}
	s.trim(now)
	s.at = append(s.at, now)
}

// free reports whether one more start fits into the window.
func (s *starts) free(now time.Time) bool {
	if s.rate <= 0 {
		return true
	}
	s.trim(now)
	return float64(len(s.at)+1) <= max(1, s.rate*coldShare)
}

func (s *starts) trim(now time.Time) {
	n := 0
	for n < len(s.at) && !now.Before(s.at[n].Add(coldWindow)) {
		n++
	}
	s.at = append(s.at[:0], s.at[n:]...)
}
