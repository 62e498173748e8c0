package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/protocol/control"
)

// Times and bounds of the directory.
const (
	LeaseDuration     = 3 * time.Second        // a node announces every second and may miss two
	ExchangeInterval  = 250 * time.Millisecond // between exchanges with the same control process
	WarmupDuration    = 2 * LeaseDuration      // until nodes that lost all control processes have announced again
	TombstoneLifetime = time.Minute            // age of tombstones; later duplicates are older than any exchange
	MaxTombstones     = 8192                   // most tombstones, more than one for every node of the target size
	pause             = time.Second            // ticks further apart mean that this process was frozen
	relayDelay        = time.Second            // wait for the direct exchange before a member is relayed
	hearing           = 2 * time.Second        // a control process is heard from if it sent deltas within this time
)

// Model is the directory of one control process; it is not safe for concurrent use.
type Model struct {
	cfg     Config
	entries map[string]*entry
	peers   map[string]*peer
	dead    []tombstone // in the order of death
	started time.Time
	last    time.Time // last tick
	ready   bool
	touched map[string]struct{} // nodes that changed in this Update
}

// Config names the control processes.
type Config struct {
	Name  string   // of this process
	Peers []string // the other control processes
}

type tombstone struct {
	node  string
	entry *entry
}

// New returns an empty directory; the first Update starts its warm-up.
func New(cfg Config) *Model {
	m := &Model{cfg: cfg, entries: map[string]*entry{}, peers: map[string]*peer{}, touched: map[string]struct{}{}}
	for _, name := range cfg.Peers {
		m.peers[name] = newPeer()
	}
	return m
}

// Update applies one message at the given time and returns the effects.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if m.started.IsZero() {
		m.started = now
		m.last = now
	}
	var cmds []Cmd
	switch msg := msg.(type) {
	case Announce:
		m.accept(now, msg.Member, "")
	case Exchange:
		cmds = m.exchange(now, msg.Request)
	case SendResult:
		m.reply(now, msg)
	case Peers:
		m.replace(now, msg.Names)
	case Tick:
		cmds = m.tick(now)
	}
	return append(m.changes(), cmds...)
}

// replace keeps what is known of peers that stay; a new one gets everything.
func (m *Model) replace(now time.Time, names []string) {
	peers := map[string]*peer{}
	for _, name := range names {
		p, ok := m.peers[name]
		if !ok {
			p = newPeer()
			p.full = m.ready
			for node := range m.entries {
				p.mark(node, now)
			}
		}
		peers[name] = p
	}
	m.peers = peers
}

// Members returns the live members by node name, with their current sequences.
func (m *Model) Members() []*control.Member {
	nodes := slices.Sorted(maps.Keys(m.entries))
	return lo.FilterMap(nodes, func(n string, _ int) (*control.Member, bool) {
		e := m.entries[n]
		return e.current(n), e.member != nil
	})
}

// Ready reports whether the directory holds every member it can know of.
func (m *Model) Ready() bool { return m.ready }

// changes takes the changes collected by one Update.
func (m *Model) changes() []Cmd {
	if len(m.touched) == 0 {
		return nil
	}
	var c Change
	for _, node := range slices.Sorted(maps.Keys(m.touched)) {
		if e := m.entries[node]; e != nil && e.member != nil {
			c.Updated = append(c.Updated, e.member)
		} else {
			c.Removed = append(c.Removed, node)
		}
	}
	clear(m.touched)
	return []Cmd{c}
}

// accept merges a whole member learned through a control process, or announced here if via is empty.
func (m *Model) accept(now time.Time, in *control.Member, via string) {
	node := in.GetNode()
	if node == "" {
		return
	}
	e := newEntry(in)
	old := m.entries[node]
	if old != nil && !e.newer(old) {
		return
	}
	e.via = via
	e.expires = now.Add(LeaseDuration)
	lived := old != nil && old.member != nil
	m.entries[node] = e
	switch {
	case e.gone:
		m.bury(now, node, e, lived)
	case !lived:
		m.touched[node] = struct{}{}
	case old.print == e.print:
		e.member = old.member
	default:
		m.touched[node] = struct{}{}
	}
	m.spread(now, node, e)
}

// renew extends the lease of a member whose content is known; it returns false if it is not.
func (m *Model) renew(now time.Time, r *control.Renewal, via string) bool {
	v := version{incarnation: r.GetIncarnation(), sequence: r.GetSequence()}
	e := m.entries[r.GetNode()]
	switch {
	case e != nil && v.compare(e.version) <= 0:
		return true
	case e == nil || e.member == nil || e.print != r.GetPrint():
		return false
	}
	e.version = v
	e.via = via
	e.expires = now.Add(LeaseDuration)
	m.spread(now, r.GetNode(), e)
	return true
}

// bury turns an entry into a tombstone, which keeps older versions from coming back.
func (m *Model) bury(now time.Time, node string, e *entry, lived bool) {
	e.member = nil
	e.expires = now.Add(TombstoneLifetime)
	m.dead = append(m.dead, tombstone{node: node, entry: e})
	if lived {
		m.touched[node] = struct{}{}
	}
}

// spread marks a member for the exchange with every other control process.
func (m *Model) spread(now time.Time, node string, e *entry) {
	due := now
	if e.via != "" {
		due = now.Add(relayDelay)
	}
	for name, p := range m.peers {
		if name != e.via {
			p.mark(node, due)
		}
	}
}

func (m *Model) tick(now time.Time) []Cmd {
	if frozen := now.Sub(m.last); frozen > pause {
		m.extend(frozen)
	}
	m.last = now
	m.expire(now)
	m.prune(now)
	cmds := m.send(now)
	if !m.ready && now.Sub(m.started) >= WarmupDuration {
		cmds = append(cmds, m.becomeReady()...)
	}
	return cmds
}

// extend moves the leases by the time this process was frozen, in which it could hear no renewal.
func (m *Model) extend(d time.Duration) {
	for _, e := range m.entries {
		e.expires = e.expires.Add(d)
	}
}

func (m *Model) expire(now time.Time) {
	for node, e := range m.entries {
		if e.member != nil && !now.Before(e.expires) {
			m.bury(now, node, e, true)
		}
	}
}

// prune drops old tombstones and, beyond the bound, the oldest ones.
func (m *Model) prune(now time.Time) {
	for len(m.dead) > 0 {
		t := m.dead[0]
		buried := m.entries[t.node] == t.entry
		if buried && now.Before(t.entry.expires) && len(m.dead) <= MaxTombstones {
			return
		}
		if buried {
			m.forget(t.node)
		}
		m.dead = m.dead[1:]
	}
}

func (m *Model) forget(node string) {
	delete(m.entries, node)
	for _, p := range m.peers {
		p.forget(node)
	}
}

func (m *Model) becomeReady() []Cmd {
	m.ready = true
	for _, p := range m.peers {
		p.full = true
	}
	return []Cmd{Ready{}}
}
