package instance

import (
	"net/netip"
	"time"
)

// SuspectPeriod is how long an instance that broke off a request counts as cold: until its next beat must have come.
const SuspectPeriod = 2 * time.Second

// Model is the state of the local back end; it is not safe for concurrent use.
type Model struct {
	cfg  Config
	last instance
	past map[string]int64 // instances that were replaced or left, with their start
}

// Config says where the back end is expected.
type Config struct {
	Service string
	Address netip.AddrPort // beats of another address are not those of the local back end; invalid: any
}

// instance is one start of the back end.
type instance struct {
	id       string
	born     int64
	sequence uint64
	service  string
	address  netip.AddrPort
	slots    int
	draining bool
	left     bool
	gone     bool // nothing answered as this instance
	cold     time.Time
}

// maxPast bounds the instances remembered; a back end restarts a few times a day.
const maxPast = 256

// New returns a Model that knows no instance.
func New(cfg Config) *Model {
	return &Model{cfg: cfg, past: map[string]int64{}}
}

// Update applies one message at the given time.
func (m *Model) Update(now time.Time, msg Msg) {
	switch msg := msg.(type) {
	case Heartbeat:
		m.beat(now, msg)
	case Deregister:
		m.leave(msg.ID)
	case HealthCheckPassed:
		m.checked(now, msg)
	case Gone:
		m.last.gone = true
	case ConnectionBroken:
		m.last.cold = later(m.last.cold, now.Add(SuspectPeriod))
	}
}

// View returns what is known of the back end; the zero View if it must not get anything.
func (m *Model) View() View {
	i := m.last
	if i.id == "" || i.left || i.gone {
		return View{}
	}
	return View{ID: i.id, Service: i.service, Address: i.address, Slots: i.slots, Draining: i.draining, ColdUntil: i.cold}
}

// Known reports whether an instance has shown itself since the node started.
func (m *Model) Known() bool { return m.last.id != "" && !m.last.gone }

// beat takes a report unless it is older than what is known: reports may be seconds late, from before a crash too.
func (m *Model) beat(now time.Time, msg Heartbeat) {
	if msg.ID == "" || m.cfg.Address.IsValid() && msg.Address != m.cfg.Address {
		return
	}
	switch {
	case msg.ID == m.last.id && msg.StartMillis == m.last.born:
		if msg.Sequence <= m.last.sequence && m.last.sequence > 0 || m.last.left {
			return
		}
	case msg.ID == m.last.id && msg.StartMillis < m.last.born, m.older(msg):
		return
	default:
		m.replace(msg)
	}
	m.last.sequence = msg.Sequence
	m.last.service = msg.Service
	m.last.address = msg.Address
	m.last.slots = msg.Slots
	m.last.gone = false
	// Draining is acknowledged and binds, so that no later report of the instance takes it back.
	m.last.draining = m.last.draining || msg.Draining
	m.last.cold = time.Time{}
	if msg.ColdStart > 0 {
		m.last.cold = now.Add(msg.ColdStart)
	}
}

// older reports whether another instance replaced the one of a report.
func (m *Model) older(msg Heartbeat) bool {
	if born, replaced := m.past[msg.ID]; replaced && msg.StartMillis <= born {
		return true
	}
	return m.last.id != "" && msg.StartMillis != 0 && msg.StartMillis < m.last.born
}

func (m *Model) replace(msg Heartbeat) {
	m.retire()
	m.last = instance{id: msg.ID, born: msg.StartMillis}
}

// retire remembers the instance that is known, so that its late reports change nothing.
func (m *Model) retire() {
	if m.last.id == "" {
		return
	}
	if len(m.past) >= maxPast {
		clear(m.past)
	}
	m.past[m.last.id] = m.last.born
}

func (m *Model) leave(id string) {
	if id == m.last.id {
		m.last.left = true
		return
	}
	if _, replaced := m.past[id]; !replaced && m.last.id == "" {
		m.last = instance{id: id, left: true}
	}
}

// checked takes an instance from its health check, as after a start of the node, until its first beat.
func (m *Model) checked(now time.Time, msg HealthCheckPassed) {
	if msg.ID == "" {
		return
	}
	if msg.ID != m.last.id {
		if _, replaced := m.past[msg.ID]; replaced {
			return
		}
		m.retire()
		m.last = instance{id: msg.ID, service: m.cfg.Service, address: m.cfg.Address}
	}
	if msg.Slots > 0 {
		m.last.slots = msg.Slots
	}
	m.last.gone = false
	if msg.ColdStart > 0 {
		m.last.cold = later(m.last.cold, now.Add(msg.ColdStart))
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
