package probe

import (
	"slices"
	"time"
)

// Defaults for a Config that leaves them out.
const (
	DefaultSlotTimeShare = 0.01
	DefaultSlots         = 12
	DefaultTimeout       = 24 * time.Millisecond // four times the usual cost of a probe of 6 ms
	DefaultFreshFor      = 100 * time.Millisecond
)

const (
	window = time.Second
	// doubtFactor makes a target with a sign of a fault as uncertain as one that was silent this
	// much longer.
	doubtFactor = 8
)

// Config sets the budget and the pace of a Model; zero values mean the defaults.
type Config struct {
	SlotTimeShare float64       // share of slot time that probes may take
	Slots         int           // slots of the back end
	Timeout       time.Duration // back-end time after which a probe is aborted
	FreshFor      time.Duration // age of the newest evidence below which no probe is needed
}

// Model decides which probes run; it is not safe for concurrent use. In every window of one second
// the probes take at most Budget of back-end time: each is charged its timeout until it ends, and
// what it took until one second after its end.
type Model struct {
	cfg     Config
	now     time.Time
	targets []*target
	charges []charge
	next    uint64
}

type target struct {
	name  string
	known time.Time // newest evidence
	doubt bool
	open  bool
}

type charge struct {
	id     uint64
	target string
	start  time.Time
	end    time.Time // the timeout while the probe is open
	open   bool
}

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Targets replaces the targets: the back ends of this node or their checks.
type Targets struct{ Names []string }

// Observed reports that a response told the state of a target for free.
type Observed struct{ Target string }

// Suspected reports a sign of a fault at a target.
type Suspected struct{ Target string }

// Done reports the end of a probe, good or bad.
type Done struct{ ID uint64 }

// Tick lets time pass.
type Tick struct{}

func (Config) msg()    {}
func (Targets) msg()   {}
func (Observed) msg()  {}
func (Suspected) msg() {}
func (Done) msg()      {}
func (Tick) msg()      {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Start starts a probe, whose connection must be closed at Until at the latest.
type Start struct {
	ID       uint64
	Target   string
	Deadline time.Time
}

// Abort closes the connection of a probe that is still open at its timeout.
type Abort struct{ ID uint64 }

func (Start) cmd() {}
func (Abort) cmd() {}

// New returns a Model without targets.
func New(cfg Config) *Model {
	return &Model{cfg: cfg.defaults()}
}

func (c Config) defaults() Config {
	if c.SlotTimeShare == 0 {
		c.SlotTimeShare = DefaultSlotTimeShare
	}
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.FreshFor == 0 {
		c.FreshFor = DefaultFreshFor
	}
	return c
}

// Budget returns the back-end time that probes may take in any second.
func (m *Model) Budget() time.Duration {
	return time.Duration(m.cfg.SlotTimeShare * float64(m.cfg.Slots) * float64(window))
}

// Spent returns the back-end time charged to the second before now.
func (m *Model) Spent(now time.Time) time.Duration {
	var sum time.Duration
	for _, c := range m.charges {
		if c.open || c.end.After(now.Add(-window)) {
			sum += c.end.Sub(c.start)
		}
	}
	return sum
}

// Update applies one message at the given time and returns the effects. Time never runs backwards:
// an earlier time than before counts as the latest one.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if now.After(m.now) {
		m.now = now
	}
	cmds := m.expire()
	switch msg := msg.(type) {
	case Config:
		m.cfg = msg.defaults()
	case Targets:
		m.members(msg.Names)
	case Observed:
		m.evidence(msg.Target)
	case Suspected:
		if t := m.find(msg.Target); t != nil {
			t.doubt = true
		}
	case Done:
		m.done(msg.ID)
	}
	return append(cmds, m.spend()...)
}

func (m *Model) members(names []string) {
	var next []*target
	for _, name := range names {
		t := m.find(name)
		if t == nil {
			t = &target{name: name}
		}
		next = append(next, t)
	}
	m.targets = next
}

func (m *Model) find(name string) *target {
	i := slices.IndexFunc(m.targets, func(t *target) bool { return t.name == name })
	if i < 0 {
		return nil
	}
	return m.targets[i]
}

func (m *Model) evidence(name string) {
	if t := m.find(name); t != nil {
		t.known = m.now
		t.doubt = false
	}
}

func (m *Model) done(id uint64) {
	i := slices.IndexFunc(m.charges, func(c charge) bool { return c.id == id && c.open })
	if i < 0 {
		return // already aborted
	}
	m.close(i, m.now)
	m.evidence(m.charges[i].target)
}

func (m *Model) close(i int, end time.Time) {
	m.charges[i].open = false
	m.charges[i].end = end
	if t := m.find(m.charges[i].target); t != nil {
		t.open = false
	}
}

// expire aborts overdue probes and drops the charges that no window shares with a new probe.
func (m *Model) expire() []Cmd {
	var cmds []Cmd
	for i, c := range m.charges {
		if c.open && !m.now.Before(c.end) {
			m.close(i, c.end)
			cmds = append(cmds, Abort{ID: c.id})
		}
	}
	m.charges = slices.DeleteFunc(m.charges, func(c charge) bool {
		return !c.open && !c.end.After(m.now.Add(-window))
	})
	return cmds
}

// spend starts probes while the budget covers their timeouts, the most uncertain target first.
func (m *Model) spend() []Cmd {
	var cmds []Cmd
	for m.cfg.Timeout > 0 && m.Spent(m.now)+m.cfg.Timeout <= m.Budget() {
		t := m.darkest()
		if t == nil {
			return cmds
		}
		m.next++
		t.open = true
		until := m.now.Add(m.cfg.Timeout)
		m.charges = append(m.charges, charge{id: m.next, target: t.name, start: m.now, end: until, open: true})
		cmds = append(cmds, Start{ID: m.next, Target: t.name, Deadline: until})
	}
	return cmds
}

// darkest returns the target about which least is known, or nil if all is fresh or being probed.
func (m *Model) darkest() *target {
	var best *target
	most := m.cfg.FreshFor
	for _, t := range m.targets {
		if u := m.uncertainty(t); !t.open && u >= most && (best == nil || u > most) {
			best, most = t, u
		}
	}
	return best
}

func (m *Model) uncertainty(t *target) time.Duration {
	age := min(m.now.Sub(t.known), time.Hour)
	if t.doubt {
		return doubtFactor * age
	}
	return age
}
