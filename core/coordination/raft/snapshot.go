package raft

import (
	"pollenhill.example/core/state/wal"
)

// compact stores a snapshot of the application and drops the entries up to it, except the last TrailingEntries, and at most
// TrailingBytes of them, for slow followers.
func (m *Model) compact(msg Compact) {
	if msg.Index <= m.snapshot.Index || msg.Index > m.appliedIndex {
		return
	}
	inForce := 0
	for inForce+1 < len(m.memberships) && m.memberships[inForce+1].index <= msg.Index {
		inForce++
	}
	m.memberships = m.memberships[inForce:]
	term, _ := m.log.term(msg.Index)
	m.snapshot = wal.Snapshot{Index: msg.Index, Term: term, Membership: m.memberships[0].membership.Encode(), Data: msg.Data}
	m.rewrite()
	m.log.dropThrough(max(msg.Index-min(msg.Index, m.cfg.TrailingEntries), m.log.startOf(msg.Index, m.cfg.TrailingBytes)))
}

// startSnapshot starts sending the snapshot to a member that needs entries which were compacted.
func (m *Model) startSnapshot(p *progress) {
	s := m.snapshot
	p.snapshot = &s
	p.snapshotOffset = 0
	p.chunkSentAt = m.now.Add(-m.cfg.ElectionTimeout) // the first chunk is due immediately
}

// sendChunk sends the next chunk of the snapshot, or resends it if it was not acknowledged within the election timeout.
// With heartbeat set it also sends an Append without entries.
func (m *Model) sendChunk(id string, p *progress, heartbeat bool) {
	if heartbeat {
		m.send(m.appendMessage(id, 0, 0, nil))
	}
	if m.now.Before(p.chunkSentAt.Add(m.cfg.ElectionTimeout)) {
		return
	}
	p.chunkSentAt = m.now
	data := p.snapshot.Data
	end := min(uint64(len(data)), p.snapshotOffset+uint64(m.cfg.SnapshotChunkBytes))
	m.send(Message{
		Kind: InstallSnapshot, To: id, Index: p.snapshot.Index, LogTerm: p.snapshot.Term, Membership: p.snapshot.Membership,
		Offset: p.snapshotOffset, SnapshotSize: uint64(len(data)), Chunk: data[p.snapshotOffset:end], Round: m.leaderState.round,
	})
}

func (m *Model) onInstallSnapshotResponse(msg Message) {
	p := m.leaderState.peers[msg.From]
	if p == nil {
		return
	}
	m.recordAckedRound(p, msg.Round)
	if p.snapshot == nil || p.snapshot.Index != msg.Index || msg.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	if msg.Offset == p.snapshotOffset {
		return
	}
	p.snapshotOffset = msg.Offset
	p.chunkSentAt = m.now.Add(-m.cfg.ElectionTimeout)
	m.sendChunk(msg.From, p, false)
}

func (m *Model) onInstallSnapshot(msg Message) {
	if m.role == Leader {
		return
	}
	m.recordLeader(msg)
	if msg.Index <= m.commitIndex {
		m.send(Message{Kind: AppendResponse, To: msg.From, Index: m.commitIndex, Round: msg.Round})
		return
	}
	in := &m.incomingSnapshot
	if in.Index != msg.Index || in.Term != msg.LogTerm || m.incomingFrom != msg.From {
		m.incomingFrom = msg.From
		*in = wal.Snapshot{Index: msg.Index, Term: msg.LogTerm, Membership: msg.Membership}
	}
	if msg.Offset == uint64(len(in.Data)) {
		in.Data = append(in.Data, msg.Chunk...)
	}
	if uint64(len(in.Data)) < msg.SnapshotSize {
		m.send(Message{
			Kind: InstallSnapshotResponse, To: msg.From, Index: msg.Index, Offset: uint64(len(in.Data)), Round: msg.Round,
		})
		return
	}
	if !m.installReceived() {
		return
	}
	m.send(Message{Kind: AppendResponse, To: msg.From, Index: m.commitIndex, Round: msg.Round})
}

// installReceived installs the received snapshot. If the log contains the last entry of the snapshot, the log is kept and
// only the commit index advances: the entries after it may have been acknowledged. It returns false if this member has to
// halt.
func (m *Model) installReceived() bool {
	s := m.incomingSnapshot
	m.incomingSnapshot = wal.Snapshot{}
	if term, ok := m.log.term(s.Index); ok && term == s.Term {
		m.commitIndex = s.Index
		return true
	}
	members, _, err := DecodeMembership(s.Membership)
	if err != nil {
		m.emit(Halt{err.Error()})
		return false
	}
	m.snapshot = s
	m.log = newLogTail(s.Index, s.Term)
	m.memberships = []logMembership{{s.Index, members}}
	m.commitIndex, m.appliedIndex, m.durableIndex = s.Index, s.Index, s.Index
	m.rewrite()
	m.emit(Restore{s})
	return true
}
