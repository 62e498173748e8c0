package choice

import "time"

const (
	// fastPace is the speed up to which a back end counts as fast.
	fastPace = 2.0
	// spellGap is the longest time between two reports that leaves no doubt when the speed changed.
	spellGap = 150 * time.Millisecond
	// slowingCost is what a back end that slows down during a request adds to its time, over its usual time.
	slowingCost = 1.5
)

// spell is a time in which a back end has been fast, or slow.
type spell struct {
	fast  bool
	since time.Time // zero while the start is not known
}

// spell notes a report of speed that was true at the given time.
func (s *service) spell(l *load, at time.Time, speed float64) {
	if speed <= 0 || at.Before(l.at) {
		return
	}
	fast := speed <= fastPace
	sure := !l.at.IsZero() && at.Sub(l.at) <= spellGap
	if !sure {
		l.spell = spell{fast: fast}
		return
	}
	if fast == l.spell.fast {
		return
	}
	if l.spell.fast && !l.spell.since.IsZero() {
		s.spells.Learn(at.Sub(l.spell.since))
	}
	l.spell = spell{fast: fast, since: at}
}

// slowing is the expected cost of a fast back end that slows down during a request.
func (s *service) slowing(now time.Time, l *load, work time.Duration) float64 {
	if work == 0 || !l.spell.fast {
		return 0
	}
	if l.spell.since.IsZero() {
		return slowingCost * s.spells.Ends(spellGap, work)
	}
	return slowingCost * s.spells.Ends(now.Sub(l.spell.since), work)
}
