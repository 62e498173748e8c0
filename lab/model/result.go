package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one run measured. Latencies are those at the entry node: the time to the client is
// the same for every policy.
type Result struct {
	Steady   *hdrhistogram.Histogram // before the fault
	Fault    *hdrhistogram.Histogram // from the fault on
	Endings  [late + 1]int           // of calls offered after the warm-up
	Broken   int                     // idempotent calls offered after the warm-up that failed or were late
	Offered  int
	Needless int // calls refused from the fault on while a back end in service had a free slot
	Retries  int
	Hedges   int
	Levels   []Level
	Over     int           // requests above the cold cap
	Known    int           // of these, after the first sign that a node could see
	Tail     int           // requests started in a zone more than 3 s after it was taken out
	Probe    time.Duration // most probe time of one back end within one second
	Measured time.Duration // time over which calls were offered after the warm-up

	from  time.Time // end of the warm-up
	fault time.Time
}

// Level counts the calls and attempts at one level of a call chain.
type Level struct {
	Calls    int
	Attempts int
}

func newResult() *Result {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Minute.Microseconds(), 3) }
	return &Result{Steady: histogram(), Fault: histogram()}
}

func (r *Result) level(n int) *Level {
	for len(r.Levels) <= n {
		r.Levels = append(r.Levels, Level{})
	}
	return &r.Levels[n]
}

func (r *Result) offered(c *call) {
	if !c.began.Before(r.from) {
		r.Offered++
	}
}

func (r *Result) ended(c *call, o ending, now time.Time) {
	if c.began.Before(r.from) {
		return
	}
	r.Endings[o]++
	if c.idempotent && (o == failed || o == late) {
		r.Broken++
	}
	if o == refused && !r.fault.IsZero() && !now.Before(r.fault) && c.w.free() {
		r.Needless++
	}
	if o != answered {
		return
	}
	h := r.Steady
	if !r.fault.IsZero() && !c.began.Before(r.fault) {
		h = r.Fault
	}
	// Calls end at their deadline, far below the highest value of the histogram.
	_ = h.RecordValue(max(1, now.Sub(c.began).Microseconds()))
}

// Quantile returns a latency quantile, 0 to 1, from the fault on, or of the whole run without one.
func (r *Result) Quantile(q float64) time.Duration {
	h := r.Fault
	if r.fault.IsZero() {
		h = r.Steady
	}
	return time.Duration(h.ValueAtQuantile(100*q)) * time.Microsecond
}

// SteadyQuantile returns a latency quantile, 0 to 1, before the fault.
func (r *Result) SteadyQuantile(q float64) time.Duration {
	return time.Duration(r.Steady.ValueAtQuantile(100*q)) * time.Microsecond
}

// Amplification returns the highest ratio of attempts to calls of any level.
func (r *Result) Amplification() float64 {
	most := 0.0
	for _, l := range r.Levels {
		if l.Calls > 0 {
			most = max(most, float64(l.Attempts)/float64(l.Calls))
		}
	}
	return most
}
