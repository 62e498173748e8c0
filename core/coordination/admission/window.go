package admission

import (
	"slices"
	"time"
)

const (
	samples     = 32  // latencies kept for the estimates
	recent      = 8   // completions that decide on a latency step or failures
	stepFactor  = 3   // recent median over baseline that counts as turned cold
	warmFactor  = 1.5 // recent median over baseline that counts as warm again
	failures    = 3   // failures among the recent completions that count as turned cold
	badChecks   = 2   // failed checks in a row that count as turned cold
	shedFactor  = 0.7 // decrease after the back end sheds
	slowFactor  = 2.0 // recent median over baseline that lowers the window
	slowStep    = 0.9
	slowFloor   = 0.5 // share of the slots that latency alone never takes away
	baseWeight  = 1.0 / 64
	chillWeight = 1.0 / 16 // while held cold, a lasting change of latency becomes the new baseline
	firstHold   = 500 * time.Millisecond
	longestHold = 30 * time.Second
	calm        = time.Minute // without a cold sign, the hold starts again from firstHold
)

// window is the adaptive cap of a ready back end. It starts at the cold cap, gains one for each
// window of completed requests, and returns to the cold cap on signs of a cold start.
type window struct {
	limits   Limits
	size     float64
	latency  []time.Duration // last good latencies, oldest first
	results  []bool          // last results, true for a failure
	base     time.Duration   // usual service time, zero while unknown
	bad      int             // failed checks in a row
	chilled  bool            // held at the cold cap
	until    time.Time       // earliest end of the hold
	hold     time.Duration
	last     time.Time // last cold sign
	progress int       // good completions since the last growth or step
}

func newWindow(limits Limits) window {
	return window{limits: limits, size: float64(limits.Cold), hold: firstHold}
}

func (w *window) cap() int {
	if w.chilled {
		return min(w.limits.Cold, w.limits.Slots)
	}
	return max(1, min(int(w.size), w.limits.Slots))
}

// restart begins again at the cold cap for a back end that is new or was away.
func (w *window) restart() {
	w.size = float64(w.limits.Cold)
	w.results = nil
	w.progress = 0
	w.bad = 0
	w.chilled = false
}

// chill holds the back end at the cold cap; repeated signs hold it longer.
func (w *window) chill(now time.Time) {
	if !w.chilled && now.Sub(w.last) < calm && !w.last.IsZero() {
		w.hold = min(2*w.hold, longestHold)
	}
	if now.Sub(w.last) >= calm {
		w.hold = firstHold
	}
	w.restart()
	w.chilled = true
	w.last = now
	w.until = now.Add(w.hold)
}

func (w *window) check(now time.Time, ok bool) {
	if ok {
		w.bad = 0
		return
	}
	w.bad++
	if w.bad >= badChecks {
		w.chill(now)
	}
}

// done learns from one completion; busy counts the requests at the back end including this one.
func (w *window) done(now time.Time, msg Done, busy int) {
	switch msg.Result {
	case Aborted:
		return
	case Reset:
		w.chill(now)
		return
	case Shed:
		w.size = max(float64(w.limits.Cold), w.size*shedFactor)
	case Good:
		w.sample(msg.Latency)
	}
	w.results = keep(w.results, msg.Result != Good, recent)
	if w.failed() >= failures {
		w.chill(now)
		return
	}
	if msg.Result == Good {
		w.good(now, busy)
	}
}

func (w *window) good(now time.Time, busy int) {
	w.progress++
	if w.chilled {
		w.thaw(now)
		return
	}
	if w.progress >= recent && w.over(stepFactor) {
		w.chill(now)
		return
	}
	w.learn(baseWeight)
	if w.progress < max(w.cap(), recent/2) {
		return
	}
	w.progress = 0
	floor := slowFloor * float64(w.limits.Slots)
	switch {
	case w.over(slowFactor) && w.size > floor:
		w.size = max(floor, w.size*slowStep)
	case busy >= w.cap()-1 && w.size < float64(w.limits.Slots):
		w.size++
	}
}

// thaw ends the hold once enough work has completed at the usual speed.
func (w *window) thaw(now time.Time) {
	w.learn(chillWeight)
	if now.Before(w.until) || w.progress < recent || w.failed() > 0 || w.over(warmFactor) {
		return
	}
	w.chilled = false
	w.progress = 0
}

// learn moves the baseline towards the recent median.
func (w *window) learn(weight float64) {
	now := median(w.tail())
	if w.base == 0 {
		if len(w.latency) >= recent {
			w.base = now
		}
		return
	}
	w.base += time.Duration(weight * float64(now-w.base))
}

func (w *window) over(factor float64) bool {
	return w.base > 0 && float64(median(w.tail())) > factor*float64(w.base)
}

func (w *window) failed() int {
	n := 0
	for _, bad := range w.results {
		if bad {
			n++
		}
	}
	return n
}

func (w *window) tail() []time.Duration {
	return w.latency[max(0, len(w.latency)-recent):]
}

func (w *window) sample(d time.Duration) {
	w.latency = keep(w.latency, d, samples)
}

func (w *window) median() time.Duration {
	return median(w.latency)
}

func (w *window) mean() time.Duration {
	if len(w.latency) == 0 {
		return 0
	}
	var sum time.Duration
	for _, d := range w.latency {
		sum += d
	}
	return sum / time.Duration(len(w.latency))
}

func median(ds []time.Duration) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	sorted := slices.Clone(ds)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// keep appends v and drops the oldest values beyond n.
func keep[T any](vs []T, v T, n int) []T {
	if len(vs) == n {
		copy(vs, vs[1:])
		vs[n-1] = v
		return vs
	}
	return append(vs, v)
}
