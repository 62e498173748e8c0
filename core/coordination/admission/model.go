package admission

import (
	"time"

	"pollenhill.example/core/coordination/servicetime"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
)

// Waits suggested to refused callers; Retry-After has a resolution of one second.
const (
	busyWait = time.Second
	goneWait = 3 * time.Second // lease of a back end
)

// Model is the admission state of one back end; it is not safe for concurrent use.
type Model struct {
	limits  Limits
	state   State
	started map[attempt.ID]begun
	queue   queue
	late    queue // with Limits.Fixed: requests that can't meet their aim
	works   servicetime.ByRoute
	knee    knee
	now     time.Time // of the last Update
	memory  memory
	window  window
	warmer  warmer
	starts  starts
	faults  float64 // share of recent requests that failed
	tempo   tempo
}

// begun is a request at the back end.
type begun struct {
	at    time.Time
	route string
	speed float64 // of the back end at the start
	sure  bool    // a reading right before the start told the speed
	busy  int     // requests at the back end after the start
	rerun bool
}

// New returns a Model with no back end.
func New(limits Limits) *Model {
	limits = limits.defaults()
	return &Model{
		limits:  limits,
		started: map[attempt.ID]begun{},
		works:   servicetime.ByRoute{},
		window:  newWindow(limits),
	}
}

// Update applies one message at the given time and returns the effects.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
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
		cmds = append(cmds, m.backend(msg)...)
	case HealthCheck:
		m.window.check(now, msg.OK)
	case ConnectionsClosed:
		m.closed(now, msg)
	case Slowdown:
		m.tempo.read(now, msg.Factor)
	case ConnectionCount:
		m.warmer.opened(msg.Count)
	case Limits:
		cmds = append(cmds, m.limit(msg)...)
	}
	cmds = append(cmds, m.pump(now)...)
	return append(cmds, m.warmer.grow(now, m.limits, m.cap())...)
}

func (m *Model) arrive(now time.Time, msg Arrive) []Cmd {
	switch m.memory.fate(now, msg.ID) {
	case cancelled:
		return []Cmd{Refuse{ID: msg.ID, Reason: refusal.Cancelled, RetryAfter: busyWait}}
	case seen, ran:
		return []Cmd{Refuse{ID: msg.ID, Reason: refusal.Duplicate, RetryAfter: busyWait}}
	}
	if _, ok := m.started[msg.ID]; ok {
		return []Cmd{Refuse{ID: msg.ID, Reason: refusal.Duplicate, RetryAfter: busyWait}}
	}
	m.memory.set(now, msg.ID, seen)
	if reason := m.closedFor(); reason != refusal.None {
		return []Cmd{Refuse{ID: msg.ID, Reason: reason, RetryAfter: goneWait}}
	}
	if m.limits.FixedLimit {
		return m.arrivePrompt(now, msg)
	}
	if !m.finishes(now, msg) {
		return []Cmd{Refuse{ID: msg.ID, Reason: refusal.Late, RetryAfter: busyWait}}
	}
	if len(m.queue) == 0 && m.free(now) {
		return []Cmd{m.start(now, msg)}
	}
	return m.enqueue(msg)
}

func (m *Model) enqueue(msg Arrive) []Cmd {
	// Every level may fill the queue: holding places back refuses low priority in short bursts that the
	// queue would have absorbed. When it is full, higher levels take the places of lower ones.
	if len(m.queue) < m.room() {
		m.queue.push(msg, order)
		return nil
	}
	victim, ok := m.queue.evict(msg.Priority)
	if !ok {
		return []Cmd{Refuse{ID: msg.ID, Reason: m.fullReason(), RetryAfter: busyWait}}
	}
	m.queue.push(msg, order)
	return []Cmd{Refuse{ID: victim.ID, Reason: refusal.Shed, RetryAfter: busyWait}}
}

// room is the length of the queue, in proportion to the cap, so that a cold back end does not make
// calls wait longer than a warm one does.
func (m *Model) room() int {
	if m.limits.QueueLength <= 0 {
		return 0
	}
	return max(1, m.limits.QueueLength*m.cap()/m.limits.Slots)
}

// fullReason tells a full server from one that is held at its cold cap.
func (m *Model) fullReason() refusal.Reason {
	if m.state == Cold {
		return refusal.Cold
	}
	return refusal.Full
}

func (m *Model) start(now time.Time, msg Arrive) Cmd {
	m.started[msg.ID] = begun{
		at: now, route: msg.Route, speed: m.tempo.factor, busy: len(m.started) + 1, rerun: msg.Rerun,
		sure: !m.tempo.doubtful(now, m.least(msg)),
	}
	m.starts.note(now)
	m.memory.set(now, msg.ID, ran)
	return Start{ID: msg.ID}
}

// pump starts queued attempts while the cap allows it.
func (m *Model) pump(now time.Time) []Cmd {
	if m.limits.FixedLimit {
		return m.pumpPrompt(now)
	}
	var cmds []Cmd
	for len(m.queue) > 0 && m.free(now) {
		next := m.queue.pop()
		if m.tooLate(now, next) {
			cmds = append(cmds, Refuse{ID: next.ID, Reason: refusal.Late, RetryAfter: busyWait})
			continue
		}
		cmds = append(cmds, m.start(now, next))
	}
	return cmds
}

// expire refuses queued attempts that can no longer finish in time.
func (m *Model) expire(now time.Time) []Cmd {
	if m.limits.FixedLimit {
		return m.sift(now)
	}
	var cmds []Cmd
	for _, a := range m.queue.remove(func(a Arrive) bool { return m.tooLate(now, a) }) {
		cmds = append(cmds, Refuse{ID: a.ID, Reason: refusal.Late, RetryAfter: busyWait})
	}
	return cmds
}

// flush refuses every queued attempt.
func (m *Model) flush(reason refusal.Reason) []Cmd {
	var cmds []Cmd
	all := func(Arrive) bool { return true }
	for _, a := range append(m.queue.remove(all), m.late.remove(all)...) {
		cmds = append(cmds, Refuse{ID: a.ID, Reason: reason, RetryAfter: goneWait})
	}
	return cmds
}

// finishes says whether an arrival can be expected to finish before its deadline behind the queue.
func (m *Model) finishes(now time.Time, a Arrive) bool {
	if m.tooLate(now, a) {
		return false
	}
	if len(m.started) < m.cap() {
		return true
	}
	ahead := m.queue.ahead(a, order) + 1
	wait := m.window.mean() * time.Duration(ahead) / time.Duration(max(1, m.cap()))
	return now.Add(wait + m.window.median()).Before(a.Deadline)
}

// tooLate says that an attempt could not finish even if it started now. An idle back end takes any
// attempt before its deadline, so that an outdated estimate cannot refuse everything for ever.
func (m *Model) tooLate(now time.Time, a Arrive) bool {
	if len(m.started) == 0 {
		return !now.Before(a.Deadline)
	}
	return !now.Add(m.window.median()).Before(a.Deadline)
}

func (m *Model) cancel(now time.Time, msg Cancel) []Cmd {
	if m.memory.fate(now, msg.ID) == ran {
		return []Cmd{Running(msg)}
	}
	if _, ok := m.started[msg.ID]; ok {
		return []Cmd{Running(msg)}
	}
	m.memory.set(now, msg.ID, cancelled)
	cmds := []Cmd{Cancelled(msg)}
	same := func(a Arrive) bool { return a.ID == msg.ID }
	for _, a := range append(m.queue.remove(same), m.late.remove(same)...) {
		cmds = append(cmds, Refuse{ID: a.ID, Reason: refusal.Cancelled, RetryAfter: busyWait})
	}
	return cmds
}

func (m *Model) done(now time.Time, msg Done) {
	b, ok := m.started[msg.ID]
	if !ok {
		return
	}
	if msg.Result == Good {
		m.learn(now, b, msg.Latency)
	}
	m.fault(b, msg)
	busy := len(m.started)
	delete(m.started, msg.ID)
	// Counted from the end, so that a cancel after a long download is still answered truthfully.
	m.memory.set(now, msg.ID, ran)
	m.window.done(now, msg, busy)
	if msg.Result == Reset {
		m.warmer.closed(1)
	}
}

const (
	faultWeight = 0.06 // of one request in the share of failed ones
	hungFactor  = 4    // a request given up after this many times its expected time counts as failed
)

// fault takes the end of a request of a route as evidence for a back end that fails while its checks are good.
func (m *Model) fault(b begun, msg Done) {
	if b.route == "" {
		return
	}
	failed := 0.0
	switch msg.Result {
	case Aborted:
		usual := time.Duration(float64(m.works[b.route]) * max(b.speed, servicetime.MeanSlowdown))
		if usual == 0 || msg.Latency < hungFactor*usual {
			return // given up for reasons of the entry node
		}
		failed = 1
	case Failed, Reset:
		failed = 1
	case Shed:
		failed = 1
	case Good:
	}
	m.faults += faultWeight * (failed - m.faults)
}

// learn takes the time of a good request of a route.
func (m *Model) learn(now time.Time, b begun, took time.Duration) {
	if b.route == "" {
		return
	}
	at := time.Duration(float64(took) / max(b.speed, 1))
	usual, known := m.works[b.route]
	if known && !b.sure {
		return
	}
	if known && m.state == Ready {
		m.knee.learn(now, float64(at)/float64(max(usual, 1)), b.busy, m.limits.Slots)
	}
	m.works.Observe(b.route, at)
}

func (m *Model) backend(msg BackendState) []Cmd {
	before := m.state
	m.state = msg.State
	if before != msg.State {
		m.window.restart()
	}
	if msg.State == Absent {
		m.faults = 0
	}
	if msg.State == Absent {
		m.warmer = warmer{}
	}
	if reason := m.closedFor(); reason != refusal.None {
		return m.flush(reason)
	}
	return nil
}

// closed handles connections that the back end closed: all of them at once mean a restart.
func (m *Model) closed(now time.Time, msg ConnectionsClosed) {
	m.warmer.closed(msg.Count)
	if msg.All {
		m.window.restrict(now)
	}
}

func (m *Model) limit(msg Limits) []Cmd {
	back := m.limits.OutReason != refusal.None && msg.OutReason == refusal.None
	m.limits = msg.defaults()
	m.window.limits = m.limits
	m.starts.rate = m.limits.ColdRate
	if back {
		m.window.restart()
	}
	if reason := m.closedFor(); reason != refusal.None {
		return m.flush(reason)
	}
	return nil
}

// closedFor returns why the back end gets no new work at all, or None.
func (m *Model) closedFor() refusal.Reason {
	switch {
	case m.limits.OutReason != refusal.None:
		return m.limits.OutReason
	case m.state == Absent:
		return refusal.Absent
	case m.state == Draining:
		return refusal.Draining
	case m.state == Leaving:
		return refusal.Leaving
	}
	return refusal.None
}

// free reports whether one more request may start now.
func (m *Model) free(now time.Time) bool {
	return len(m.started) < m.cap() && (m.state != Cold || m.starts.free(now))
}

func (m *Model) cap() int {
	if m.closedFor() != refusal.None {
		return 0
	}
	switch {
	case m.limits.FixedLimit:
		return m.knee.slots(m.now, m.limits.Slots)
	case m.state == Cold:
		return min(m.limits.ColdSlots, m.limits.Slots)
	}
	return m.window.cap()
}

// View returns the figures for hints and metrics.
func (m *Model) View() View {
	return View{
		Hint: hint.Hint{
			Inflight: len(m.started),
			Queued:   len(m.queue) + len(m.late),
			Limit:    m.cap(),
			Latency:  m.window.mean(),
			Pace:     m.tempo.factor,
			Faults:   m.faults,
		},
		State:      m.state,
		Limit:      m.cap(),
		RerunShare: m.rerun(),
	}
}

// rerun is the share of the started requests that are second runs.
func (m *Model) rerun() float64 {
	again := 0
	for _, b := range m.started {
		if b.rerun {
			again++
		}
	}
	return float64(again) / float64(max(1, len(m.started)))
}
