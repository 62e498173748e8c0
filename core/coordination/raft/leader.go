package raft

import (
	"slices"
	"time"

	"pollenhill.example/core/state/wal"
)

// leaderState is what a leader keeps for its term.
type leaderState struct {
	peers       map[string]*progress // by member ID
	heartbeatAt time.Time            // when the next heartbeat is due
	round       uint64               // of the last heartbeat
	roundSentAt map[uint64]time.Time // by round, for the last maxHeartbeatRounds
	electedAt   time.Time
	reads       []pendingRead // in order of arrival
}

// maxHeartbeatRounds is how many recent rounds can still be acknowledged. Responses to older ones are ignored.
const maxHeartbeatRounds = 1024

// progress is the replication state of one other member, as the leader knows it.
type progress struct {
	matchIndex       uint64        // last entry known to be on the member's disk
	nextIndex        uint64        // next entry to send
	probing          bool          // the matching entry is unknown: send one message at a time
	probeOutstanding bool          // a probe was sent and not answered
	ackedRound       uint64        // last heartbeat round acknowledged
	ackedRoundSentAt time.Time     // when that round was sent
	snapshot         *wal.Snapshot // being sent, or nil
	snapshotOffset   uint64        // of the next chunk, in bytes
	chunkSentAt      time.Time     // when the chunk at snapshotOffset was sent
}

func (m *Model) becomeLeader() {
	m.role = Leader
	m.leader = m.cfg.ID
	m.leaderState = leaderState{peers: map[string]*progress{}, roundSentAt: map[uint64]time.Time{}, electedAt: m.now}
	m.updatePeers()
	m.appendEntries(wal.Entry{Kind: EntryNoOp})
	m.sendHeartbeats()
}

// updatePeers adds progress for new members and drops that of removed ones.
func (m *Model) updatePeers() {
	members := m.membership()
	for id := range m.leaderState.peers {
		if !members.contains(id) {
			delete(m.leaderState.peers, id)
		}
	}
	for _, id := range slices.Concat(members.Voters, members.Learners) {
		if id != m.cfg.ID && m.leaderState.peers[id] == nil {
			m.leaderState.peers[id] = &progress{nextIndex: m.log.lastIndex() + 1, probing: true}
		}
	}
}

// otherMembers returns the IDs of the other members in a fixed order, so that equal inputs produce equal effects.
func (m *Model) otherMembers() []string {
	members := m.membership()
	return removeID(slices.Concat(members.Voters, members.Learners), m.cfg.ID)
}

func (m *Model) appendEntries(entries ...wal.Entry) {
	for i := range entries {
		entries[i].Index = m.log.lastIndex() + 1
		entries[i].Term = m.state.Term
		m.log.append(entries[i])
	}
	m.save(entries)
}

func (m *Model) propose(list []Proposal) {
	var entries []wal.Entry
	pendingBytes := m.log.size(m.commitIndex, m.log.lastIndex())
	for _, p := range list {
		pending := m.log.lastIndex() + uint64(len(entries)) - m.commitIndex
		switch {
		case m.role != Leader:
			m.emit(Rejected{p.Token, NotLeader})
		case pending >= maxUncommittedEntries, pendingBytes >= maxUncommittedBytes:
			m.emit(Rejected{p.Token, Busy})
		default:
			entries = append(entries, wal.Entry{Kind: EntryCommand, Data: p.Data})
			pendingBytes += uint64(len(p.Data))
			m.emit(Proposed{p.Token, m.log.lastIndex() + uint64(len(entries)), m.state.Term})
		}
	}
	if len(entries) > 0 {
		m.appendEntries(entries...)
		m.replicate()
	}
}

func (m *Model) tickLeader() {
	if !m.hasQuorumContact(m.leaderState.electedAt) {
		m.becomeFollower(m.state.Term, "")
		return
	}
	if m.now.Before(m.leaderState.heartbeatAt) {
		return
	}
	m.sendHeartbeats()
	m.promoteLearner()
}

// hasQuorumContact reports whether a quorum acknowledged a heartbeat that was sent within the election timeout. Every
// member counts as heard at the time floor, unless that is zero.
func (m *Model) hasQuorumContact(floor time.Time) bool {
	members := m.membership()
	n := 0
	for _, id := range members.Voters {
		if id == m.cfg.ID {
			n++
			continue
		}
		lastContact := floor
		if p := m.leaderState.peers[id]; p != nil && p.ackedRoundSentAt.After(floor) {
			lastContact = p.ackedRoundSentAt
		}
		if !lastContact.IsZero() && m.now.Before(lastContact.Add(m.cfg.ElectionTimeout)) {
			n++
		}
	}
	return members.isQuorum(n)
}

// Reachable reports whether this member leads and the given one acknowledged a heartbeat that was sent within the election
// timeout. A new leader counts every member as heard at its election.
func (m *Model) Reachable(now time.Time, id string) bool {
	if m.role != Leader || id == m.cfg.ID {
		return m.role == Leader
	}
	lastContact := m.leaderState.electedAt
	if p := m.leaderState.peers[id]; p != nil && p.ackedRoundSentAt.After(lastContact) {
		lastContact = p.ackedRoundSentAt
	}
	return now.Before(lastContact.Add(m.cfg.ElectionTimeout))
}

// sendHeartbeats starts a new heartbeat round and resends probes that were not answered.
func (m *Model) sendHeartbeats() {
	m.leaderState.round++
	m.leaderState.roundSentAt[m.leaderState.round] = m.now
	delete(m.leaderState.roundSentAt, m.leaderState.round-min(m.leaderState.round, maxHeartbeatRounds))
	m.leaderState.heartbeatAt = m.now.Add(m.cfg.HeartbeatInterval)
	for _, id := range m.otherMembers() {
		p := m.leaderState.peers[id]
		p.probeOutstanding = false
		m.sendAppend(id, p, true)
	}
	m.finishReads()
}

// replicate sends new entries to every member that is ready for them.
func (m *Model) replicate() {
	for _, id := range m.otherMembers() {
		m.sendAppend(id, m.leaderState.peers[id], false)
	}
}

// sendAppend sends the entries or the snapshot chunk that the member lacks. With heartbeat set it sends at least an Append
// without entries.
func (m *Model) sendAppend(id string, p *progress, heartbeat bool) {
	for {
		if p.snapshot != nil {
			m.sendChunk(id, p, heartbeat)
			return
		}
		prev := p.nextIndex - 1
		term, ok := m.log.term(prev)
		if !ok {
			m.startSnapshot(p)
			continue
		}
		var entries []wal.Entry
		if !p.probeOutstanding && m.hasRoom(p) {
			entries = m.log.entriesFrom(p.nextIndex, m.cfg.MaxAppendBytes)
		}
		if !heartbeat && len(entries) == 0 {
			return
		}
		m.send(m.appendMessage(id, prev, term, entries))
		if p.probing {
			p.probeOutstanding = true
			return
		}
		p.nextIndex += uint64(len(entries))
		heartbeat = false
	}
}

// hasRoom reports whether the member may be sent more entries while it has not acknowledged those before. While the matching entry
// is unknown, none are known to be on their way.
func (m *Model) hasRoom(p *progress) bool {
	sent := p.nextIndex - 1
	return p.probing || sent-p.matchIndex < maxInflightEntries && m.log.size(p.matchIndex, sent) < maxInflightBytes
}

func (m *Model) appendMessage(id string, prev, term uint64, entries []wal.Entry) Message {
	return Message{
		Kind: Append, To: id, Index: prev, LogTerm: term, Entries: entries,
		Commit: m.commitIndex, Round: m.leaderState.round,
		// Before an entry of its term is committed, a leader may not know of all committed entries.
		HasQuorum: m.hasQuorumContact(time.Time{}) && m.isOfThisTerm(m.commitIndex),
	}
}

// isOfThisTerm reports whether the entry at index is in memory and of the current term.
func (m *Model) isOfThisTerm(index uint64) bool {
	term, ok := m.log.term(index)
	return ok && term == m.state.Term
}

func (m *Model) onAppendResponse(msg Message) {
	p := m.leaderState.peers[msg.From]
	if p == nil || msg.Index > m.log.lastIndex() {
		return
	}
	m.recordAckedRound(p, msg.Round)
	switch {
	case msg.Reject && (msg.Index <= p.matchIndex || msg.Index >= p.nextIndex):
		return
	case msg.Reject:
		p.nextIndex = max(p.matchIndex+1, min(msg.Index, msg.Offset+1))
		p.probing = true
	default:
		p.matchIndex = max(p.matchIndex, msg.Index)
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		p.probing = false
		if p.snapshot != nil && p.matchIndex >= p.snapshot.Index {
			p.snapshot = nil
		}
		m.tryCommit()
	}
	p.probeOutstanding = false
	if m.role == Leader {
		m.sendAppend(msg.From, p, false)
	}
}

func (m *Model) recordAckedRound(p *progress, round uint64) {
	at, ok := m.leaderState.roundSentAt[round]
	if !ok || round <= p.ackedRound {
		return
	}
	p.ackedRound = round
	p.ackedRoundSentAt = at
	m.finishReads()
}

// tryCommit advances the commit index to the last entry that a quorum of voters has on disk, if it is of the current term.
// An entry of an earlier term could still be replaced. A leader that is not a voter in the committed membership steps down.
func (m *Model) tryCommit() {
	members := m.membership()
	var synced []uint64
	for _, id := range members.Voters {
		switch p := m.leaderState.peers[id]; {
		case id == m.cfg.ID:
			synced = append(synced, m.durableIndex)
		case p != nil:
			synced = append(synced, p.matchIndex)
		default:
			synced = append(synced, 0)
		}
	}
	slices.Sort(synced)
	index := synced[(len(synced)-1)/2]
	if term, _ := m.log.term(index); index <= m.commitIndex || term != m.state.Term {
		return
	}
	m.commitIndex = index
	if !members.isVoter(m.cfg.ID) && m.memberships[len(m.memberships)-1].index <= m.commitIndex {
		m.sendHeartbeats()
		m.becomeFollower(m.state.Term, "")
		return
	}
	if !m.startReadRound() {
		m.sendHeartbeats()
	}
}
