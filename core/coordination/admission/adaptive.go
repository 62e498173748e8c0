package admission

import (
	"slices"
	"time"
)

const (
	latencySamples = 32 // latencies kept for the mean and the median
	minCompletions = 16 // good completions before the baseline is known or a hold can end

	maxFailedChecks = 2 // failed health checks in a row that count as a sign of a cold start

	shedDecrease = 0.7 // factor on the limit when the back end sheds a request

	highLatencyRatio    = 2.0 // mean latency over the baseline that lowers the limit
	highLatencyDecrease = 0.9 // factor on the limit for high latency
	highLatencyFloor    = 0.5 // share of the slots below which high latency alone does not lower the limit

	initialHold           = 500 * time.Millisecond
	maxHold               = 30 * time.Second
	holdResetAfter        = time.Minute // time without signs of a cold start after which the hold is initialHold again
	recoveredLatencyRatio = 1.75        // mean latency over the baseline above which a hold does not end

	baselineWeight = 1.0 / 256 // of one completion
	// baselineRelearnAfter is the time at the cold limit after which a lasting change of latency becomes the new baseline.
	// It is longer than a cold start; otherwise a cold back end would count as warm.
	baselineRelearnAfter  = 10 * time.Second
	baselineRelearnWeight = 1.0 / 16
)

// A step of the latency is detected by a cumulative sum (CUSUM): each completion adds the ratio of its latency to the
// baseline, less latencyStepSlack. A noisy neighbour that halves the speed stays below the slack; a back end at a quarter
// of its speed reaches the threshold after about 16 completions.
const (
	latencyStepSlack     = 3.0
	latencyStepThreshold = 16.0
	latencyStepMaxRatio  = 8.0 // largest ratio counted for one completion, so that two long requests are no step
)

// A burst of failures is detected in the same way: each result adds 1 if it failed, less failureSlack and a multiple of
// the usual failure share. Three failures in a row reach the threshold; a few percent of failing requests hardly ever do.
const (
	failureSlack          = 0.15
	failureBaselineFactor = 4.0
	failureThreshold      = 2.0
)

// adaptiveLimit is the concurrency limit of a ready back end, adapted to latency and failures. It starts at the cold
// limit, grows by one each time as many requests as the limit have completed while it was in use, and returns to the
// cold limit on signs of a cold start.
type adaptiveLimit struct {
	limits          Limits
	size            float64         // current limit while not restricted
	latencies       []time.Duration // last good latencies, oldest first
	failureSum      float64         // cumulative sum of failures
	failureBaseline float64         // usual share of failures
	baseline        time.Duration   // usual latency, zero while unknown
	failedChecks    int             // failed health checks in a row
	restricted      bool            // held at the cold limit
	restrictedAt    time.Time       // start of the hold
	restrictedUntil time.Time       // earliest end of the hold
	hold            time.Duration   // length of the current or next hold
	lastRestricted  time.Time       // last sign of a cold start
	completions     int             // good completions since the last change of the limit
	latencySum      float64         // cumulative sum of latency ratios
}

func newAdaptiveLimit(limits Limits) adaptiveLimit {
	return adaptiveLimit{limits: limits, size: float64(limits.ColdSlots), hold: initialHold}
}

func (l *adaptiveLimit) limit() int {
	if l.restricted {
		return min(l.limits.ColdSlots, l.limits.Slots)
	}
	return max(1, min(int(l.size), l.limits.Slots))
}

// reset returns to the cold limit, for a back end that is new or was out of service.
func (l *adaptiveLimit) reset() {
	l.size = float64(l.limits.ColdSlots)
	l.failureSum = 0
	l.completions = 0
	l.failedChecks = 0
	l.latencySum = 0
	l.restricted = false
}

// restrict holds the back end at the cold limit after a sign of a cold start. The hold is twice as long as the last one, up
// to maxHold, if that one has ended and its last sign is less than holdResetAfter ago.
func (l *adaptiveLimit) restrict(now time.Time) {
	if !l.restricted && now.Sub(l.lastRestricted) < holdResetAfter && !l.lastRestricted.IsZero() {
		l.hold = min(2*l.hold, maxHold)
	}
	if now.Sub(l.lastRestricted) >= holdResetAfter {
		l.hold = initialHold
	}
	l.reset()
	l.restricted = true
	l.lastRestricted = now
	l.restrictedAt = now
	l.restrictedUntil = now.Add(l.hold)
}

func (l *adaptiveLimit) healthCheck(now time.Time, ok bool) {
	if ok {
		l.failedChecks = 0
		return
	}
	l.failedChecks++
	if l.failedChecks >= maxFailedChecks {
		l.restrict(now)
	}
}

// done adapts the limit to the end of a request; inflight includes that request.
func (l *adaptiveLimit) done(now time.Time, msg Done, inflight int) {
	switch msg.Result {
	case Aborted:
		return
	case Reset:
		l.restrict(now)
		return
	case Shed:
		l.size = max(float64(l.limits.ColdSlots), l.size*shedDecrease)
	case Good:
		l.addLatency(msg.Latency)
	}
	if l.detectFailureBurst(msg.Result != Good) {
		l.restrict(now)
		return
	}
	if msg.Result == Good {
		l.goodCompletion(now, inflight)
	}
}

func (l *adaptiveLimit) goodCompletion(now time.Time, inflight int) {
	l.completions++
	if l.restricted {
		l.endHoldIfRecovered(now)
		return
	}
	if l.detectLatencyStep() {
		l.restrict(now)
		return
	}
	l.updateBaseline(baselineWeight)
	if l.completions < l.limit() {
		return
	}
	floor := highLatencyFloor * float64(l.limits.Slots)
	switch {
	case l.completions >= minCompletions && l.size > floor && l.latencyAbove(highLatencyRatio, latencySamples):
		l.size = max(floor, l.size*highLatencyDecrease)
	case inflight >= l.limit()-1 && l.size < float64(l.limits.Slots):
		l.size++
	default:
		return
	}
	l.completions = 0
}

// detectLatencyStep adds the last latency to the cumulative sum and reports whether it reaches the threshold.
func (l *adaptiveLimit) detectLatencyStep() bool {
	if l.baseline == 0 {
		return false
	}
	ratio := float64(l.latencies[len(l.latencies)-1]) / float64(l.baseline)
	l.latencySum = max(0, l.latencySum+min(ratio, latencyStepMaxRatio)-latencyStepSlack)
	return l.latencySum >= latencyStepThreshold
}

// endHoldIfRecovered ends the hold once enough requests have completed with about the baseline latency.
func (l *adaptiveLimit) endHoldIfRecovered(now time.Time) {
	if now.Sub(l.restrictedAt) >= baselineRelearnAfter {
		l.updateBaseline(baselineRelearnWeight)
	}
	if now.Before(l.restrictedUntil) || l.completions < minCompletions || l.failureSum > 0 ||
		l.latencyAbove(recoveredLatencyRatio, minCompletions) {
		return
	}
	l.restricted = false
	l.completions = 0
}

// updateBaseline moves the baseline towards the last latency.
func (l *adaptiveLimit) updateBaseline(weight float64) {
	if l.baseline == 0 {
		if len(l.latencies) >= minCompletions {
			l.baseline = l.meanLatency()
		}
		return
	}
	last := l.latencies[len(l.latencies)-1]
	l.baseline += time.Duration(weight * float64(last-l.baseline))
}

// latencyAbove reports whether the mean of the last n latencies exceeds the baseline by the factor.
func (l *adaptiveLimit) latencyAbove(factor float64, n int) bool {
	return l.baseline > 0 && float64(mean(l.latencies[max(0, len(l.latencies)-n):])) > factor*float64(l.baseline)
}

// detectFailureBurst adds one result to the cumulative sum of failures and reports whether it reaches the threshold.
func (l *adaptiveLimit) detectFailureBurst(failed bool) bool {
	x := 0.0
	if failed {
		x = 1
	}
	l.failureSum = max(0, l.failureSum+x-failureBaselineFactor*l.failureBaseline-failureSlack)
	if l.failureSum >= failureThreshold {
		return true
	}
	l.failureBaseline += baselineWeight * (x - l.failureBaseline)
	return false
}

func (l *adaptiveLimit) addLatency(d time.Duration) {
	l.latencies = appendBounded(l.latencies, d, latencySamples)
}

func (l *adaptiveLimit) medianLatency() time.Duration {
	return median(l.latencies)
}

func (l *adaptiveLimit) meanLatency() time.Duration {
	return mean(l.latencies)
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

// appendBounded appends v and drops the oldest value if there are more than n.
func appendBounded[T any](vs []T, v T, n int) []T {
	if len(vs) == n {
		copy(vs, vs[1:])
		vs[n-1] = v
		return vs
	}
	return append(vs, v)
}
