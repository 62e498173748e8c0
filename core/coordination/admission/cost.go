package admission

import (
	"slices"
	"time"

	"pollenhill.example/core/protocol/refusal"
)

// This file admits requests by what their delay costs callers, for back ends whose callers compete for too little room
// (Limits.ByCost). The queue holds only requests that are expected to meet their latency objective in the order in which
// they will start; what does not fit is refused at once, while another back end or a later try can still serve it.

const (
	// arrivalMargin scales the expected time of a request that arrives at a full back end. More urgent requests that
	// arrive later go first, so that a queue filled to its edge would miss objectives.
	arrivalMargin = 1.2
	// lateReserve is the share of the slots that requests past their objective leave free. It grows to overloadedLateReserve
	// with the number of requests refused lately that could have been in time: others of them arrive soon.
	lateReserve           = 1.0 / 6
	overloadedLateReserve = 1.0 / 2
	// overloadedShed is the decayed count of such refusals per slot from which the reserve is largest.
	overloadedShed = 0.7
	// lateMaxWait is the longest wait of a request past its objective for a slot that nothing else needs.
	lateMaxWait = 250 * time.Millisecond
	// shorterWork is the ratio of the expected work from which a request gives way to one of its class that needs less.
	shorterWork = 1.5
)

// arriveByCost starts a request, queues it if its answer is expected within the objective, or refuses it. A more urgent
// request may displace queued ones.
func (m *Model) arriveByCost(now time.Time, msg Arrive) []Cmd {
	if now.Add(m.normalServiceTime(msg)).After(msg.Deadline) {
		return []Cmd{m.shed(msg, refusal.TooLate)}
	}
	msg.arrivedAt = now
	msg.exceedsUsual = !msg.Nested && m.accountLoad.exceedsUsual(now, msg.Account)
	msg.neglected = m.routeShares.isNeglected(now, msg.Route)
	m.routeShares.arrived(now, msg.Route)
	if m.shouldMove(now, msg) {
		return []Cmd{Refuse{ID: msg.ID, Reason: refusal.BackendSlow, RetryAfter: busyRetryAfter}}
	}
	if m.isLate(now, msg) {
		return m.deferOrShed(now, msg)
	}
	m.queue = append(m.queue, msg)
	return m.shedUnmeetable(now)
}

// isLate reports whether a request would miss its objective even if it started now. Nested requests are never late: the
// requests that they run for hold a slot until they end.
func (m *Model) isLate(now time.Time, a Arrive) bool {
	return !a.Nested && now.Add(m.expectedCompletion(a)).After(a.ObjectiveAt)
}

// slotTime returns the time for which a request is expected to hold a slot, calls that it makes included. A request that
// is held in a slow period starts after its end.
func (m *Model) slotTime(a Arrive) time.Duration {
	slowdown := max(m.slowdown.current, 1)
	if m.slowdown.isSlow() {
		slowdown = m.slowdown.recentMinimum()
	}
	return time.Duration(float64(m.normalServiceTime(a)) * slowdown)
}

// slotWait returns the expected time until a slot is free behind waiting requests that need the given slot time.
func (m *Model) slotWait(backlog time.Duration) time.Duration {
	return (m.adaptive.meanLatency() + backlog) / time.Duration(max(1, m.limit()))
}

// queuedWork returns the slot time that all requests in the queue need.
func (m *Model) queuedWork() time.Duration {
	var sum time.Duration
	for _, a := range m.queue {
		sum += m.slotTime(a)
	}
	return sum
}

// shedUnmeetable walks through the queue in the order of the starts and removes what is not expected to meet its
// objective. Where a request does not fit behind others of its class that need much more work, the longest of those is
// removed instead, so that the same room serves more requests.
func (m *Model) shedUnmeetable(now time.Time) []Cmd {
	if len(m.queue) == 0 {
		return nil
	}
	plan := plan{model: m, now: now, free: m.limit() - len(m.inflight)}
	for _, a := range m.startOrder() {
		plan.add(a)
	}
	m.queue = plan.kept
	var cmds []Cmd
	for _, a := range plan.removed {
		cmds = append(cmds, m.deferOrShed(now, a)...)
	}
	return cmds
}

// plan is the schedule of the queued requests.
type plan struct {
	model   *Model
	now     time.Time
	free    int           // free slots
	backlog time.Duration // slot time of the kept requests that wait for a slot
	kept    []Arrive
	removed []Arrive
}

// add schedules a request behind the kept ones, or removes it or a longer one.
func (p *plan) add(a Arrive) {
	for !p.fits(a) {
		i := p.longer(a)
		if i < 0 {
			p.removed = append(p.removed, a)
			return
		}
		p.removed = append(p.removed, p.kept[i])
		p.backlog = max(0, p.backlog-p.model.slotTime(p.kept[i]))
		p.kept = slices.Delete(p.kept, i, i+1)
	}
	if len(p.kept) >= p.free {
		p.backlog += p.model.slotTime(a)
	}
	p.kept = append(p.kept, a)
}

// fits reports whether a request is expected to be answered in time behind the kept ones.
func (p *plan) fits(a Arrive) bool {
	var wait time.Duration
	if len(p.kept) >= p.free {
		wait = p.model.slotWait(p.backlog)
	}
	took := wait + p.model.expectedCompletion(a)
	if a.Nested {
		return !p.now.Add(took).After(a.Deadline)
	}
	if a.arrivedAt.Equal(p.now) && wait > 0 {
		took = time.Duration(arrivalMargin * float64(took))
	}
	return !p.now.Add(took).After(a.ObjectiveAt)
}

// longer returns the index of the kept request of the same class that needs the most work, or -1 if none needs much more
// than a. Neglected routes are left out.
func (p *plan) longer(a Arrive) int {
	found, most := -1, time.Duration(shorterWork*float64(p.model.slotTime(a)))
	for i, k := range p.kept {
		work := p.model.slotTime(k)
		if work > most && k.class() == a.class() && !k.neglected {
			found, most = i, work
		}
	}
	return found
}

// deferOrShed lets a request that will not meet its objective wait a short time for a slot that nothing else needs, or
// refuses it.
func (m *Model) deferOrShed(now time.Time, a Arrive) []Cmd {
	if !m.requestRate.allows(now) {
		return []Cmd{m.refuseForLimit(now, a)}
	}
	capacity := max(1, int(bestEffortQueueShare*float64(m.limit())))
	meetsDeadline := now.Add(m.expectedCompletion(a)).Before(a.Deadline)
	if meetsDeadline && len(m.bestEffort) < capacity && now.Sub(a.arrivedAt) < lateMaxWait && !m.isContended() {
		m.bestEffort = append(m.bestEffort, a)
		return nil
	}
	if !m.isLate(now, a) {
		m.shedInTime.add(now, recentWindow)
	}
	return []Cmd{m.shed(a, m.fullReason())}
}

// isContended reports whether requests that can meet their objective need all slots for longer than a late one may wait.
func (m *Model) isContended() bool {
	return len(m.queue) > m.limit()-len(m.inflight) && m.slotWait(m.queuedWork()) > bestEffortMaxWait
}

// expireByCost removes from the queue what will not meet its objective any more, and refuses late requests that have
// waited long enough or whose room is needed.
func (m *Model) expireByCost(now time.Time) []Cmd {
	cmds := m.shedUnmeetable(now)
	contended, exceeds := m.isContended(), m.queueExceedsFreeSlots()
	expired := m.bestEffort.remove(func(a Arrive) bool {
		waited := exceeds && now.Sub(a.arrivedAt) >= lateMaxWait
		return contended || waited || now.Add(m.expectedCompletion(a)).After(a.Deadline)
	})
	for _, a := range expired {
		cmds = append(cmds, m.shed(a, refusal.TooLate))
	}
	return cmds
}

// startQueuedByCost starts waiting requests in the order of what their delay costs, then late ones while slots are left.
func (m *Model) startQueuedByCost(now time.Time) []Cmd {
	cmds := m.refuseMovable(now)
	for m.canStart(now) {
		next, ok := m.takeNext(now)
		if !ok {
			next, ok = m.takeLate(now)
		}
		if !ok {
			break
		}
		m.routeShares.started(now, next.Route)
		cmds = append(cmds, m.start(now, next))
	}
	return append(cmds, m.requestSpeedCheck(now)...)
}

// takeNext removes and returns the next request to start, or false if the queue is empty or all in it are held.
func (m *Model) takeNext(now time.Time) (Arrive, bool) {
	order := m.startOrder()
	i := slices.IndexFunc(order, func(a Arrive) bool { return !m.shouldHold(now, a) })
	if i < 0 {
		return Arrive{}, false
	}
	m.recordTurn(order[i])
	return m.queue.takeFirst(func(a Arrive) bool { return a.ID == order[i].ID })
}

// takeLate removes and returns the late request that is the most urgent and then needs the least work, if there is a slot
// beyond the reserve for requests that can be in time.
func (m *Model) takeLate(now time.Time) (Arrive, bool) {
	if len(m.bestEffort) == 0 || float64(len(m.inflight)) >= (1-m.lateReserve(now))*float64(m.limit()) {
		return Arrive{}, false
	}
	exceeds := m.queueExceedsFreeSlots()
	slices.SortStableFunc(m.bestEffort, m.compareCost)
	a, ok := m.bestEffort.takeFirst(func(a Arrive) bool {
		return !m.shouldHold(now, a) || !exceeds && now.Sub(a.arrivedAt) >= bestEffortMaxWait
	})
	if ok {
		m.costCounts.StartedLate++
	}
	return a, ok
}

// lateReserve returns the share of the slots that requests past their objective leave free.
func (m *Model) lateReserve(now time.Time) float64 {
	overload := m.shedInTime.read(now, recentWindow) / (overloadedShed * float64(max(1, m.limit())))
	return lateReserve + (overloadedLateReserve-lateReserve)*min(overload, 1)
}

// shed refuses a request for lack of room.
func (m *Model) shed(a Arrive, reason refusal.Reason) Cmd {
	m.costCounts.Shed[shedClass(a)]++
	return Refuse{ID: a.ID, Reason: reason, RetryAfter: busyRetryAfter}
}
