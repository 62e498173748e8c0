package admission

import (
	"time"

	"pollenhill.example/core/coordination/servicetime"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
)

// Waits suggested to refused callers. Retry-After has a resolution of one second.
const (
	busyRetryAfter        = time.Second
	unavailableRetryAfter = 3 * time.Second // lease of a back end
)

// Model holds the admission state of one back end. It is not safe for concurrent use.
type Model struct {
	limits       Limits
	state        State
	inflight     map[attempt.ID]inflightRequest
	queue        queue
	bestEffort   queue               // with Limits.FixedLimit: requests that can no longer meet their latency objective
	serviceTimes servicetime.ByRoute // at slowdown 1
	saturation   saturationDetector
	now          time.Time // time of the last Update
	history      attemptHistory
	adaptive     adaptiveLimit
	connections  connectionOpener
	coldStarts   startRate
	requestRate  requestRate
	failureShare float64 // moving average, 0 to 1
	slowdown     slowdownTracker

	// State of admission by cost.
	usedByFirst time.Duration // slot time of earlier classes since a passed-over one had its turn
	shedInTime  decayingCount // refused requests that could have met their objective
	accountLoad accountLoad
	routeShares routeShares
	costCounts  CostCounts
}

// inflightRequest is a request that the back end works on.
type inflightRequest struct {
	startedAt        time.Time
	route            string
	slowdown         float64 // newest reading at the start, 0 if there is none
	slowdownReliable bool    // no speed check was due at the start
	inflight         int     // requests in flight including this one, at the start
	rerun            bool
}

// New returns a Model with no back end.
func New(limits Limits) *Model {
	limits = limits.defaults()
	return &Model{
		limits:       limits,
		inflight:     map[attempt.ID]inflightRequest{},
		serviceTimes: servicetime.ByRoute{},
		adaptive:     newAdaptiveLimit(limits),
	}
}

// Update applies one message at the given time and returns the effects to carry out.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if m.now.IsZero() {
		m.coldStarts.countedFrom = now
	}
	m.now = now
	cmds := m.expire(now)
	switch msg := msg.(type) {
	case Arrive:
		cmds = append(cmds, m.arrive(now, msg)...)
	case Cancel:
		cmds = append(cmds, m.cancel(now, msg)...)
	case Done:
		m.done(now, msg)
	case BackendState:
		cmds = append(cmds, m.setState(msg)...)
	case HealthCheck:
		m.adaptive.healthCheck(now, msg.OK)
	case ConnectionsClosed:
		m.connectionsClosed(now, msg)
	case Slowdown:
		m.slowdown.record(now, msg.Factor)
	case RequestLimit:
		m.requestRate.confirm(now, msg.Limit)
	case CheckSent:
		m.requestRate.record(now)
	case NewInstance:
		m.requestRate = requestRate{}
	case ConnectionCount:
		m.connections.setOpen(msg.Count)
	case Tick:
		m.requestRate.updateShare(now)
	case Limits:
		cmds = append(cmds, m.setLimits(msg)...)
	}
	cmds = append(cmds, m.startQueued(now)...)
	return append(cmds, m.connections.request(now, m.limits, m.limit())...)
}

func (m *Model) arrive(now time.Time, msg Arrive) []Cmd {
	switch m.history.status(now, msg.ID) {
	case cancelled:
		return []Cmd{Refuse{ID: msg.ID, Reason: refusal.Cancelled, RetryAfter: busyRetryAfter}}
	case notStarted, started:
		return []Cmd{Refuse{ID: msg.ID, Reason: refusal.DuplicateAttempt, RetryAfter: busyRetryAfter}}
	}
	if _, ok := m.inflight[msg.ID]; ok {
		return []Cmd{Refuse{ID: msg.ID, Reason: refusal.DuplicateAttempt, RetryAfter: busyRetryAfter}}
	}
	m.history.record(now, msg.ID, notStarted)
	if reason := m.unavailableReason(); reason != refusal.None {
		return []Cmd{Refuse{ID: msg.ID, Reason: reason, RetryAfter: unavailableRetryAfter}}
	}
	m.requestRate.adopt(now, msg.KnownLimit)
	m.requestRate.arrived(now)
	if m.exceedsRequestLimit(now, msg) {
		return []Cmd{m.refuseForLimit(now, msg)}
	}
	if m.limits.FixedLimit && m.limits.ByCost {
		return m.arriveByCost(now, msg)
	}
	if m.limits.FixedLimit {
		return m.arriveWithObjective(now, msg)
	}
	if !m.canFinish(now, msg) {
		return []Cmd{Refuse{ID: msg.ID, Reason: refusal.TooLate, RetryAfter: busyRetryAfter}}
	}
	if len(m.queue) == 0 && m.canStart(now) {
		return []Cmd{m.start(now, msg)}
	}
	return m.enqueue(msg)
}

func (m *Model) enqueue(msg Arrive) []Cmd {
	// Requests of every priority may fill the queue: places reserved for high priority would refuse low priority in
	// short bursts that the queue can absorb. When it is full, higher priority replaces lower.
	if len(m.queue) < m.queueCapacity() {
		m.queue.insert(msg, byDeadline)
		return nil
	}
	victim, ok := m.queue.evict(msg.Priority)
	if !ok {
		return []Cmd{Refuse{ID: msg.ID, Reason: m.fullReason(), RetryAfter: busyRetryAfter}}
	}
	m.queue.insert(msg, byDeadline)
	return []Cmd{Refuse{ID: victim.ID, Reason: refusal.Shed, RetryAfter: busyRetryAfter}}
}

// queueCapacity returns the length of the queue, in proportion to the concurrency limit, so that calls wait no longer
// for a cold back end than for a warm one.
func (m *Model) queueCapacity() int {
	if m.limits.QueueLength <= 0 {
		return 0
	}
	return max(1, m.limits.QueueLength*m.limit()/m.limits.Slots)
}

// fullReason distinguishes a back end at its limit from one that is limited because it is cold.
func (m *Model) fullReason() refusal.Reason {
	if m.state == Cold {
		return refusal.ColdStart
	}
	return refusal.AtCapacity
}

func (m *Model) start(now time.Time, msg Arrive) Cmd {
	m.inflight[msg.ID] = inflightRequest{
		startedAt: now, route: msg.Route, slowdown: m.slowdown.current, inflight: len(m.inflight) + 1, rerun: msg.Rerun,
		slowdownReliable: !m.slowdown.needsCheck(now, m.normalServiceTime(msg)),
	}
	m.coldStarts.record(now)
	m.requestRate.record(now)
	m.history.record(now, msg.ID, started)
	return Start{ID: msg.ID}
}

// startQueued starts queued attempts while the concurrency limit allows it.
func (m *Model) startQueued(now time.Time) []Cmd {
	if m.limits.FixedLimit && m.limits.ByCost {
		return m.startQueuedByCost(now)
	}
	if m.limits.FixedLimit {
		return m.startQueuedByObjective(now)
	}
	var cmds []Cmd
	for len(m.queue) > 0 && m.canStart(now) {
		next := m.queue.pop()
		if m.tooLate(now, next) {
			cmds = append(cmds, Refuse{ID: next.ID, Reason: refusal.TooLate, RetryAfter: busyRetryAfter})
			continue
		}
		cmds = append(cmds, m.start(now, next))
	}
	return cmds
}

// expire refuses queued attempts that can no longer meet their deadline.
func (m *Model) expire(now time.Time) []Cmd {
	if m.limits.FixedLimit && m.limits.ByCost {
		return m.expireByCost(now)
	}
	if m.limits.FixedLimit {
		return m.expireByObjective(now)
	}
	var cmds []Cmd
	for _, a := range m.queue.remove(func(a Arrive) bool { return m.tooLate(now, a) }) {
		cmds = append(cmds, Refuse{ID: a.ID, Reason: refusal.TooLate, RetryAfter: busyRetryAfter})
	}
	return cmds
}

// refuseQueued refuses every queued attempt.
func (m *Model) refuseQueued(reason refusal.Reason) []Cmd {
	var cmds []Cmd
	all := func(Arrive) bool { return true }
	for _, a := range append(m.queue.remove(all), m.bestEffort.remove(all)...) {
		cmds = append(cmds, Refuse{ID: a.ID, Reason: reason, RetryAfter: unavailableRetryAfter})
	}
	return cmds
}

// canFinish reports whether a new attempt is expected to meet its deadline after the attempts ahead of it in the queue.
func (m *Model) canFinish(now time.Time, a Arrive) bool {
	if m.tooLate(now, a) {
		return false
	}
	if len(m.inflight) < m.limit() {
		return true
	}
	ahead := m.queue.ahead(a, byDeadline) + 1
	wait := m.adaptive.meanLatency() * time.Duration(ahead) / time.Duration(max(1, m.limit()))
	return now.Add(wait + m.adaptive.medianLatency()).Before(a.Deadline)
}

// tooLate reports whether an attempt would miss its deadline even if it started now. An idle back end takes any
// attempt before its deadline, because an outdated estimate would otherwise refuse all requests forever.
func (m *Model) tooLate(now time.Time, a Arrive) bool {
	if len(m.inflight) == 0 {
		return !now.Before(a.Deadline)
	}
	return !now.Add(m.adaptive.medianLatency()).Before(a.Deadline)
}

func (m *Model) cancel(now time.Time, msg Cancel) []Cmd {
	if m.history.status(now, msg.ID) == started {
		return []Cmd{Running(msg)}
	}
	if _, ok := m.inflight[msg.ID]; ok {
		return []Cmd{Running(msg)}
	}
	m.history.record(now, msg.ID, cancelled)
	cmds := []Cmd{Cancelled(msg)}
	same := func(a Arrive) bool { return a.ID == msg.ID }
	for _, a := range append(m.queue.remove(same), m.bestEffort.remove(same)...) {
		cmds = append(cmds, Refuse{ID: a.ID, Reason: refusal.Cancelled, RetryAfter: busyRetryAfter})
	}
	return cmds
}

func (m *Model) done(now time.Time, msg Done) {
	req, ok := m.inflight[msg.ID]
	if !ok {
		return
	}
	if msg.Result == Good {
		m.observeServiceTime(now, req, msg.Latency)
	}
	m.observeFailure(req, msg)
	inflight := len(m.inflight)
	delete(m.inflight, msg.ID)
	// Recorded again, so that the history covers a late cancel even if the request was a long download.
	m.history.record(now, msg.ID, started)
	m.adaptive.done(now, msg, inflight)
	if msg.Result == Reset {
		m.connections.removeClosed(1)
	}
}

func (m *Model) setState(msg BackendState) []Cmd {
	before := m.state
	m.state = msg.State
	if before != msg.State {
		m.adaptive.reset()
	}
	if msg.State == Absent {
		m.failureShare = 0
		m.connections = connectionOpener{}
	}
	if reason := m.unavailableReason(); reason != refusal.None {
		return m.refuseQueued(reason)
	}
	return nil
}

// connectionsClosed handles connections that the back end closed. If it closed all of them, it has restarted.
func (m *Model) connectionsClosed(now time.Time, msg ConnectionsClosed) {
	m.connections.removeClosed(msg.Count)
	if msg.All {
		m.adaptive.restrict(now)
	}
}

func (m *Model) setLimits(msg Limits) []Cmd {
	backInService := m.limits.OutReason != refusal.None && msg.OutReason == refusal.None
	m.limits = msg.defaults()
	m.adaptive.limits = m.limits
	m.coldStarts.limit = m.limits.ColdRate
	if backInService {
		m.adaptive.reset()
	}
	if reason := m.unavailableReason(); reason != refusal.None {
		return m.refuseQueued(reason)
	}
	return nil
}

// unavailableReason returns why the back end gets no requests at all, or None.
func (m *Model) unavailableReason() refusal.Reason {
	switch {
	case m.limits.OutReason != refusal.None:
		return m.limits.OutReason
	case m.state == Absent:
		return refusal.NoBackend
	case m.state == Draining:
		return refusal.Draining
	case m.state == Leaving:
		return refusal.Leaving
	}
	return refusal.None
}

// canStart reports whether one more request may start now.
func (m *Model) canStart(now time.Time) bool {
	return len(m.inflight) < m.limit() && (m.state != Cold || m.coldStarts.allowsStart(now)) && m.requestRate.allows(now)
}

// limit returns the current concurrency limit.
func (m *Model) limit() int {
	if m.unavailableReason() != refusal.None {
		return 0
	}
	switch {
	case m.limits.FixedLimit:
		return m.saturation.usableSlots(m.now, m.limits.Slots)
	case m.state == Cold:
		return min(m.limits.ColdSlots, m.limits.Slots)
	}
	return m.adaptive.limit()
}

// View returns a snapshot for hints and metrics.
func (m *Model) View() View {
	return View{
		Hint: hint.Hint{
			Inflight:     len(m.inflight),
			Queued:       len(m.queue) + len(m.bestEffort),
			Limit:        m.limit(),
			ServiceTime:  m.adaptive.meanLatency(),
			Slowdown:     m.slowdown.current,
			FailureShare: m.failureShare,
			RequestLimit: m.requestRate.limit,
			RequestShare: m.requestRate.share.value,
		},
		State:      m.state,
		Limit:      m.limit(),
		RerunShare: m.rerunShare(),
		CostCounts: m.costCounts,
	}
}

// rerunShare returns the share of the requests in flight that may run for the second time.
func (m *Model) rerunShare() float64 {
	reruns := 0
	for _, req := range m.inflight {
		if req.rerun {
			reruns++
		}
	}
	return float64(reruns) / float64(max(1, len(m.inflight)))
}
