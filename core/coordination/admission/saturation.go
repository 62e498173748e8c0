package admission

import "time"

const (
	// nearlyFullShare is the share of the slots above which a back end counts as nearly full.
	nearlyFullShare = 0.8
	// saturationSlowdown is the slowdown of a nearly full back end from which the last slots stay free: the last fifth of
	// the slots does not add more throughput than this costs.
	saturationSlowdown = 1.3
	// saturationMinSamples is the number of requests on each side of nearlyFullShare before the two are compared.
	saturationMinSamples = 40
	// saturationWeight is the weight of one request in the moving averages.
	saturationWeight = 0.04
	// saturationHold is the time for which the last slots stay free.
	saturationHold = 30 * time.Second
)

// saturationDetector detects back ends whose service time rises when they are nearly full, so that their last slots
// cost more throughput than they add. It compares requests that started with many others in flight to requests that
// started with few.
type saturationDetector struct {
	meanBelow, meanNearlyFull       float64 // service time over that of the route at slowdown 1
	samplesBelow, samplesNearlyFull int
	reducedUntil                    time.Time // the last slots are left free until then
}

// usableSlots returns how many of the slots to use.
func (d *saturationDetector) usableSlots(now time.Time, slots int) int {
	if now.Before(d.reducedUntil) {
		return max(1, int(nearlyFullShare*float64(slots)))
	}
	return slots
}

// observe records the slowdown of a finished request and the requests in flight when it started.
func (d *saturationDetector) observe(now time.Time, slowdown float64, inflight, slots int) {
	if float64(inflight) > nearlyFullShare*float64(slots) {
		d.meanNearlyFull = movingAverage(d.meanNearlyFull, slowdown, d.samplesNearlyFull)
		d.samplesNearlyFull++
	} else {
		d.meanBelow = movingAverage(d.meanBelow, slowdown, d.samplesBelow)
		d.samplesBelow++
	}
	if d.samplesNearlyFull >= saturationMinSamples && d.samplesBelow >= saturationMinSamples &&
		d.meanNearlyFull > saturationSlowdown*d.meanBelow {
		d.reducedUntil = now.Add(saturationHold)
		d.samplesNearlyFull = 0
	}
}

// movingAverage returns the average after the sample v, where n is the number of samples before it: the mean of the first
// samples, then an exponential moving average.
func movingAverage(mean, v float64, n int) float64 {
	return mean + max(saturationWeight, 1/float64(n+1))*(v-mean)
}
