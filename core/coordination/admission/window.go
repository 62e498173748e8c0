package admission

import (
	"slices"
	"time"
)

const (
	samples    = 32   // latencies kept for the estimates
	recent     = 8    // results that decide on failures
	settled    = 16   // good completions before the baseline is known or a hold can end
	failures   = 3    // failures among the recent results that count as turned cold
	badChecks  = 2    // failed checks in a row that count as turned cold
	warmFactor = 1.75 // mean of the settled completions over the baseline that counts as warm again
	shedFactor = 0.7  // decrease after the back end sheds
	slowFactor = 2.0  // mean over the baseline that lowers the window
	slowStep   = 0.9
	slowFloor  = 0.5 // share of the slots that latency alone never takes away
	baseWeight = 1.0 / 256
	firstHold  = 500 * time.Millisecond
	maxHold    = 30 * time.Second
	calm       = time.Minute // without a cold sign, the hold starts again from firstHold
	// relearn is the time at the cold cap after which a lasting change of latency becomes the new
	// baseline: longer than a cold start, or a cold back end would count as warm.
	relearn       = 10 * time.Second
	relearnWeight = 1.0 / 16
)

// The latency step is found by a cumulative sum of latency over baseline: each completion adds its
// ratio less stepSlack. A noisy neighbour that halves the speed stays below stepSlack; a back end at
// a quarter of its speed reaches stepLimit after about 16 completions.
const (
	stepSlack = 3.0
	stepLimit = 16.0
	stepMost  = 8.0 // one completion counts at most this much, so that two long ones are no step
)

// A burst of failures is found in the same way: each result adds 1 if it failed, less failSlack and a
// multiple of the usual share of failures. Three failures in a row reach failLimit; a few percent of
// failing requests hardly ever do.
const (
	failSlack = 0.15
	failUsual = 4.0
	failLimit = 2.0
)

// window is the adaptive cap of a ready back end. It starts at the cold cap, gains one for each
// window of completed requests, and returns to the cold cap on signs of a cold start.
type window struct {
	limits     Limits
	size       float64
	latency    []time.Duration // last good latencies, oldest first
	fails      float64         // cumulative sum of failures
	failing    float64         // usual share of failures
	base       time.Duration   // usual service time, zero while unknown
	bad        int             // failed checks in a row
	restricted bool            // held at the cold cap
	since      time.Time       // start of the hold
	until      time.Time       // earliest end of the hold
	hold       time.Duration
	last       time.Time // last cold sign
	progress   int       // good completions since the last change of the window
	step       float64   // cumulative sum
}

func newWindow(limits Limits) window {
	return window{limits: limits, size: float64(limits.ColdSlots), hold: firstHold}
}

func (w *window) cap() int {
	if w.restricted {
		return min(w.limits.ColdSlots, w.limits.Slots)
	}
	return max(1, min(int(w.size), w.limits.Slots))
}

// restart begins again at the cold cap for a back end that is new or was away.
func (w *window) restart() {
	w.size = float64(w.limits.ColdSlots)
	w.fails = 0
	w.progress = 0
	w.bad = 0
	w.step = 0
	w.restricted = false
}

// restrict holds the back end at the cold cap; repeated signs hold it longer.
func (w *window) restrict(now time.Time) {
	if !w.restricted && now.Sub(w.last) < calm && !w.last.IsZero() {
		w.hold = min(2*w.hold, maxHold)
	}
	if now.Sub(w.last) >= calm {
		w.hold = firstHold
	}
	w.restart()
	w.restricted = true
	w.last = now
	w.since = now
	w.until = now.Add(w.hold)
}

func (w *window) check(now time.Time, ok bool) {
	if ok {
		w.bad = 0
		return
	}
	w.bad++
	if w.bad >= badChecks {
		w.restrict(now)
	}
}

// done learns from one completion; busy counts the requests at the back end including this one.
func (w *window) done(now time.Time, msg Done, busy int) {
	switch msg.Result {
	case Aborted:
		return
	case Reset:
		w.restrict(now)
		return
	case Shed:
		w.size = max(float64(w.limits.ColdSlots), w.size*shedFactor)
	case Good:
		w.sample(msg.Latency)
	}
	if w.burst(msg.Result != Good) {
		w.restrict(now)
		return
	}
	if msg.Result == Good {
		w.good(now, busy)
	}
}

func (w *window) good(now time.Time, busy int) {
	w.progress++
	if w.restricted {
		w.thaw(now)
		return
	}
	if w.stepped() {
		w.restrict(now)
		return
	}
	w.learn(baseWeight)
	if w.progress < w.cap() {
		return
	}
	floor := slowFloor * float64(w.limits.Slots)
	switch {
	case w.progress >= settled && w.size > floor && w.over(slowFactor, samples):
		w.size = max(floor, w.size*slowStep)
	case busy >= w.cap()-1 && w.size < float64(w.limits.Slots):
		w.size++
	default:
		return
	}
	w.progress = 0
}

// stepped adds the last latency to the cumulative sum.
func (w *window) stepped() bool {
	if w.base == 0 {
		return false
	}
	ratio := float64(w.latency[len(w.latency)-1]) / float64(w.base)
	w.step = max(0, w.step+min(ratio, stepMost)-stepSlack)
	return w.step >= stepLimit
}

// thaw ends the hold once enough work has completed at the usual speed.
func (w *window) thaw(now time.Time) {
	if now.Sub(w.since) >= relearn {
		w.learn(relearnWeight)
	}
	if now.Before(w.until) || w.progress < settled || w.fails > 0 || w.over(warmFactor, settled) {
		return
	}
	w.restricted = false
	w.progress = 0
}

// learn moves the baseline towards the last latency.
func (w *window) learn(weight float64) {
	if w.base == 0 {
		if len(w.latency) >= settled {
			w.base = w.mean()
		}
		return
	}
	last := w.latency[len(w.latency)-1]
	w.base += time.Duration(weight * float64(last-w.base))
}

// over says whether the mean of the last n latencies exceeds the baseline by the factor.
func (w *window) over(factor float64, n int) bool {
	return w.base > 0 && float64(mean(w.latency[max(0, len(w.latency)-n):])) > factor*float64(w.base)
}

// burst adds one result to the cumulative sum of failures.
func (w *window) burst(bad bool) bool {
	x := 0.0
	if bad {
		x = 1
	}
	w.fails = max(0, w.fails+x-failUsual*w.failing-failSlack)
	if w.fails >= failLimit {
		return true
	}
	w.failing += baseWeight * (x - w.failing)
	return false
}

func (w *window) sample(d time.Duration) {
	w.latency = keep(w.latency, d, samples)
}

func (w *window) median() time.Duration {
	return median(w.latency)
}

func (w *window) mean() time.Duration {
	return mean(w.latency)
}

func mean(ds []time.Duration) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	var sum time.Duration
	for _, d := range ds {
		sum += d
	}
	return sum / time.Duration(len(ds))
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
