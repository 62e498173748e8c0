package pace

import "time"

const (
	bin      = 10 * time.Millisecond // of the length of a spell; reports of a change are about as exact
	bins     = 64
	spread   = 1    // neighbouring bins on each side that an observation counts for
	prior    = 4.0  // spells assumed before the first one
	leastEnd = 0.05 // share of the assumed spells that end in each bin
	maxCount = 400  // spells after which the older ones count half
)

// Spells learns how long back ends stay fast. What slows them down, such as the time slices of a shared machine, often
// comes in spells of similar length, so that the age of a spell tells how likely it ends soon.
type Spells struct {
	ended [bins]float64
	total float64
}

// Learn takes the length of a spell that has ended.
func (s *Spells) Learn(length time.Duration) {
	if s.total >= maxCount {
		s.halve()
	}
	at := int(length / bin)
	s.total++
	if at >= bins {
		return // it reached the end of every bin
	}
	low, high := max(0, at-spread), min(bins-1, at+spread)
	for i := low; i <= high; i++ {
		s.ended[i] += 1 / float64(high-low+1)
	}
}

func (s *Spells) halve() {
	s.total /= 2
	for i := range s.ended {
		s.ended[i] /= 2
	}
}

// Ends returns the probability that a spell of the given age ends within a time.
func (s *Spells) Ends(age, within time.Duration) float64 {
	first, last := int(age/bin), int((age+within)/bin)
	reached := s.total
	lasts := 1.0
	for i := range bins {
		if i > last {
			break
		}
		if i >= first {
			lasts *= 1 - (s.ended[i]+prior*leastEnd)/(max(reached, 0)+prior)
		}
		reached -= s.ended[i]
	}
	return 1 - lasts
}
