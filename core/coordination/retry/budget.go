package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the share of attempts refused for overload: extra attempts are reduced above overloadTolerance and end at
// overloadLimit.
const (
	overloadLimit     = 0.1
	overloadTolerance = 0.02     // reached without overload by refusals that are due to picks from stale hints
	overloadWeight    = 1.0 / 64 // of the newest result in the moving average
)

// Parameters of the latency quantile.
const (
	sampleWindow    = 500         // samples after which the older half of them is dropped
	minSamples      = 50          // samples before the first hedge
	quantileRefresh = 25          // samples between two readings of the quantile
	maxLatency      = time.Minute // longer latencies are recorded as this one
	latencyDigits   = 1           // significant digits, which suffice for the start of a hedge
)

// Budget allows extra attempts as a share of the recorded calls. One Budget serves the retries and the hedges of a service;
// it is not safe for concurrent use.
type Budget struct {
	cfg           Config
	tokens        float64 // extra attempts left, negative after Charge
	hedgeTokens   float64 // hedges left
	overloadShare float64 // moving average of the share of attempts refused for overload
	latencies     *hdrhistogram.WindowedHistogram
	windowSamples int // since the older half of the samples was dropped
	totalSamples  int
	hedgeDelay    time.Duration // latency quantile at the last reading
}

// Config holds the parameters of a Budget.
type Config struct {
	Ratio         float64 // extra attempts per call
	Burst         float64 // most extra attempts that can be saved up
	HedgeRatio    float64 // hedges per call, included in Ratio; 0 for no hedges
	HedgeQuantile float64 // latency quantile after which a hedge starts, 0 to 1

	// IgnoreOverload keeps the full budget while back ends refuse requests. It is for services whose destination nodes
	// refuse requests before they reach an overloaded back end: there, refusals by back ends show faults rather than
	// overload.
	IgnoreOverload bool
}

// New returns an empty Budget; calls add to it.
func New(cfg Config) *Budget {
	return &Budget{
		cfg:       cfg,
		latencies: hdrhistogram.NewWindowed(2, 1, maxLatency.Microseconds(), latencyDigits),
	}
}

// RecordCall adds the share of one call to the budget.
func (b *Budget) RecordCall(_ time.Time) {
	scale := b.scale()
	b.tokens = min(b.tokens+b.cfg.Ratio*scale, b.cfg.Burst)
	b.hedgeTokens = min(b.hedgeTokens+b.cfg.HedgeRatio*scale, b.cfg.Burst)
}

// Take takes one extra attempt from the budget, or returns false if none is left.
func (b *Budget) Take(now time.Time) bool { return b.TakeWithReserve(now, 0) }

// TakeWithReserve takes one extra attempt, or returns false if fewer than reserve would be left for more urgent calls.
func (b *Budget) TakeWithReserve(_ time.Time, reserve float64) bool {
	if b.tokens < 1+reserve || b.scale() == 0 {
		return false
	}
	b.tokens--
	return true
}

// Charge takes a part of an extra attempt that was made elsewhere; the budget may become negative, down to -Config.Burst.
func (b *Budget) Charge(part float64) {
	b.tokens = max(b.tokens-part, -b.cfg.Burst)
}

// TakeHedge takes one hedge, which is also an extra attempt, or returns false if none is left.
func (b *Budget) TakeHedge(now time.Time) bool { return b.TakeHedgeWithReserve(now, 0) }

// TakeHedgeWithReserve takes one hedge, or returns false if fewer than reserve extra attempts would be left for retries.
func (b *Budget) TakeHedgeWithReserve(now time.Time, reserve float64) bool {
	if b.hedgeTokens < 1 || !b.TakeWithReserve(now, reserve) {
		return false
	}
	b.hedgeTokens--
	return true
}

// RecordResult records the end of one attempt; overloaded means that its destination refused it for too many requests (see
// IsOverload). A caller with a balancer may count only refusals while the service as a whole has too many requests
// (balancer.Model.Overloaded), since the others are due to stale hints.
func (b *Budget) RecordResult(_ time.Time, overloaded bool) {
	share := 0.0
	if overloaded {
		share = 1
	}
	b.overloadShare += overloadWeight * (share - b.overloadShare)
}

// RecordLatency records the latency of one answered attempt.
func (b *Budget) RecordLatency(_ time.Time, d time.Duration) {
	us := max(1, min(d, maxLatency).Microseconds())
	// RecordValue fails only for values outside the range of the histogram.
	_ = b.latencies.Current.RecordValue(us)
	b.windowSamples++
	b.totalSamples++
	if b.totalSamples%quantileRefresh == 0 {
		b.hedgeDelay = time.Duration(b.latencies.Merge().ValueAtQuantile(100*b.cfg.HedgeQuantile)) * time.Microsecond
	}
	if b.windowSamples >= sampleWindow {
		b.windowSamples = 0
		b.latencies.Rotate()
	}
}

// HedgeDelay returns the time from the start of an attempt to its hedge. It returns false if hedges are off, the service is
// overloaded, or too few latencies are known.
func (b *Budget) HedgeDelay(_ time.Time) (time.Duration, bool) {
	if b.cfg.HedgeRatio == 0 || b.totalSamples < minSamples || b.scale() == 0 {
		return 0, false
	}
	return b.hedgeDelay, true
}

// scale returns the share of the budget that overload leaves, 0 to 1.
func (b *Budget) scale() float64 {
	if b.cfg.IgnoreOverload {
		return 1
	}
	return max(0, min(1, (overloadLimit-b.overloadShare)/(overloadLimit-overloadTolerance)))
}
