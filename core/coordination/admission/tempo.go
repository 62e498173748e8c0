package admission

import (
	"time"

	"pollenhill.example/core/coordination/servicetime"
	"pollenhill.example/core/protocol/refusal"
)

// Pattern: a back end on a shared machine is several times slower for spells of a fraction of a second, and a request
// keeps for its whole run the speed that the back end had when it began. So the speed is looked at right before a
// start; in a slow spell a request goes elsewhere unstarted, or waits for the end of the spell, where that serves it
// sooner than a slow run.

const (
	// checkCost is the time that a check of the speed adds to a request.
	checkCost = 6 * time.Millisecond
	// changeLoss is the time that a start after an unnoticed change of speed costs on average, over the usual time of the
	// work: about half of the changes are for the worse.
	changeLoss = 2.5
	// Changes of speed assumed before any reading, as many as on machines whose time slices change each Swing.
	firstChanges = 5.0
	firstSeen    = 2.0 // seconds
	// seenLimit is the time after which older changes count half, in seconds.
	seenLimit = 20.0
	// longestGap is the longest time between two readings that says how often the speed changes.
	longestGap = 200 * time.Millisecond
	// checkLimit is the longest wait for the result of a check.
	checkLimit = 40 * time.Millisecond
	// slowRatio is how many times slower than at its best of late a back end counts as slow.
	slowRatio = 2.0
	// spellRest is the time that a slow spell goes on from any moment, on average: half a swing, and a quarter of the
	// spells are followed by another.
	spellRest = servicetime.SlowdownInterval * 5 / 6
	// spellLimit is the longest spell whose end is waited for.
	spellLimit = 3 * servicetime.SlowdownInterval
	// watchEvery is the age of a reading at which the speed is asked for again while requests wait for a better one.
	watchEvery = 15 * time.Millisecond
	// bestMemory is how long the best speed is remembered at least: a back end that stays slow for longer has a new best.
	bestMemory = time.Second
	// holdGain is how many times longer a slow run must take than a wait for a fast one.
	holdGain = 1.2
)

// tempo is what is known of the speed of the back end.
type tempo struct {
	factor float64    // newest reading: how long work takes over its usual time; 0 if the back end does not say
	at     time.Time  // of the newest reading
	best   [2]float64 // least readings of this and the last bestMemory, 0 for none
	turn   time.Time  // start of this bestMemory
	asked  time.Time  // when a check was asked for that has no result yet; zero for none
	slowed time.Time  // start of the slow spell, zero outside of one

	changes float64 // noticed in seen
	seen    float64 // seconds between readings
}

// read takes a reading.
func (t *tempo) read(now time.Time, factor float64) {
	t.count(now, factor)
	t.factor, t.at, t.asked = factor, now, time.Time{}
	if now.Sub(t.turn) >= bestMemory {
		t.best = [2]float64{0, t.best[0]}
		t.turn = now
	}
	if t.best[0] == 0 || factor < t.best[0] {
		t.best[0] = factor
	}
	if !t.slow() {
		t.slowed = time.Time{}
	} else if t.slowed.IsZero() {
		t.slowed = now
	}
}

// count learns how often the speed changes.
func (t *tempo) count(now time.Time, factor float64) {
	if t.seen == 0 {
		t.changes, t.seen = firstChanges, firstSeen
	}
	gap := now.Sub(t.at)
	if t.factor == 0 || gap > longestGap {
		return
	}
	t.seen += gap.Seconds()
	if factor >= slowRatio*t.factor || t.factor >= slowRatio*factor {
		t.changes++
	}
	if t.seen > seenLimit {
		t.changes, t.seen = t.changes/2, t.seen/2
	}
}

// silent says that the check which was asked for last has no result in time.
func (t *tempo) silent(now time.Time) bool {
	return !t.asked.IsZero() && now.Sub(t.asked) >= checkLimit
}

// usual is the best speed of late.
func (t *tempo) usual() float64 {
	best := t.best[0]
	if t.best[1] > 0 {
		best = min(best, t.best[1])
	}
	return max(best, 1)
}

// slow says whether the newest reading shows a slow spell.
func (t *tempo) slow() bool {
	return t.factor >= slowRatio*t.usual()
}

// doubtful says whether a change since the newest reading would cost work more than a check does.
func (t *tempo) doubtful(now time.Time, work time.Duration) bool {
	if t.factor == 0 {
		return false
	}
	changed := now.Sub(t.at).Seconds() * t.changes / t.seen
	return changed*changeLoss*float64(work) > float64(checkCost)
}

// slower is the expected time of work that starts in a slow spell, and later that of work that waits for its end.
func (t *tempo) slower(work time.Duration) (slow, waited time.Duration) {
	return servicetime.Expected(work, t.factor), spellRest + servicetime.Expected(work, t.usual())
}

// span is the expected time until a request that need not wait for a slot ends.
func (m *Model) span(a Arrive) time.Duration {
	work := m.least(a)
	if m.limits.FixedLimit && m.tempo.slow() {
		slow, waited := m.tempo.slower(work)
		return min(slow, waited)
	}
	return servicetime.Expected(work, m.tempo.factor)
}

// holds says whether a request waits although a slot is free: for a check of the speed, or for the end of a slow spell.
func (m *Model) holds(now time.Time, a Arrive) bool {
	work := m.least(a)
	// A cold back end is not checked, since it bears only few requests a second; its answers tell its speed.
	if m.state == Ready && m.tempo.doubtful(now, work) && !m.tempo.silent(now) {
		return true
	}
	if !m.tempo.slow() || now.Sub(m.tempo.slowed) >= spellLimit {
		return false
	}
	slow, other := m.tempo.slower(work)
	return float64(slow) > holdGain*float64(other)
}

// moves says whether a request should go elsewhere: the back end is surely slow, and the entry node knows a faster one.
func (m *Model) moves(now time.Time, a Arrive) bool {
	work := m.least(a)
	return a.Movable && m.tempo.slow() && !m.tempo.doubtful(now, work)
}

// move refuses waiting requests that should go elsewhere.
func (m *Model) move(now time.Time) []Cmd {
	var cmds []Cmd
	for _, a := range m.queue.remove(func(a Arrive) bool { return m.moves(now, a) }) {
		cmds = append(cmds, Refuse{ID: a.ID, Reason: refusal.Slow, RetryAfter: busyWait})
	}
	return cmds
}

// check asks for the speed while a request waits for it.
func (m *Model) check(now time.Time) []Cmd {
	if len(m.queue) == 0 || m.state != Ready || m.tempo.factor == 0 || !m.free(now) {
		return nil
	}
	if !m.tempo.asked.IsZero() {
		return nil
	}
	for _, a := range m.queue {
		doubt := m.tempo.doubtful(now, m.least(a))
		if m.holds(now, a) && (doubt || now.Sub(m.tempo.at) >= watchEvery) {
			m.tempo.asked = now
			return []Cmd{CheckSpeed{}}
		}
	}
	return nil
}
