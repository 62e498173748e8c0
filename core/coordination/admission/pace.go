package admission

import "time"

// paceWindow is the span in which the starts at a cold back end are counted; it slides.
const paceWindow = time.Second

// paceShare is the part of a cold back end's rate that is used: starts a little apart here may arrive closer together.
const paceShare = 0.95

// pace bounds the starts per second at a cold back end.
type pace struct {
	rate   float64 // requests a second, 0 for no bound
	starts []time.Time
}

// note counts a start; they are counted at all times, since a back end may turn cold at any moment.
func (p *pace) note(now time.Time) {
	if p.rate <= 0 {
		return
	}
	p.trim(now)
	p.starts = append(p.starts, now)
}

// free reports whether one more start fits into the window.
func (p *pace) free(now time.Time) bool {
	if p.rate <= 0 {
		return true
	}
	p.trim(now)
	return float64(len(p.starts)+1) <= max(1, p.rate*paceShare)
}

func (p *pace) trim(now time.Time) {
	n := 0
	for n < len(p.starts) && !now.Before(p.starts[n].Add(paceWindow)) {
		n++
	}
	p.starts = append(p.starts[:0], p.starts[n:]...)
}
