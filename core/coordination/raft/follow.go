package raft

import (
	"fmt"

	"pollenhill.example/core/state/wal"
)

// hear notes a message of the leader of this term.
func (m *Model) hear(msg Message) {
	m.follow(msg.Term, msg.From)
	m.heardAt = m.now
	if msg.HasQuorum {
		m.currentAt = m.now
	}
}

func (m *Model) onAppend(msg Message) {
	if m.role == Leader {
		m.emit(Halt{fmt.Sprintf("member %s also leads in term %d", msg.From, msg.Term)})
		return
	}
	m.hear(msg)
	answer := Message{Kind: AppendResponse, To: msg.From, Round: msg.Round}
	if msg.Index < m.commit {
		answer.Index = m.commit
		m.send(answer)
		return
	}
	if term, ok := m.log.term(msg.Index); !ok || term != msg.LogTerm {
		answer.Reject = true
		answer.Index = msg.Index
		answer.Offset = m.conflict(msg.Index)
		m.send(answer)
		return
	}
	if !m.take(msg.Entries) {
		return
	}
	answer.Index = msg.Index + uint64(len(msg.Entries))
	m.commit = max(m.commit, min(msg.Commit, answer.Index))
	m.send(answer)
}

// conflict returns an entry before the rejected one where the logs may be equal: the last one if the log is
// short, else it skips the whole term that differs.
func (m *Model) conflict(index uint64) uint64 {
	if index > m.log.last() {
		return m.log.last()
	}
	term, ok := m.log.term(index)
	for ok && index > m.commit {
		if t, _ := m.log.term(index); t != term {
			break
		}
		index--
	}
	return max(index, m.commit)
}

// take adds the entries that are not in the log yet; the first that differs replaces all from there on.
func (m *Model) take(entries []wal.Entry) bool {
	for len(entries) > 0 {
		term, ok := m.log.term(entries[0].Index)
		if !ok {
			break
		}
		if term != entries[0].Term {
			if !m.cut(entries[0].Index) {
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
		m.log.entries = append(m.log.entries, e)
		if err := m.noteMembers(e); err != nil {
			m.emit(Halt{err.Error()})
			return false
		}
	}
	m.save(entries)
	return true
}

func (m *Model) cut(index uint64) bool {
	if index <= m.commit {
		m.emit(Halt{fmt.Sprintf("entry %d is committed and differs from the leader's", index)})
		return false
	}
	m.log.cut(index)
	m.durable = min(m.durable, index-1)
	for m.sets[len(m.sets)-1].index >= index {
		m.sets = m.sets[:len(m.sets)-1]
	}
	return true
}
