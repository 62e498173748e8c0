package raft

import (
	"fmt"

	"pollenhill.example/core/state/wal"
)

// recordLeader makes this member a follower of the sender and records the time of contact with the leader and its quorum. After
// maxContactGap without that contact others may have committed entries, up to the commit index of the leader.
func (m *Model) recordLeader(msg Message) {
	m.becomeFollower(msg.Term, msg.From)
	m.leaderHeardAt = m.now
	if !msg.HasQuorum {
		return
	}
	if !m.now.Before(m.quorumHeardAt.Add(maxContactGap)) {
		m.contactIndex = msg.Commit
	}
	m.quorumHeardAt = m.now
}

// maxContactGap is how long a follower may be without contact to a quorum before it has to catch up to count as current again. Under
// load a leader and its followers are busy for longer than an election timeout while they apply a large entry.
const maxContactGap = UnresponsiveVoterTimeout

func (m *Model) onAppend(msg Message) {
	if m.role == Leader {
		m.emit(Halt{fmt.Sprintf("two leaders in term %d: member %s and this one", msg.Term, msg.From)})
		return
	}
	m.recordLeader(msg)
	response := Message{Kind: AppendResponse, To: msg.From, Round: msg.Round}
	if msg.Index < m.commitIndex {
		response.Index = m.commitIndex
		m.send(response)
		return
	}
	if term, ok := m.log.term(msg.Index); !ok || term != msg.LogTerm {
		response.Reject = true
		response.Index = msg.Index
		response.Offset = m.lastPossibleMatch(msg.Index)
		m.send(response)
		return
	}
	if !m.mergeEntries(msg.Entries) {
		return
	}
	response.Index = msg.Index + uint64(len(msg.Entries))
	m.commitIndex = max(m.commitIndex, min(msg.Commit, response.Index))
	m.send(response)
}

// lastPossibleMatch returns the last entry at which the logs may agree, for an Append that was rejected at index: the last
// entry if the log is shorter, otherwise the entry before the conflicting term.
func (m *Model) lastPossibleMatch(index uint64) uint64 {
	if index > m.log.lastIndex() {
		return m.log.lastIndex()
	}
	term, ok := m.log.term(index)
	for ok && index > m.commitIndex {
		if t, _ := m.log.term(index); t != term {
			break
		}
		index--
	}
	return max(index, m.commitIndex)
}

// mergeEntries appends the entries that are missing from the log. The log is truncated from the first entry that conflicts.
// It returns false if this member has to halt.
func (m *Model) mergeEntries(entries []wal.Entry) bool {
	for len(entries) > 0 {
		term, ok := m.log.term(entries[0].Index)
		if !ok {
			break
		}
		if term != entries[0].Term {
			if !m.truncateFrom(entries[0].Index) {
				return false
			}
			break
		}
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return true
	}
	for _, e := range entries {
		m.log.append(e)
		if err := m.recordMembership(e); err != nil {
			m.emit(Halt{err.Error()})
			return false
		}
	}
	m.save(entries)
	return true
}

func (m *Model) truncateFrom(index uint64) bool {
	if index <= m.commitIndex {
		m.emit(Halt{fmt.Sprintf("committed entry %d differs from the leader's", index)})
		return false
	}
	m.log.truncateFrom(index)
	m.durableIndex = min(m.durableIndex, index-1)
	for m.memberships[len(m.memberships)-1].index >= index {
		m.memberships = m.memberships[:len(m.memberships)-1]
	}
	return true
}
