package instance

import (
	"net/netip"
	"time"
)

// SuspectPeriod is how long an instance counts as cold after it broke a connection, since it may have restarted. Its next
// heartbeat, which shows whether it did, arrives within this time.
const SuspectPeriod = 2 * time.Second

// Model holds the current instance of the local back end and its state; it is not safe for concurrent use.
type Model struct {
	cfg      Config
	current  instance
	replaced map[string]int64 // newest start of the instances that ended, in Unix milliseconds, by ID

	historyKnown map[string]struct{} // IDs whose HistoryLearned has arrived
	candidate    candidate
}

// Config identifies the local back end.
type Config struct {
	Service string
	Started time.Time      // of the node; the zero value if nothing but this Model keeps the ends of instances
	Address netip.AddrPort // heartbeats that name another address are ignored; the zero value accepts any
}

// instance is the back end from one start to the next.
type instance struct {
	id             string
	startMillis    int64 // 0 while it is not known
	previousMillis int64 // its start is later than this one, which an earlier instance with its ID had; 0 for none
	seenMillis     int64 // when it was first seen, if that was without its start
	endMillis      int64 // newest start that ended by its own word, 0 for none
	sequence       uint64
	service        string
	version        string
	address        netip.AddrPort
	slots          int
	draining       bool
	deregistered   bool
	gone           bool // nothing listens at its address, or another instance does
	coldUntil      time.Time
}

// maxReplaced bounds the number of earlier instances that are remembered; a back end restarts a few times a day.
const maxReplaced = 256

// New returns a Model without an instance.
func New(cfg Config) *Model {
	return &Model{cfg: cfg, replaced: map[string]int64{}, historyKnown: map[string]struct{}{}}
}

// Update applies one message at the given time.
func (m *Model) Update(now time.Time, msg Msg) {
	switch msg := msg.(type) {
	case Heartbeat:
		m.heartbeat(now, msg)
	case Deregister:
		m.deregister(now, msg.ID)
	case HistoryLearned:
		m.historyLearned(msg)
	case SaysLeaving:
		m.saysLeaving(now, msg.ID)
	case HealthCheckPassed:
		m.healthCheckPassed(now, msg)
	case Gone:
		m.current.gone = true
	case ConnectionBroken:
		m.current.coldUntil = laterOf(m.current.coldUntil, now.Add(SuspectPeriod))
	}
}

// View returns the current instance, or the zero View if the back end must not receive requests.
func (m *Model) View() View {
	i := m.current
	if i.id == "" || i.deregistered || i.gone {
		return View{}
	}
	return View{ID: i.id, Service: i.service, Version: i.version, Address: i.address, StartMillis: i.startMillis, Slots: i.slots, Draining: i.draining, ColdUntil: i.coldUntil}
}

// Known reports whether an instance has been seen since the node started and is not gone.
func (m *Model) Known() bool { return m.current.id != "" && !m.current.gone }

// heartbeat applies a heartbeat unless it is outdated. Heartbeats may arrive seconds late and out of order, even from
// before a crash.
func (m *Model) heartbeat(now time.Time, msg Heartbeat) {
	if msg.ID == "" || m.cfg.Address.IsValid() && msg.Address != m.cfg.Address {
		return
	}
	switch {
	case m.mayBePrevious(now, msg):
		m.heartbeatOfPrevious(now, msg)
	case m.isCurrent(msg):
		if (msg.Sequence > m.current.sequence || m.current.sequence == 0) && !m.current.deregistered {
			m.heartbeatOfCurrent(now, msg)
		}
	case m.isEarlier(msg):
	default:
		m.replaceCurrent(msg)
		m.heartbeatOfCurrent(now, msg)
	}
}

// heartbeatOfCurrent applies a heartbeat of the current instance, which may be the first one that tells its start.
func (m *Model) heartbeatOfCurrent(now time.Time, msg Heartbeat) {
	// Before the start is known, the heartbeat may be from before the cold start that a health check told.
	if m.current.startMillis > 0 {
		m.current.coldUntil = time.Time{}
	}
	if msg.ColdStart > 0 {
		m.current.coldUntil = laterOf(m.current.coldUntil, now.Add(msg.ColdStart))
	}
	m.current.startMillis = msg.StartMillis
	m.current.sequence = msg.Sequence
	m.current.service = msg.Service
	m.current.version = msg.Version
	m.current.address = msg.Address
	m.current.slots = msg.Slots
	m.current.gone = false
	// Draining is final: it has been acknowledged to the back end, or the back end says so in its responses while its
	// heartbeats may be late.
	if msg.Draining {
		m.drain(now, msg.StartMillis)
	}
}

// isCurrent reports whether a heartbeat comes from the current instance. One that was first seen without its start, by a
// health check, had started before that.
func (m *Model) isCurrent(msg Heartbeat) bool {
	if msg.ID != m.current.id {
		return false
	}
	startUnknown := m.current.startMillis == 0 && m.current.seenMillis > 0
	return msg.StartMillis == m.current.startMillis || startUnknown && msg.StartMillis <= m.current.seenMillis
}

// mayBePrevious reports whether a heartbeat comes from the instance that had the ID of the current one before nothing listened
// at its address. As long as the start of the current one is not known, they may be the same; one that still sends heartbeats
// after SelfEvidentPeriod is.
func (m *Model) mayBePrevious(now time.Time, msg Heartbeat) bool {
	if msg.ID != m.current.id || m.current.startMillis > 0 || msg.StartMillis == 0 {
		return false
	}
	foundFor := now.Sub(time.UnixMilli(m.current.seenMillis))
	return msg.StartMillis <= m.current.previousMillis && foundFor < SelfEvidentPeriod
}

// heartbeatOfPrevious applies what limits the use of the back end, in case the previous instance is still the running one: that it
// is cold, or that it drains, which is acknowledged. A heartbeat with a later start shows that it is not.
func (m *Model) heartbeatOfPrevious(now time.Time, msg Heartbeat) {
	if msg.ColdStart > 0 {
		m.current.coldUntil = laterOf(m.current.coldUntil, now.Add(msg.ColdStart))
	}
	if msg.Draining {
		m.current.startMillis = msg.StartMillis
		m.current.sequence = msg.Sequence
		m.drain(now, msg.StartMillis)
	}
}

// isEarlier reports whether the instance of a heartbeat started before the current one or has ended. An ID that answered a health
// check was in use at that time, so that every other instance with an earlier start had ended.
func (m *Model) isEarlier(msg Heartbeat) bool {
	if start, replaced := m.replaced[msg.ID]; replaced && msg.StartMillis <= start {
		return true
	}
	if msg.ID == m.current.id {
		return msg.StartMillis < m.current.startMillis || msg.StartMillis <= m.current.endMillis
	}
	return m.current.id != "" && msg.StartMillis != 0 && msg.StartMillis < max(m.current.startMillis, m.current.seenMillis)
}

// replaceCurrent makes the instance of a heartbeat the current one and remembers the instance that it replaces, so that the late
// heartbeats of that one are ignored.
func (m *Model) replaceCurrent(msg Heartbeat) {
	next := instance{id: msg.ID, startMillis: msg.StartMillis}
	if msg.ID == m.current.id {
		next.seenMillis = m.current.seenMillis
		m.addReplaced(msg.ID, max(m.current.startMillis, m.current.endMillis))
	} else {
		m.rememberReplaced()
	}
	m.current = next
}

// rememberReplaced records the current instance as replaced by one with another ID.
func (m *Model) rememberReplaced() {
	if m.current.id != "" {
		m.addReplaced(m.current.id, max(m.current.startMillis, m.current.seenMillis, m.current.endMillis))
	}
}

// addReplaced records that instances with an ID and a start up to the given one have ended.
func (m *Model) addReplaced(id string, startMillis int64) {
	if len(m.replaced) >= maxReplaced {
		clear(m.replaced)
		clear(m.historyKnown)
	}
	m.replaced[id] = max(startMillis, m.replaced[id])
}

// deregister ends every instance with an ID that has started by now: the call does not say which one makes it, and the heartbeats
// of that one may arrive later.
func (m *Model) deregister(now time.Time, id string) {
	if id != m.current.id {
		m.addReplaced(id, now.UnixMilli())
		return
	}
	m.current.deregistered = true
	m.drain(now, 0)
}

// saysLeaving drains the instance that answers under an ID now, of which no heartbeat may have arrived yet.
func (m *Model) saysLeaving(now time.Time, id string) {
	if id == m.current.id {
		m.drain(now, 0)
	}
}

// drain ends the current instance, which has the given start, or an unknown one if that is 0.
func (m *Model) drain(now time.Time, startMillis int64) {
	if startMillis == 0 {
		startMillis = max(now.UnixMilli(), m.current.startMillis)
	}
	m.current.draining = true
	m.current.endMillis = max(m.current.endMillis, startMillis)
}

// healthCheckPassed makes the instance that answered a health check the current one. After a start of the node this
// finds a running instance before its first heartbeat.
func (m *Model) healthCheckPassed(now time.Time, msg HealthCheckPassed) {
	if msg.ID == "" {
		return
	}
	switch _, replaced := m.replaced[msg.ID]; {
	case msg.ID == m.current.id:
		m.returned(now)
	case replaced:
		return
	default:
		m.rememberReplaced()
		m.current = instance{id: msg.ID, seenMillis: now.UnixMilli(), service: m.cfg.Service, address: m.cfg.Address}
	}
	if msg.Slots > 0 {
		m.current.slots = msg.Slots
	}
	m.current.gone = false
	if msg.ColdStart > 0 {
		m.current.coldUntil = laterOf(m.current.coldUntil, now.Add(msg.ColdStart))
	}
}

// returned forgets the start of the current instance if nothing listened at its address meanwhile, as it has probably started
// again under its ID. One that drains or has deregistered stays so until a heartbeat shows a later start.
func (m *Model) returned(now time.Time) {
	i := &m.current
	if !i.gone || i.draining || i.deregistered {
		return
	}
	i.previousMillis = max(i.previousMillis, i.startMillis, i.seenMillis)
	i.startMillis, i.sequence, i.seenMillis = 0, 0, now.UnixMilli()
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
