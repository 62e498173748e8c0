package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of one run. Latencies are measured at the entry node, because the time to the client
// is the same for every policy.
type Result struct {
	LatencyBeforeFault      *hdrhistogram.Histogram // microseconds, answered calls that started before the fault
	LatencyAfterFault       *hdrhistogram.Histogram // microseconds, answered calls that started from the fault on
	CallsByEnding           [late + 1]int           // calls offered after the warm-up
	FailedIdempotentCalls   int                     // idempotent calls offered after the warm-up that failed or were late
	OfferedCalls            int                     // after the warm-up
	NeedlessRefusals        int                     // calls refused from the fault on while a back end that accepts requests had a free slot
	Retries                 int
	Hedges                  int
	Levels                  []LevelCounts // by call depth
	OverColdLimit           int           // requests started above the concurrency limit of a cold start
	OverDetectableColdLimit int           // of these, after the node could detect the cold start
	LateStartsInRemovedZone int           // requests started in a zone more than 3 s after it was taken out
	MaxProbeTime            time.Duration // longest total probe time of one back end within one second
	MeasuredTime            time.Duration // time over which calls were offered after the warm-up

	measuredFrom time.Time // end of the warm-up
	faultStart   time.Time
}

// LevelCounts holds the calls and attempts at one level of a call chain.
type LevelCounts struct {
	Calls    int
	Attempts int
}

func newResult() *Result {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Minute.Microseconds(), 3) }
	return &Result{LatencyBeforeFault: histogram(), LatencyAfterFault: histogram()}
}

func (r *Result) levelCounts(n int) *LevelCounts {
	for len(r.Levels) <= n {
		r.Levels = append(r.Levels, LevelCounts{})
	}
	return &r.Levels[n]
}

func (r *Result) recordOffered(c *call) {
	if !c.start.Before(r.measuredFrom) {
		r.OfferedCalls++
	}
}

func (r *Result) recordEnding(c *call, ending callEnding, now time.Time) {
	if c.start.Before(r.measuredFrom) {
		return
	}
	r.CallsByEnding[ending]++
	if c.idempotent && (ending == failed || ending == late) {
		r.FailedIdempotentCalls++
	}
	if ending == refused && !r.faultStart.IsZero() && !now.Before(r.faultStart) && c.sim.hasFreeSlot() {
		r.NeedlessRefusals++
	}
	if ending != answered {
		return
	}
	h := r.LatencyBeforeFault
	if !r.faultStart.IsZero() && !c.start.Before(r.faultStart) {
		h = r.LatencyAfterFault
	}
	// RecordValue cannot fail: calls end by their deadline, far below the highest value of the histogram.
	_ = h.RecordValue(max(1, now.Sub(c.start).Microseconds()))
}

// Quantile returns a latency quantile, 0 to 1, from the fault on, or over the whole run if there is no fault.
func (r *Result) Quantile(q float64) time.Duration {
	h := r.LatencyAfterFault
	if r.faultStart.IsZero() {
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
	highest := 0.0
	for _, l := range r.Levels {
		if l.Calls > 0 {
			highest = max(highest, float64(l.Attempts)/float64(l.Calls))
		}
	}
	return highest
}
