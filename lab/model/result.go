package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one run measured. Latencies are those at the entry node: the time to the client is
// the same for every policy.
type Result struct {
	LatencyBeforeFault      *hdrhistogram.Histogram // before the fault
	LatencyAfterFault       *hdrhistogram.Histogram // from the fault on
	CallsByEnding           [late + 1]int           // of calls offered after the warm-up
	FailedIdempotentCalls   int                     // idempotent calls offered after the warm-up that failed or were late
	OfferedCalls            int
	NeedlessRefusals        int // calls refused from the fault on while a back end in service had a free slot
	Retries                 int
	Hedges                  int
	Levels                  []LevelCounts
	OverColdLimit           int           // requests above the cold cap
	OverDetectableColdLimit int           // of these, after the first sign that a node could see
	LateStartsInRemovedZone int           // requests started in a zone more than 3 s after it was taken out
	MaxProbeTime            time.Duration // most probe time of one back end within one second
	MeasuredTime            time.Duration // time over which calls were offered after the warm-up

	from  time.Time // end of the warm-up
	fault time.Time
}

// LevelCounts counts the calls and attempts at one level of a call chain.
type LevelCounts struct {
	Calls    int
	Attempts int
}

func newResult() *Result {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Minute.Microseconds(), 3) }
	return &Result{LatencyBeforeFault: histogram(), LatencyAfterFault: histogram()}
}

func (r *Result) level(n int) *LevelCounts {
	for len(r.Levels) <= n {
		r.Levels = append(r.Levels, LevelCounts{})
	}
	return &r.Levels[n]
}

func (r *Result) offered(c *call) {
	if !c.began.Before(r.from) {
		r.OfferedCalls++
	}
}

func (r *Result) ended(c *call, o ending, now time.Time) {
	if c.began.Before(r.from) {
		return
	}
	r.CallsByEnding[o]++
	if c.idempotent && (o == failed || o == late) {
		r.FailedIdempotentCalls++
	}
	if o == refused && !r.fault.IsZero() && !now.Before(r.fault) && c.w.free() {
		r.NeedlessRefusals++
	}
	if o != answered {
		return
	}
	h := r.LatencyBeforeFault
	if !r.fault.IsZero() && !c.began.Before(r.fault) {
		h = r.LatencyAfterFault
	}
	// Calls end at their deadline, far below the highest value of the histogram.
	_ = h.RecordValue(max(1, now.Sub(c.began).Microseconds()))
}

// Quantile returns a latency quantile, 0 to 1, from the fault on, or of the whole run without one.
func (r *Result) Quantile(q float64) time.Duration {
	h := r.LatencyAfterFault
	if r.fault.IsZero() {
		h = r.LatencyBeforeFault
	}
	return time.Duration(h.ValueAtQuantile(100*q)) * time.Microsecond
}

// QuantileBeforeFault returns a latency quantile, 0 to 1, before the fault.
func (r *Result) QuantileBeforeFault(q float64) time.Duration {
	return time.Duration(r.LatencyBeforeFault.ValueAtQuantile(100*q)) * time.Microsecond
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
