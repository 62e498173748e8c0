package call

import (
	"slices"
	"time"
)

// Sizes of the sample behind a quantile: enough for a p95, renewed within seconds at 60 calls/s.
const (
	sampleSize = 200
	sampleMin  = 40
	sampleEach = 20 // new values between two sorts
)

// quantile estimates a quantile of the newest latencies.
type quantile struct {
	q      float64
	sample []time.Duration // ring
	next   int
	fresh  int
	last   time.Duration
}

func newQuantile(q float64) *quantile {
	return &quantile{q: q}
}

func (e *quantile) add(d time.Duration) {
	if len(e.sample) < sampleSize {
		e.sample = append(e.sample, d)
	} else {
		e.sample[e.next] = d
		e.next = (e.next + 1) % sampleSize
	}
	if e.fresh++; e.fresh < sampleEach {
		return
	}
	e.fresh = 0
	sorted := slices.Clone(e.sample)
	slices.Sort(sorted)
	e.last = sorted[min(len(sorted)-1, int(e.q*float64(len(sorted))))]
}

func (e *quantile) value() (time.Duration, bool) {
	return e.last, len(e.sample) >= sampleMin
}
