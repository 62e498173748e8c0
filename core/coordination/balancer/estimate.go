package balancer

import (
	"math"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/state/rule"
)

const (
	// initialServiceTime is assumed for a service until its first hint.
	initialServiceTime = 10 * time.Millisecond

	// serviceTimeDecay is the time constant with which a reported service time approaches that of the peers. A
	// longer one would leave a back end that was slow for a moment without work, and so without newer hints. Package
	// outlier handles back ends that stay slow.
	serviceTimeDecay = 250 * time.Millisecond

	// serviceTimeTolerance is the ratio to the service time of the peers up to which a reported one counts as equal:
	// hints are means of few requests, and following their noise unbalances the load.
	serviceTimeTolerance = 1.5

	// limitDecay is the time constant with which a reported concurrency limit approaches the configured slots.
	limitDecay = time.Second

	// meanLoadDecay is the time constant of the mean of several hints. It is longer than that of a single hint, since
	// the mean shows a lasting imbalance even when every hint is too old to tell the current number of requests.
	meanLoadDecay = 100 * time.Millisecond

	meanLoadWeight    = 0.05 // of the newest hint in backendState.meanOtherRequests
	latencyWeight     = 0.1  // of the newest sample in backendState.meanLatency
	serviceMeanWeight = 0.02 // of the newest hint in the values of serviceState

	// minLatencySamples is the number of measured latencies before a hint is compared with them.
	minLatencySamples = 8

	// minPlausibleLatencyShare is the share of the measured latency below which a reported service time is not
	// believed. A full queue at the destination explains a latency of three service times, but not of more.
	minPlausibleLatencyShare = 0.25
)

// backendState is what the entry node knows of one back end.
type backendState struct {
	inflight          int       // attempts in flight from this entry node
	otherRequests     float64   // requests of other entry nodes in the last hint
	meanOtherRequests float64   // moving average of otherRequests
	hintCount         int       // hints received
	hint              hint.Hint // last hint
	hintTime          time.Time // when the last hint was true, zero before the first one
	meanLatency       float64   // moving average of successful attempts from this entry node, seconds
	latencySamples    int
	lastFailure       time.Time // last refused or failed attempt from this entry node
}

// recordHint stores a hint that was true at the given time. Its request count includes those in flight from this entry
// node, which are subtracted to get the requests of the others.
func (b *backendState) recordHint(at time.Time, h hint.Hint) {
	b.hint = h
	b.hintTime = at
	b.otherRequests = max(0, float64(h.Inflight+h.Queued-b.inflight))
	b.hintCount++
	b.meanOtherRequests += max(meanLoadWeight, 1/float64(b.hintCount)) * (b.otherRequests - b.meanOtherRequests)
}

// admitsNothing reports whether the last hint is recent and has a concurrency limit of 0: the destination node refuses all
// requests, for example because the back end leaves, although the control processes have not said so yet.
func (b *backendState) admitsNothing(now time.Time) bool {
	return !b.hintTime.IsZero() && b.hint.Limit == 0 && now.Sub(b.hintTime) <= silenceTimeout
}

func (b *backendState) recordLatency(latency time.Duration) {
	b.latencySamples++
	b.meanLatency += max(latencyWeight, 1/float64(b.latencySamples)) * (latency.Seconds() - b.meanLatency)
}

// serviceState holds moving averages over the back ends of one service.
type serviceState struct {
	otherLoad   float64 // requests of other entry nodes per slot
	totalLoad   float64 // requests of all entry nodes per slot, queued ones included
	serviceTime float64 // approximate median of the reported service times, seconds
}

// recordHint updates the averages with the last hint of a back end.
func (s *serviceState) recordHint(b *backendState) {
	if b.hint.Limit > 0 {
		s.otherLoad += serviceMeanWeight * (b.otherRequests/float64(b.hint.Limit) - s.otherLoad)
		s.totalLoad += serviceMeanWeight * (float64(b.hint.Inflight+b.hint.Queued)/float64(b.hint.Limit) - s.totalLoad)
	}
	if b.hint.ServiceTime <= 0 {
		return
	}
	if s.serviceTime == 0 {
		s.serviceTime = b.hint.ServiceTime.Seconds()
	}
	// Steps of a fixed ratio approximate a running median, on which a single outlier has little effect.
	s.serviceTime *= 1 + serviceMeanWeight*float64(sign(b.hint.ServiceTime.Seconds()-s.serviceTime))
}

func sign(v float64) int {
	switch {
	case v > 0:
		return 1
	case v < 0:
		return -1
	}
	return 0
}

// estimate is the expected state of one back end at the time of a pick.
type estimate struct {
	load        float64 // requests at the back end or queued for it
	limit       float64 // concurrency limit
	serviceTime float64 // seconds
	uncertainty float64 // from 0 for a fresh hint to 1 for no usable hint
}

// estimate weights the last hint by its age and fills up with the averages of the service. The number of requests is
// out of date after about one service time; service time and limit remain valid for longer.
func (s *serviceState) estimate(now time.Time, t Target, b *backendState, rules rule.Service) estimate {
	serviceTime := s.serviceTime
	if serviceTime == 0 {
		serviceTime = initialServiceTime.Seconds()
	}
	limit := staticLimit(t, rules)
	if b.hintTime.IsZero() {
		return estimate{load: s.assumedLoad(t, limit) + float64(b.inflight), limit: limit, serviceTime: serviceTime, uncertainty: 1}
	}
	if b.hintImplausible() {
		measured := b.meanLatency / serviceTimeTolerance
		return estimate{load: s.assumedLoad(t, limit) + float64(b.inflight), limit: limit, serviceTime: max(serviceTime, measured), uncertainty: 1}
	}
	age := now.Sub(b.hintTime)
	hintWeight := math.Exp(-age.Seconds() / serviceTime)
	limitWeight := math.Exp(-age.Seconds() / limitDecay.Seconds())
	limit += limitWeight * (float64(b.hint.Limit) - limit)
	assumed := s.assumedLoad(t, limit)
	mean := assumed + math.Exp(-age.Seconds()/meanLoadDecay.Seconds())*(b.meanOtherRequests-assumed)
	otherRequests := mean + hintWeight*(b.otherRequests-mean)
	if reported := b.hint.ServiceTime.Seconds() / serviceTimeTolerance; reported > serviceTime {
		serviceTime += math.Exp(-age.Seconds()/serviceTimeDecay.Seconds()) * (reported - serviceTime)
	}
	return estimate{load: otherRequests + float64(b.inflight), limit: limit, serviceTime: serviceTime, uncertainty: 1 - hintWeight}
}

// assumedLoad returns the requests of other entry nodes assumed for a back end without a recent hint. For a cold back
// end the assumption is lower than the load of its peers: otherwise it would get no first request and never warm up.
func (s *serviceState) assumedLoad(t Target, limit float64) float64 {
	if t.State == admission.Cold {
		return min(s.otherLoad, 0.5) * limit
	}
	return s.otherLoad * limit
}

// hintImplausible reports whether the reported service time is too short for the latency measured by this entry node.
func (b *backendState) hintImplausible() bool {
	return b.latencySamples >= minLatencySamples && b.hint.ServiceTime.Seconds() < minPlausibleLatencyShare*b.meanLatency
}

// staticLimit returns the configured concurrency limit, which applies until a hint reports the actual one.
func staticLimit(t Target, rules rule.Service) float64 {
	if t.State == admission.Cold {
		return float64(firstPositive(rules.ColdSlots, rule.DefaultColdSlots))
	}
	return float64(firstPositive(t.Slots, firstPositive(rules.Slots, rule.DefaultSlots)))
}

func firstPositive(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}

// expectedTime returns the expected time to finish one more request, in seconds.
func (e estimate) expectedTime() float64 {
	limit := max(e.limit, 0.5)
	excess := e.load + 1 - limit
	// The number of requests is uncertain by about its square root once the hint is out of date.
	width := 0.5 + e.uncertainty*math.Sqrt(limit)
	wait := width * softplus(excess/width) / limit
	return e.serviceTime * (1 + wait + loadBias*e.load/limit)
}

// softplus is a smooth approximation of max(0, x).
func softplus(x float64) float64 {
	if x > 30 {
		return x // math.Exp overflows for large x; the error here is below 1e-13
	}
	return math.Log1p(math.Exp(x))
}

// loadBias is the share of a service time that a full back end costs more than an idle one. It prefers the less loaded
// of two back ends with free slots.
const loadBias = 0.2

// utilization returns the load with one more request, as a share of the concurrency limit.
func (e estimate) utilization() float64 {
	return (e.load + 1) / max(e.limit, 0.5)
}
