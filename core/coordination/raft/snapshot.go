package raft

import (
	"pollenhill.example/core/state/wal"
)

// compact takes a snapshot of the application and drops the entries before it, except some for slow followers.
func (m *Model) compact(msg Compact) {
	if msg.Index <= m.snapshot.Index || msg.Index > m.applied {
		return
	}
	at := 0
	for at+1 < len(m.sets) && m.sets[at+1].index <= msg.Index {
		at++
	}
	m.sets = m.sets[at:]
	term, _ := m.log.term(msg.Index)
	m.snapshot = wal.Snapshot{Index: msg.Index, Term: term, Members: m.sets[0].set.Encode(), Data: msg.Data}
	m.rewrite()
	m.log.compact(msg.Index - min(msg.Index, m.cfg.TrailingEntries))
}

// startSnapshot starts to send the snapshot instead of entries that are gone.
func (m *Model) startSnapshot(p *progress) {
	s := m.snapshot
	p.snapshot = &s
	p.offset = 0
	p.sentAt = m.now.Add(-m.cfg.ElectionTimeout)
}

// sendChunk sends the next part of the snapshot, and again if it was not acknowledged within the election
// timeout; a heartbeat goes out in any case.
func (m *Model) sendChunk(id string, p *progress, beat bool) {
	if beat {
		m.send(m.appendMessage(id, 0, 0, nil))
	}
	if m.now.Before(p.sentAt.Add(m.cfg.ElectionTimeout)) {
		return
	}
	p.sentAt = m.now
	data := p.snapshot.Data
	end := min(uint64(len(data)), p.offset+uint64(m.cfg.SnapshotChunkBytes))
	m.send(Message{
		Kind: InstallSnapshot, To: id, Index: p.snapshot.Index, LogTerm: p.snapshot.Term, Membership: p.snapshot.Members,
		Offset: p.offset, SnapshotSize: uint64(len(data)), Chunk: data[p.offset:end], Round: m.lead.round,
	})
}

func (m *Model) onInstalled(msg Message) {
	p := m.lead.peers[msg.From]
	if p == nil {
		return
	}
	m.noteRound(p, msg.Round)
	if p.snapshot == nil || p.snapshot.Index != msg.Index || msg.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	if msg.Offset == p.offset {
		return
	}
	p.offset = msg.Offset
	p.sentAt = m.now.Add(-m.cfg.ElectionTimeout)
	m.sendChunk(msg.From, p, false)
}

func (m *Model) onInstall(msg Message) {
	if m.role == Leader {
		return
	}
	m.hear(msg)
	if msg.Index <= m.commit {
		m.send(Message{Kind: AppendResponse, To: msg.From, Index: m.commit, Round: msg.Round})
		return
	}
	in := &m.incoming
	if in.Index != msg.Index || in.Term != msg.LogTerm || m.sender != msg.From {
		m.sender = msg.From
		*in = wal.Snapshot{Index: msg.Index, Term: msg.LogTerm, Members: msg.Membership}
	}
	if msg.Offset == uint64(len(in.Data)) {
		in.Data = append(in.Data, msg.Chunk...)
	}
	if uint64(len(in.Data)) < msg.SnapshotSize {
		m.send(Message{Kind: InstallSnapshotResponse, To: msg.From, Index: msg.Index, Offset: uint64(len(in.Data)), Round: msg.Round})
		return
	}
	if !m.install() {
		return
	}
	m.send(Message{Kind: AppendResponse, To: msg.From, Index: m.commit, Round: msg.Round})
}

// install takes the received snapshot. If the log holds its last entry, the log is kept: what follows may have
// been acknowledged.
func (m *Model) install() bool {
	s := m.incoming
	m.incoming = wal.Snapshot{}
	if term, ok := m.log.term(s.Index); ok && term == s.Term {
		m.commit = s.Index
		return true
	}
	set, _, err := DecodeMembership(s.Members)
	if err != nil {
		m.emit(Halt{err.Error()})
		return false
	}
	m.snapshot = s
	m.log = tail{base: s.Index, baseTerm: s.Term}
	m.sets = []membershipAt{{s.Index, set}}
	m.commit, m.applied, m.durable = s.Index, s.Index, s.Index
	m.rewrite()
	m.emit(Restore{s})
	return true
}
