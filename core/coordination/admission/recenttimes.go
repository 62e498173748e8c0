package admission

import "time"

// recentTimes holds the times of events within a sliding window, oldest first.
type recentTimes []time.Time

// record adds an event and drops those before the window.
func (t *recentTimes) record(now time.Time, window time.Duration) {
	t.dropOld(now, window)
	*t = append(*t, now)
}

// count returns the number of events within the window.
func (t *recentTimes) count(now time.Time, window time.Duration) int {
	t.dropOld(now, window)
	return len(*t)
}

func (t *recentTimes) dropOld(now time.Time, window time.Duration) {
	times := *t
	n := 0
	for n < len(times) && !now.Before(times[n].Add(window)) {
		n++
	}
	*t = times[n:]
}
