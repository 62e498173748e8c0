package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	overloadWeight = 1.0 / 64 // of one answer in the share of overloaded answers
	overloadLimit  = 0.1      // share of overloaded answers at which extra attempts end
	overloadFloor  = 0.02     // share that chance refusals of stale picks reach without overload
	// sampleWindow is the number of latencies after which the older half of them is dropped.
	sampleWindow = 500
	minSamples   = 50
	refresh      = 25          // samples between two readings of the quantile
	longest      = time.Minute // latencies above count as this
	digits       = 1           // significant digits of latencies; a hedge needs no better
)

// Budget allows extra attempts as a share of the calls seen; it is not safe for concurrent use. One
// Budget serves the retries and the hedges of a service.
type Budget struct {
	cfg      Config
	tokens   float64
	hedges   float64
	overload float64 // share of recent answers that were refusals by full servers
	latency  *hdrhistogram.WindowedHistogram
	samples  int // since the last rotation
	total    int
	delay    time.Duration // quantile at the last refresh
}

// Config sets the share and the burst of a Budget.
type Config struct {
	Ratio         float64 // extra attempts per call
	Burst         float64 // extra attempts that may come at once
	HedgeRatio    float64 // hedges per call, part of Ratio
	HedgeQuantile float64 // latency quantile after which a hedge starts, 0 to 1

	// IgnoreOverload keeps the budget while servers refuse work: where destinations refuse before their back end, refusals
	// of back ends show faults rather than overload.
	IgnoreOverload bool
}

// New returns an empty Budget: extra attempts are earned by calls.
func New(cfg Config) *Budget {
	return &Budget{
		cfg:     cfg,
		latency: hdrhistogram.NewWindowed(2, 1, longest.Microseconds(), digits),
	}
}

// RecordCall earns the share of one call.
func (b *Budget) RecordCall(_ time.Time) {
	scale := b.scale()
	b.tokens = min(b.tokens+b.cfg.Ratio*scale, b.cfg.Burst)
	b.hedges = min(b.hedges+b.cfg.HedgeRatio*scale, b.cfg.Burst)
}

// Take spends one extra attempt, or returns false if none is left.
func (b *Budget) Take(now time.Time) bool { return b.TakeWithReserve(now, 0) }

// TakeWithReserve spends one extra attempt unless fewer than keep would be left, which are for more urgent calls.
func (b *Budget) TakeWithReserve(_ time.Time, keep float64) bool {
	if b.tokens < 1+keep || b.scale() == 0 {
		return false
	}
	b.tokens--
	return true
}

// Charge takes a part of an extra attempt that was made elsewhere; the budget may fall below nothing.
func (b *Budget) Charge(part float64) {
	b.tokens = max(b.tokens-part, -b.cfg.Burst)
}

// TakeHedge spends one hedge, which is also an extra attempt, or returns false if none is left.
func (b *Budget) TakeHedge(now time.Time) bool { return b.TakeHedgeWithReserve(now, 0) }

// TakeHedgeWithReserve spends one hedge unless fewer than keep extra attempts would be left, which are for failed attempts.
func (b *Budget) TakeHedgeWithReserve(now time.Time, keep float64) bool {
	if b.hedges < 1 || !b.TakeWithReserve(now, keep) {
		return false
	}
	b.hedges--
	return true
}

// RecordResult learns from the end of one attempt: overloaded says that a full server refused it while its
// service as a whole had too much work (choice.Model.Overloaded).
func (b *Budget) RecordResult(_ time.Time, overloaded bool) {
	share := 0.0
	if overloaded {
		share = 1
	}
	b.overload += overloadWeight * (share - b.overload)
}

// RecordLatency learns the latency of one answered attempt.
func (b *Budget) RecordLatency(_ time.Time, d time.Duration) {
	us := max(1, min(d, longest).Microseconds())
	// The value lies in the range of the histogram, so that recording it cannot fail.
	_ = b.latency.Current.RecordValue(us)
	b.samples++
	b.total++
	if b.total%refresh == 0 {
		b.delay = time.Duration(b.latency.Merge().ValueAtQuantile(100*b.cfg.HedgeQuantile)) * time.Microsecond
	}
	if b.samples >= sampleWindow {
		b.samples = 0
		b.latency.Rotate()
	}
}

// HedgeDelay returns the wait before a hedge, or false while too little is known or hedges are off.
func (b *Budget) HedgeDelay(_ time.Time) (time.Duration, bool) {
	if b.cfg.HedgeRatio == 0 || b.total < minSamples || b.scale() == 0 {
		return 0, false
	}
	return b.delay, true
}

// scale shrinks the budget from all to nothing as overload grows.
func (b *Budget) scale() float64 {
	if b.cfg.IgnoreOverload {
		return 1
	}
	return max(0, min(1, (overloadLimit-b.overload)/(overloadLimit-overloadFloor)))
}
