package admission

import (
	"time"

	"pollenhill.example/core/coordination/servicetime"
	"pollenhill.example/core/protocol/refusal"
)

// A back end on a shared machine has slow periods: it is several times slower for a fraction of a second, and a request
// keeps the slowdown at which it starts until it ends. Therefore a speed check, a short request that measures the
// slowdown, is sent right before a start if the last reading may be outdated. In a slow period a request is refused so
// that it can move to another back end, or held until the period ends if it then finishes sooner.

const (
	// speedCheckCost is the latency that a speed check adds to a request.
	speedCheckCost = 6 * time.Millisecond
	// missedChangeCost is the average time lost by starting after an unnoticed change of the slowdown, as a multiple of
	// the normal service time. About half of the changes are for the worse.
	missedChangeCost = 2.5
	// Before any reading, initialChanges in initialObservedSeconds are assumed: the rate on machines whose slowdown may
	// change every servicetime.SlowdownInterval.
	initialChanges         = 5.0
	initialObservedSeconds = 2.0
	// maxObservedSeconds is the time after which the changes so far count half.
	maxObservedSeconds = 20.0
	// maxReadingGap is the longest time between two readings from which the rate of changes is learned.
	maxReadingGap = 200 * time.Millisecond
	// speedCheckTimeout is the longest time that requests are held for the result of a speed check.
	speedCheckTimeout = 40 * time.Millisecond
	// slowRatio is the ratio to the recent minimum of the slowdown from which a back end counts as slow.
	slowRatio = 2.0
	// meanSlowPeriodRemainder is the average time until a slow period ends, seen from any moment in it: half an interval,
	// and more because a quarter of the slow intervals are followed by another.
	meanSlowPeriodRemainder = servicetime.SlowdownInterval * 5 / 6
	// maxSlowPeriodWait is the age of a slow period from which requests no longer wait for its end.
	maxSlowPeriodWait = 3 * servicetime.SlowdownInterval
	// recheckInterval is the age of a reading from which the speed is checked again while requests are held.
	recheckInterval = 15 * time.Millisecond
	// minimumWindow is the shortest time for which the minimum slowdown is remembered. A back end that stays slow for
	// longer gets a new minimum.
	minimumWindow = time.Second
	// minHoldGain is how many times longer a request must take if it starts in the slow period than if it waits for the
	// end, for it to be held.
	minHoldGain = 1.2
)

// slowdownTracker tracks the slowdown of the back end and how often it changes.
type slowdownTracker struct {
	current     float64    // newest reading, 0 if the back end reports none
	readAt      time.Time  // time of the newest reading
	minima      [2]float64 // lowest readings of this and the previous minimumWindow, 0 for none
	windowStart time.Time  // start of this minimumWindow
	checkSentAt time.Time  // when the pending speed check was requested, zero if none is pending
	slowSince   time.Time  // start of the current slow period, zero outside of one

	changes         float64 // seen within observedSeconds
	observedSeconds float64 // sum of the gaps between readings
}

// record adds a reading of the slowdown.
func (t *slowdownTracker) record(now time.Time, factor float64) {
	t.countChange(now, factor)
	t.current, t.readAt, t.checkSentAt = factor, now, time.Time{}
	if now.Sub(t.windowStart) >= minimumWindow {
		t.minima = [2]float64{0, t.minima[0]}
		t.windowStart = now
	}
	if t.minima[0] == 0 || factor < t.minima[0] {
		t.minima[0] = factor
	}
	if !t.isSlow() {
		t.slowSince = time.Time{}
	} else if t.slowSince.IsZero() {
		t.slowSince = now
	}
}

// countChange updates the rate at which the slowdown changes.
func (t *slowdownTracker) countChange(now time.Time, factor float64) {
	if t.observedSeconds == 0 {
		t.changes, t.observedSeconds = initialChanges, initialObservedSeconds
	}
	gap := now.Sub(t.readAt)
	if t.current == 0 || gap > maxReadingGap {
		return
	}
	t.observedSeconds += gap.Seconds()
	if factor >= slowRatio*t.current || t.current >= slowRatio*factor {
		t.changes++
	}
	if t.observedSeconds > maxObservedSeconds {
		t.changes, t.observedSeconds = t.changes/2, t.observedSeconds/2
	}
}

// checkTimedOut reports whether the pending speed check has had no result within speedCheckTimeout.
func (t *slowdownTracker) checkTimedOut(now time.Time) bool {
	return !t.checkSentAt.IsZero() && now.Sub(t.checkSentAt) >= speedCheckTimeout
}

// recentMinimum returns the lowest slowdown within the last one to two minimumWindows, at least 1.
func (t *slowdownTracker) recentMinimum() float64 {
	lowest := t.minima[0]
	if t.minima[1] > 0 {
		lowest = min(lowest, t.minima[1])
	}
	return max(lowest, 1)
}

// isSlow reports whether the newest reading shows a slow period.
func (t *slowdownTracker) isSlow() bool {
	return t.current >= slowRatio*t.recentMinimum()
}

// needsCheck reports whether the expected loss by a change since the newest reading exceeds the cost of a speed check.
func (t *slowdownTracker) needsCheck(now time.Time, serviceTime time.Duration) bool {
	if t.current == 0 {
		return false
	}
	expectedChanges := now.Sub(t.readAt).Seconds() * t.changes / t.observedSeconds
	return expectedChanges*missedChangeCost*float64(serviceTime) > float64(speedCheckCost)
}

// completionTimes returns the expected time to completion of a request that starts now, in a slow period, and of one that
// waits for the end of the period.
func (t *slowdownTracker) completionTimes(serviceTime time.Duration) (now, later time.Duration) {
	now = servicetime.Expected(serviceTime, t.current)
	later = meanSlowPeriodRemainder + servicetime.Expected(serviceTime, t.recentMinimum())
	return now, later
}

// expectedCompletion returns the expected time to completion of a request that has a slot.
func (m *Model) expectedCompletion(a Arrive) time.Duration {
	serviceTime := m.normalServiceTime(a)
	if m.limits.FixedLimit && m.slowdown.isSlow() {
		started, held := m.slowdown.completionTimes(serviceTime)
		return min(started, held)
	}
	return servicetime.Expected(serviceTime, m.slowdown.current)
}

// shouldHold reports whether a request should wait although a slot is free: for a speed check, or for the end of a slow
// period.
func (m *Model) shouldHold(now time.Time, a Arrive) bool {
	serviceTime := m.normalServiceTime(a)
	if m.takesSpeedChecks() && m.slowdown.needsCheck(now, serviceTime) && !m.slowdown.checkTimedOut(now) {
		return true
	}
	if !m.slowdown.isSlow() || now.Sub(m.slowdown.slowSince) >= maxSlowPeriodWait {
		return false
	}
	started, held := m.slowdown.completionTimes(serviceTime)
	return float64(started) > minHoldGain*float64(held)
}

// takesSpeedChecks reports whether the back end gets speed checks. A cold one can take only few requests per second, and
// one that names a request limit counts checks as requests; their responses report the slowdown.
func (m *Model) takesSpeedChecks() bool {
	_, limited := m.requestRate.limit.PerSecond()
	return m.state == Ready && !limited
}

// shouldMove reports whether a request should be refused so that the entry node sends it to a faster back end: this one is
// in a slow period, by a reading that needs no check.
func (m *Model) shouldMove(now time.Time, a Arrive) bool {
	return a.Movable && m.slowdown.isSlow() && !m.slowdown.needsCheck(now, m.normalServiceTime(a))
}

// refuseMovable refuses the queued requests that should move to another back end.
func (m *Model) refuseMovable(now time.Time) []Cmd {
	var cmds []Cmd
	for _, a := range m.queue.remove(func(a Arrive) bool { return m.shouldMove(now, a) }) {
		cmds = append(cmds, Refuse{ID: a.ID, Reason: refusal.BackendSlow, RetryAfter: busyRetryAfter})
	}
	return cmds
}

// requestSpeedCheck asks for a speed check if a request is held and the newest reading is too old, unless one is pending.
func (m *Model) requestSpeedCheck(now time.Time) []Cmd {
	if len(m.queue) == 0 || !m.takesSpeedChecks() || m.slowdown.current == 0 || !m.canStart(now) {
		return nil
	}
	if !m.slowdown.checkSentAt.IsZero() {
		return nil
	}
	for _, a := range m.queue {
		due := m.slowdown.needsCheck(now, m.normalServiceTime(a))
		if m.shouldHold(now, a) && (due || now.Sub(m.slowdown.readAt) >= recheckInterval) {
			m.slowdown.checkSentAt = now
			return []Cmd{CheckSpeed{}}
		}
	}
	return nil
}
