package raft

import (
	"slices"
	"time"

	"pollenhill.example/core/state/wal"
)

// lead is the state of a leader in its term.
type lead struct {
	peers  map[string]*progress
	beatAt time.Time
	round  uint64               // of the last heartbeat
	rounds map[uint64]time.Time // when recent rounds were sent
	since  time.Time
	reads  []pendingRead // by round; round 0 waits for the first commit of the term
}

// roundsKept bounds the rounds that can still be acknowledged; an answer to an older one counts for nothing.
const roundsKept = 1024

// progress is what a leader knows of one other member.
type progress struct {
	match    uint64
	next     uint64
	probing  bool      // the position is not known; one message at a time
	paused   bool      // a probe is on its way
	round    uint64    // last round acknowledged
	contact  time.Time // when that round was sent
	snapshot *wal.Snapshot
	offset   uint64    // of the snapshot
	sentAt   time.Time // when the chunk at offset was sent
}

func (m *Model) startLead() {
	m.role = Leader
	m.leader = m.cfg.ID
	m.lead = lead{peers: map[string]*progress{}, rounds: map[uint64]time.Time{}, since: m.now}
	m.syncPeers()
	m.append(wal.Entry{Kind: EntryNoOp})
	m.beat()
}

// syncPeers makes the progress list equal to the membership.
func (m *Model) syncPeers() {
	set := m.members()
	for id := range m.lead.peers {
		if !set.has(id) {
			delete(m.lead.peers, id)
		}
	}
	for _, id := range slices.Concat(set.Voters, set.Learners) {
		if id != m.cfg.ID && m.lead.peers[id] == nil {
			m.lead.peers[id] = &progress{next: m.log.last() + 1, probing: true}
		}
	}
}

// ids returns the other members in order, so that equal inputs give equal effects.
func (m *Model) ids() []string {
	set := m.members()
	return without(slices.Concat(set.Voters, set.Learners), m.cfg.ID)
}

func (m *Model) append(entries ...wal.Entry) {
	for i := range entries {
		entries[i].Index = m.log.last() + 1
		entries[i].Term = m.state.Term
		m.log.entries = append(m.log.entries, entries[i])
	}
	m.save(entries)
}

func (m *Model) propose(list []Proposal) {
	var entries []wal.Entry
	for _, p := range list {
		pending := m.log.last() + uint64(len(entries)) - m.commit
		switch {
		case m.role != Leader:
			m.emit(Rejected{p.Token, NotLeader})
		case pending >= maxPending:
			m.emit(Rejected{p.Token, Busy})
		default:
			entries = append(entries, wal.Entry{Kind: EntryCommand, Data: p.Data})
			m.emit(Proposed{p.Token, m.log.last() + uint64(len(entries)), m.state.Term})
		}
	}
	if len(entries) > 0 {
		m.append(entries...)
		m.replicate()
	}
}

func (m *Model) tickLeader() {
	if !m.inContact(m.lead.since) {
		m.follow(m.state.Term, "")
		return
	}
	if m.now.Before(m.lead.beatAt) {
		return
	}
	m.beat()
	m.promote()
}

// inContact returns whether a quorum acknowledged a heartbeat sent within the election timeout; every member
// counts as heard at the given time.
func (m *Model) inContact(floor time.Time) bool {
	set := m.members()
	n := 0
	for _, id := range set.Voters {
		if id == m.cfg.ID {
			n++
			continue
		}
		heard := floor
		if p := m.lead.peers[id]; p != nil && p.contact.After(floor) {
			heard = p.contact
		}
		if !heard.IsZero() && m.now.Before(heard.Add(m.cfg.ElectionTimeout)) {
			n++
		}
	}
	return set.quorum(n)
}

// Reachable returns whether this member leads and another acknowledged a heartbeat within the election timeout; a new
// leader counts everyone as heard at its start.
func (m *Model) Reachable(now time.Time, id string) bool {
	if m.role != Leader || id == m.cfg.ID {
		return m.role == Leader
	}
	heard := m.lead.since
	if p := m.lead.peers[id]; p != nil && p.contact.After(heard) {
		heard = p.contact
	}
	return now.Before(heard.Add(m.cfg.ElectionTimeout))
}

// beat starts a new heartbeat round.
func (m *Model) beat() {
	m.lead.round++
	m.lead.rounds[m.lead.round] = m.now
	delete(m.lead.rounds, m.lead.round-min(m.lead.round, roundsKept))
	m.lead.beatAt = m.now.Add(m.cfg.HeartbeatInterval)
	for _, id := range m.ids() {
		p := m.lead.peers[id]
		p.paused = false
		m.sendAppend(id, p, true)
	}
	m.finishReads()
}

// replicate sends new entries to everyone who can take them.
func (m *Model) replicate() {
	for _, id := range m.ids() {
		m.sendAppend(id, m.lead.peers[id], false)
	}
}

// sendAppend sends what the member lacks; with beat it sends at least an empty message.
func (m *Model) sendAppend(id string, p *progress, beat bool) {
	for {
		if p.snapshot != nil {
			m.sendChunk(id, p, beat)
			return
		}
		prev := p.next - 1
		term, ok := m.log.term(prev)
		if !ok {
			m.startSnapshot(p)
			continue
		}
		var entries []wal.Entry
		if !p.paused && p.next-p.match <= maxInflight {
			entries = m.log.from(p.next, m.cfg.MaxAppendBytes)
		}
		if !beat && len(entries) == 0 {
			return
		}
		m.send(m.appendMessage(id, prev, term, entries))
		if p.probing {
			p.paused = true
			return
		}
		p.next += uint64(len(entries))
		beat = false
	}
}

func (m *Model) appendMessage(id string, prev, term uint64, entries []wal.Entry) Message {
	return Message{
		Kind: Append, To: id, Index: prev, LogTerm: term, Entries: entries,
		Commit: m.commit, Round: m.lead.round, HasQuorum: m.inContact(time.Time{}),
	}
}

func (m *Model) onAppended(msg Message) {
	p := m.lead.peers[msg.From]
	if p == nil || msg.Index > m.log.last() {
		return
	}
	m.noteRound(p, msg.Round)
	switch {
	case msg.Reject && (msg.Index <= p.match || msg.Index >= p.next):
		return
	case msg.Reject:
		p.next = max(p.match+1, min(msg.Index, msg.Offset+1))
		p.probing = true
	default:
		p.match = max(p.match, msg.Index)
		p.next = max(p.next, p.match+1)
		p.probing = false
		if p.snapshot != nil && p.match >= p.snapshot.Index {
			p.snapshot = nil
		}
		m.tryCommit()
	}
	p.paused = false
	if m.role == Leader {
		m.sendAppend(msg.From, p, false)
	}
}

func (m *Model) noteRound(p *progress, round uint64) {
	at, ok := m.lead.rounds[round]
	if !ok || round <= p.round {
		return
	}
	p.round = round
	p.contact = at
	m.finishReads()
}

// tryCommit commits what a quorum of voters has synced, if it ends in an entry of this term.
func (m *Model) tryCommit() {
	set := m.members()
	var synced []uint64
	for _, id := range set.Voters {
		switch p := m.lead.peers[id]; {
		case id == m.cfg.ID:
			synced = append(synced, m.durable)
		case p != nil:
			synced = append(synced, p.match)
		default:
			synced = append(synced, 0)
		}
	}
	slices.Sort(synced)
	index := synced[(len(synced)-1)/2]
	if term, _ := m.log.term(index); index <= m.commit || term != m.state.Term {
		return
	}
	m.commit = index
	if !set.voter(m.cfg.ID) && m.sets[len(m.sets)-1].index <= m.commit {
		m.beat()
		m.follow(m.state.Term, "")
		return
	}
	if !m.startReads() {
		m.beat()
	}
}
