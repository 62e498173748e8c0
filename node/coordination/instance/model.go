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
	replaced map[string]int64 // start of each earlier instance in Unix milliseconds, by ID
}

// Config identifies the local back end.
type Config struct {
	Service string
	Address netip.AddrPort // heartbeats that name another address are ignored; the zero value accepts any
}

// instance is the back end from one start to the next.
type instance struct {
	id           string
	startMillis  int64
	sequence     uint64
	service      string
	address      netip.AddrPort
	slots        int
	draining     bool
	deregistered bool
	gone         bool // nothing listens at its address, or another instance does
	coldUntil    time.Time
}

// maxReplaced bounds the number of earlier instances that are remembered; a back end restarts a few times a day.
const maxReplaced = 256

// New returns a Model without an instance.
func New(cfg Config) *Model {
	return &Model{cfg: cfg, replaced: map[string]int64{}}
}

// Update applies one message at the given time.
func (m *Model) Update(now time.Time, msg Msg) {
	switch msg := msg.(type) {
	case Heartbeat:
		m.heartbeat(now, msg)
	case Deregister:
		m.deregister(msg.ID)
	case SaysLeaving:
		if msg.ID == m.current.id {
			m.current.draining = true
		}
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
	return View{ID: i.id, Service: i.service, Address: i.address, StartMillis: i.startMillis, Slots: i.slots, Draining: i.draining, ColdUntil: i.coldUntil}
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
	case msg.ID == m.current.id && msg.StartMillis == m.current.startMillis:
		if msg.Sequence <= m.current.sequence && m.current.sequence > 0 || m.current.deregistered {
			return
		}
	case msg.ID == m.current.id && msg.StartMillis < m.current.startMillis, m.superseded(msg):
		return
	default:
		m.replaceCurrent(msg)
	}
	m.current.sequence = msg.Sequence
	m.current.service = msg.Service
	m.current.address = msg.Address
	m.current.slots = msg.Slots
	m.current.gone = false
	// Draining is final: it has been acknowledged to the back end, or the back end says so in its responses while its
	// heartbeats may be late.
	m.current.draining = m.current.draining || msg.Draining
	m.current.coldUntil = time.Time{}
	if msg.ColdStart > 0 {
		m.current.coldUntil = now.Add(msg.ColdStart)
	}
}

// superseded reports whether the instance of a heartbeat has been replaced by another one.
func (m *Model) superseded(msg Heartbeat) bool {
	if start, replaced := m.replaced[msg.ID]; replaced && msg.StartMillis <= start {
		return true
	}
	return m.current.id != "" && msg.StartMillis != 0 && msg.StartMillis < m.current.startMillis
}

func (m *Model) replaceCurrent(msg Heartbeat) {
	m.rememberReplaced()
	m.current = instance{id: msg.ID, startMillis: msg.StartMillis}
}

// rememberReplaced records the current instance as replaced, so that its late heartbeats are ignored.
func (m *Model) rememberReplaced() {
	if m.current.id == "" {
		return
	}
	if len(m.replaced) >= maxReplaced {
		clear(m.replaced)
	}
	m.replaced[m.current.id] = m.current.startMillis
}

func (m *Model) deregister(id string) {
	if id == m.current.id {
		m.current.deregistered = true
		return
	}
	if _, replaced := m.replaced[id]; !replaced && m.current.id == "" {
		m.current = instance{id: id, deregistered: true}
	}
}

// healthCheckPassed makes the instance that answered a health check the current one. After a start of the node this
// finds a running instance before its first heartbeat.
func (m *Model) healthCheckPassed(now time.Time, msg HealthCheckPassed) {
	if msg.ID == "" {
		return
	}
	if msg.ID != m.current.id {
		if _, replaced := m.replaced[msg.ID]; replaced {
			return
		}
		m.rememberReplaced()
		m.current = instance{id: msg.ID, service: m.cfg.Service, address: m.cfg.Address}
	}
	if msg.Slots > 0 {
		m.current.slots = msg.Slots
	}
	m.current.gone = false
	if msg.ColdStart > 0 {
		m.current.coldUntil = laterOf(m.current.coldUntil, now.Add(msg.ColdStart))
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
