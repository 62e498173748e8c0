package admission

import "time"

const (
	// arrivalOvercommit is the multiple of a request limit at which attempts should arrive, so that it is used in full
	// although they do not arrive evenly.
	arrivalOvercommit = 1.25
	// minSharePeriod and maxSharePeriod bound the time between two changes of the share, in which about sharePeriodArrivals
	// should arrive.
	minSharePeriod      = 250 * time.Millisecond
	maxSharePeriod      = 2 * time.Second
	sharePeriodArrivals = 6
	// maxShareChange bounds the factor of one change in both directions.
	maxShareChange = 2.0
	minShare       = 0.01
)

// arrivalShare is the share of the attempts for a back end with a request limit that entry nodes should send there. It
// follows the arrivals, so that nobody has to know how many entry nodes there are and how much each of them sends.
type arrivalShare struct {
	value       float64 // 0 to 1
	arrivals    int     // since periodStart
	periodStart time.Time
}

func newArrivalShare(now time.Time) arrivalShare {
	return arrivalShare{value: 1, periodStart: now}
}

// arrived counts an arrival and changes the share at the end of a period.
func (s *arrivalShare) arrived(now time.Time, limit float64) {
	s.update(now, limit)
	s.arrivals++
}

// update changes the share at the end of a period, also after one without arrivals.
func (s *arrivalShare) update(now time.Time, limit float64) {
	elapsed := now.Sub(s.periodStart)
	target := arrivalOvercommit * limit
	if elapsed < sharePeriod(target) {
		return
	}
	change := maxShareChange
	if s.arrivals > 0 {
		change = target * elapsed.Seconds() / float64(s.arrivals)
	}
	change = max(1/maxShareChange, min(maxShareChange, change))
	s.value = max(minShare, min(1, s.value*change))
	s.arrivals, s.periodStart = 0, now
}

// sharePeriod returns the time in which enough attempts arrive to judge their rate.
func sharePeriod(target float64) time.Duration {
	if target*maxSharePeriod.Seconds() <= sharePeriodArrivals {
		return maxSharePeriod
	}
	return max(minSharePeriod, time.Duration(sharePeriodArrivals/target*float64(time.Second)))
}
