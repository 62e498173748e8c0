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
	// LeaseDuration is how long a member stays without an announcement: a node sends one every second and may miss two.
	LeaseDuration = 3 * time.Second

	// ExchangeInterval is the time between exchanges with the same control process.
	ExchangeInterval = 250 * time.Millisecond

	// WarmupDuration is the time from the start until Ready: nodes that lost all control processes have announced
	// themselves again by then.
	WarmupDuration = 2 * LeaseDuration

	// TombstoneLifetime is longer than any exchange can be delayed, so that no older version arrives after it.
	TombstoneLifetime = time.Minute

	// MaxTombstones is more than one for every node of the target size.
	MaxTombstones = 8192

	frozenTickGap = time.Second     // time between two ticks from which this process counts as having been frozen
	relayDelay    = time.Second     // before a member of another control process is relayed, as that one sends it too
	heardTimeout  = 2 * time.Second // a control process is heard from for this time after its last deltas
)

// Model is the directory of one control process; it is not safe for concurrent use.
type Model struct {
	cfg        Config
	entries    map[string]*entry
	peers      map[string]*peer
	tombstones []tombstone // oldest first
	started    time.Time
	lastTick   time.Time
	ready      bool
	changed    map[string]struct{} // nodes changed by the current Update
}

// Config names the control processes that exchange members.
type Config struct {
	Name  string   // of this process
	Peers []string // the other control processes
}

// tombstone refers to an entry that became a tombstone; it is outdated if the directory holds another entry of the node.
type tombstone struct {
	node  string
	entry *entry
}

// New returns an empty directory; its warm-up starts with the first Update.
func New(cfg Config) *Model {
	m := &Model{cfg: cfg, entries: map[string]*entry{}, peers: map[string]*peer{}, changed: map[string]struct{}{}}
	for _, name := range cfg.Peers {
		m.peers[name] = newPeer()
	}
	return m
}

// Update applies one message at the given time and returns the effects.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if m.started.IsZero() {
		m.started = now
		m.lastTick = now
	}
	var cmds []Cmd
	switch msg := msg.(type) {
	case Announce:
		m.mergeMember(now, msg.Member, "")
	case Exchange:
		cmds = m.handleExchange(now, msg.Request)
	case SendResult:
		m.handleSendResult(now, msg)
	case Peers:
		m.setPeers(now, msg.Names)
	case Tick:
		cmds = m.tick(now)
	}
	return append(m.takeChanges(), cmds...)
}

// setPeers replaces the peers and keeps the state of those that remain; a new one gets all members.
func (m *Model) setPeers(now time.Time, names []string) {
	peers := map[string]*peer{}
	for _, name := range names {
		p, ok := m.peers[name]
		if !ok {
			p = newPeer()
			p.sendFull = m.ready
			for node := range m.entries {
				p.markDue(node, now)
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
		return e.currentMember(n), e.member != nil
	})
}

// Ready reports whether the directory is complete: it received the members of another one that was, or its warm-up is over.
func (m *Model) Ready() bool { return m.ready }

// takeChanges returns the changes made by the current Update as a Change, if there are any.
func (m *Model) takeChanges() []Cmd {
	if len(m.changed) == 0 {
		return nil
	}
	var c Change
	for _, node := range slices.Sorted(maps.Keys(m.changed)) {
		if e := m.entries[node]; e != nil && e.member != nil {
			c.Updated = append(c.Updated, e.member)
		} else {
			c.Removed = append(c.Removed, node)
		}
	}
	clear(m.changed)
	return []Cmd{c}
}

// mergeMember merges a full member received from the control process source, or announced here if source is empty.
func (m *Model) mergeMember(now time.Time, in *control.Member, source string) {
	node := in.GetNode()
	if node == "" {
		return
	}
	e := newEntry(in)
	old := m.entries[node]
	if old != nil && !e.isNewerThan(old) {
		return
	}
	e.source = source
	e.expires = now.Add(LeaseDuration)
	wasMember := old != nil && old.member != nil
	m.entries[node] = e
	switch {
	case e.announcedGone:
		m.addTombstone(now, node, e, wasMember)
	case !wasMember:
		m.changed[node] = struct{}{}
	case old.fingerprint == e.fingerprint:
		e.member = old.member
	default:
		m.changed[node] = struct{}{}
	}
	m.markForPeers(now, node, e)
}

// mergeRenewal renews the lease of a member. It returns false if this directory does not hold the content with the fingerprint
// of the renewal, so that the full member is needed.
func (m *Model) mergeRenewal(now time.Time, r *control.Renewal, source string) bool {
	v := version{incarnation: r.GetIncarnation(), sequence: r.GetSequence()}
	e := m.entries[r.GetNode()]
	switch {
	case e != nil && v.compare(e.version) <= 0:
		return true
	case e == nil || e.member == nil || e.fingerprint != r.GetPrint():
		return false
	}
	e.version = v
	e.source = source
	e.expires = now.Add(LeaseDuration)
	m.markForPeers(now, r.GetNode(), e)
	return true
}

// addTombstone turns an entry into a tombstone, which keeps older versions of the member from being added again.
func (m *Model) addTombstone(now time.Time, node string, e *entry, wasMember bool) {
	e.member = nil
	e.expires = now.Add(TombstoneLifetime)
	m.tombstones = append(m.tombstones, tombstone{node: node, entry: e})
	if wasMember {
		m.changed[node] = struct{}{}
	}
}

// markForPeers marks a member for the next exchange with every control process but its source.
func (m *Model) markForPeers(now time.Time, node string, e *entry) {
	due := now
	if e.source != "" {
		due = now.Add(relayDelay)
	}
	for name, p := range m.peers {
		if name != e.source {
			p.markDue(node, due)
		}
	}
}

func (m *Model) tick(now time.Time) []Cmd {
	if gap := now.Sub(m.lastTick); gap > frozenTickGap {
		m.extendLeases(gap)
	}
	m.lastTick = now
	m.expireLeases(now)
	m.pruneTombstones(now)
	cmds := m.sendToPeers(now)
	if !m.ready && now.Sub(m.started) >= WarmupDuration {
		cmds = append(cmds, m.becomeReady()...)
	}
	return cmds
}

// extendLeases extends all leases by the time this process was frozen, in which it received no renewals.
func (m *Model) extendLeases(d time.Duration) {
	for _, e := range m.entries {
		e.expires = e.expires.Add(d)
	}
}

// expireLeases turns members with expired leases into tombstones.
func (m *Model) expireLeases(now time.Time) {
	for node, e := range m.entries {
		if e.member != nil && !now.Before(e.expires) {
			m.addTombstone(now, node, e, true)
		}
	}
}

// pruneTombstones removes expired tombstones, and the oldest ones beyond MaxTombstones.
func (m *Model) pruneTombstones(now time.Time) {
	for len(m.tombstones) > 0 {
		t := m.tombstones[0]
		valid := m.entries[t.node] == t.entry
		if valid && now.Before(t.entry.expires) && len(m.tombstones) <= MaxTombstones {
			return
		}
		if valid {
			m.removeEntry(t.node)
		}
		m.tombstones = m.tombstones[1:]
	}
}

func (m *Model) removeEntry(node string) {
	delete(m.entries, node)
	for _, p := range m.peers {
		p.removeNode(node)
	}
}

func (m *Model) becomeReady() []Cmd {
	m.ready = true
	for _, p := range m.peers {
		p.sendFull = true
	}
	return []Cmd{Ready{}}
}
