package admission

import "time"

// coldRateWindow is the length of the sliding window in which starts are counted.
const coldRateWindow = time.Second

// coldRateShare is the share of the cold rate that is used. A cold back end tolerates its whole rate, and slightly more
// for a moment.
const coldRateShare = 1.0

// firstWindowShare is the share of the cold rate that is given out, evenly, in the first coldRateWindow of a node. The process
// before it may have used the whole rate a moment ago, and a cold back end tolerates half as much again.
const firstWindowShare = 0.5

// startRate limits how many requests per second start at a cold back end.
type startRate struct {
	limit       float64   // requests per second, 0 for no limit
	countedFrom time.Time // since then starts are counted; those of an earlier process of the node are not known
	starts      recentTimes
}

// record counts a start. Starts are counted in every state, since the back end may turn cold at any moment.
func (r *startRate) record(now time.Time) {
	if r.limit > 0 {
		r.starts.record(now, coldRateWindow)
	}
}

// allowsStart reports whether one more start fits into the window.
func (r *startRate) allowsStart(now time.Time) bool {
	if r.limit <= 0 {
		return true
	}
	return float64(r.starts.count(now, coldRateWindow)+1) <= r.allowed(now)
}

// allowed returns how many requests may start in the window that ends now.
func (r *startRate) allowed(now time.Time) float64 {
	if counted := now.Sub(r.countedFrom); counted < coldRateWindow {
		return r.limit * firstWindowShare * counted.Seconds()
	}
	return max(1, r.limit*coldRateShare)
}
