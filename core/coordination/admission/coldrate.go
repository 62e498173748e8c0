package admission

import "time"

// coldRateWindow is the length of the sliding window in which starts are counted.
const coldRateWindow = time.Second

// coldRateShare is the share of the cold rate that is used. A cold back end tolerates its whole rate, and slightly more
// for a moment.
const coldRateShare = 1.0

// startRate limits how many requests per second start at a cold back end.
type startRate struct {
	limit  float64     // requests per second, 0 for no limit
	recent []time.Time // starts within coldRateWindow
}

// record counts a start. Starts are counted in every state, since the back end may turn cold at any moment.
func (r *startRate) record(now time.Time) {
	if r.limit <= 0 {
		return
	}
	r.dropOld(now)
	r.recent = append(r.recent, now)
}

// allowsStart reports whether one more start fits into the window.
func (r *startRate) allowsStart(now time.Time) bool {
	if r.limit <= 0 {
		return true
	}
	r.dropOld(now)
	return float64(len(r.recent)+1) <= max(1, r.limit*coldRateShare)
}

func (r *startRate) dropOld(now time.Time) {
	n := 0
	for n < len(r.recent) && !now.Before(r.recent[n].Add(coldRateWindow)) {
		n++
	}
	r.recent = append(r.recent[:0], r.recent[n:]...)
}
