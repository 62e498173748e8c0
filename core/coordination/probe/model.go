package probe

import (
	"slices"
	"time"
)

// Defaults for a Config that leaves them out.
const (
	DefaultSlotTimeShare = 0.01
	DefaultSlots         = 12
	DefaultTimeout       = 24 * time.Millisecond // four times the usual 6 ms of a probe
	DefaultFreshFor      = 100 * time.Millisecond
)

const (
	budgetWindow = time.Second // sliding window in which probes are charged
	// suspicionFactor multiplies the uncertainty of a target with a sign of a fault, so that it is probed earlier.
	suspicionFactor = 8
)

// Config sets the budget and the probe frequency of a Model. Zero values mean the defaults.
type Config struct {
	SlotTimeShare float64       // share of slot time that probes may take
	Slots         int           // slots of the back end
	Timeout       time.Duration // time after which a probe is aborted
	FreshFor      time.Duration // age of the newest evidence below which no probe is needed
}

// Model decides when to probe which target. In every window of one second the probes take at most Budget of back-end time:
// each is charged its timeout while it runs, and the time that it took until one second after its end. Model is not safe
// for concurrent use.
type Model struct {
	cfg     Config
	now     time.Time // latest time seen
	targets []*target
	charges []charge
	lastID  uint64
}

type target struct {
	name       string
	evidenceAt time.Time // time of the newest evidence
	suspected  bool      // a sign of a fault since then
	probing    bool      // a probe runs
}

// charge is the back-end time of one probe.
type charge struct {
	id      uint64
	target  string
	start   time.Time
	end     time.Time // the deadline while the probe runs
	running bool
}

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Targets replaces the targets: back ends of this node, or single checks of them such as health and load.
type Targets struct{ Names []string }

// Observed reports that a response to other traffic showed the state of a target, so that no probe is needed.
type Observed struct{ Target string }

// Suspected reports a sign of a fault at a target.
type Suspected struct{ Target string }

// Done reports the end of a probe, good or bad.
type Done struct{ ID uint64 }

// Tick advances the time.
type Tick struct{}

func (Config) msg()    {}
func (Targets) msg()   {}
func (Observed) msg()  {}
func (Suspected) msg() {}
func (Done) msg()      {}
func (Tick) msg()      {}

// Cmd is an effect that Model.Update asks for.
type Cmd interface{ cmd() }

// Start starts a probe. Its connection must be closed at Deadline at the latest.
type Start struct {
	ID       uint64
	Target   string
	Deadline time.Time
}

// Abort closes the connection of a probe that is still running at its deadline.
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
	return time.Duration(m.cfg.SlotTimeShare * float64(m.cfg.Slots) * float64(budgetWindow))
}

// Spent returns the back-end time charged to the second before now.
func (m *Model) Spent(now time.Time) time.Duration {
	var sum time.Duration
	for _, c := range m.charges {
		if c.running || c.end.After(now.Add(-budgetWindow)) {
			sum += c.end.Sub(c.start)
		}
	}
	return sum
}

// Update applies one message at the given time and returns the effects to carry out. A time before that of an earlier call
// is replaced by the latest one, so that a clock step can't exceed the budget.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if now.After(m.now) {
		m.now = now
	}
	cmds := m.expireCharges()
	switch msg := msg.(type) {
	case Config:
		m.cfg = msg.defaults()
	case Targets:
		m.setTargets(msg.Names)
	case Observed:
		m.observed(msg.Target)
	case Suspected:
		if t := m.target(msg.Target); t != nil {
			t.suspected = true
		}
	case Done:
		m.done(msg.ID)
	}
	return append(cmds, m.startProbes()...)
}

func (m *Model) setTargets(names []string) {
	var next []*target
	for _, name := range names {
		t := m.target(name)
		if t == nil {
			t = &target{name: name}
		}
		next = append(next, t)
	}
	m.targets = next
}

func (m *Model) target(name string) *target {
	i := slices.IndexFunc(m.targets, func(t *target) bool { return t.name == name })
	if i < 0 {
		return nil
	}
	return m.targets[i]
}

func (m *Model) observed(name string) {
	if t := m.target(name); t != nil {
		t.evidenceAt = m.now
		t.suspected = false
	}
}

func (m *Model) done(id uint64) {
	i := slices.IndexFunc(m.charges, func(c charge) bool { return c.id == id && c.running })
	if i < 0 {
		return // already aborted
	}
	m.endCharge(i, m.now)
	m.observed(m.charges[i].target)
}

func (m *Model) endCharge(i int, end time.Time) {
	m.charges[i].running = false
	m.charges[i].end = end
	if t := m.target(m.charges[i].target); t != nil {
		t.probing = false
	}
}

// expireCharges aborts overdue probes and drops charges that ended before the current budget window.
func (m *Model) expireCharges() []Cmd {
	var cmds []Cmd
	for i, c := range m.charges {
		if c.running && !m.now.Before(c.end) {
			m.endCharge(i, c.end)
			cmds = append(cmds, Abort{ID: c.id})
		}
	}
	m.charges = slices.DeleteFunc(m.charges, func(c charge) bool {
		return !c.running && !c.end.After(m.now.Add(-budgetWindow))
	})
	return cmds
}

// startProbes starts probes while the budget covers their timeouts, the most uncertain target first.
func (m *Model) startProbes() []Cmd {
	var cmds []Cmd
	for m.cfg.Timeout > 0 && m.Spent(m.now)+m.cfg.Timeout <= m.Budget() {
		t := m.mostUncertain()
		if t == nil {
			return cmds
		}
		m.lastID++
		t.probing = true
		deadline := m.now.Add(m.cfg.Timeout)
		m.charges = append(m.charges, charge{id: m.lastID, target: t.name, start: m.now, end: deadline, running: true})
		cmds = append(cmds, Start{ID: m.lastID, Target: t.name, Deadline: deadline})
	}
	return cmds
}

// mostUncertain returns the target with the highest uncertainty, or nil if all have fresh evidence or a running probe.
func (m *Model) mostUncertain() *target {
	var best *target
	highest := m.cfg.FreshFor
	for _, t := range m.targets {
		if u := m.uncertainty(t); !t.probing && u >= highest && (best == nil || u > highest) {
			best, highest = t, u
		}
	}
	return best
}

// uncertainty returns the age of the newest evidence, weighted if there is a sign of a fault.
func (m *Model) uncertainty(t *target) time.Duration {
	age := min(m.now.Sub(t.evidenceAt), time.Hour)
	if t.suspected {
		return suspicionFactor * age
	}
	return age
}
