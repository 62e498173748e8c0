package raft

import "pollenhill.example/core/state/wal"

// preVote asks whether an election could be won, so that a member that was cut off does not raise the term.
func (m *Model) preVote() {
	m.role = PreCandidate
	m.leader = ""
	m.resetElection()
	m.votes = map[string]bool{}
	m.ask(PreVote, m.state.Term+1)
	m.countPreVote(m.cfg.ID)
}

func (m *Model) ask(kind Kind, term uint64) {
	for _, id := range m.members().Voters {
		if id != m.cfg.ID {
			m.send(Message{Kind: kind, To: id, Term: term, Index: m.log.last(), LogTerm: m.log.lastTerm()})
		}
	}
}

func (m *Model) onPreVote(msg Message) {
	grant := msg.Term > m.state.Term && !m.leased() && m.upToDate(msg)
	answer := Message{Kind: PreVoted, To: msg.From, Reject: !grant}
	if grant {
		answer.Term = msg.Term
	}
	m.send(answer)
}

// upToDate returns whether the log of a candidate holds everything that this member acknowledged.
func (m *Model) upToDate(msg Message) bool {
	last := m.log.lastTerm()
	return msg.LogTerm > last || msg.LogTerm == last && msg.Index >= m.log.last()
}

func (m *Model) onPreVoted(msg Message) {
	if m.role == PreCandidate && !msg.Reject && msg.Term == m.state.Term+1 {
		m.countPreVote(msg.From)
	}
}

func (m *Model) countPreVote(id string) {
	m.votes[id] = true
	if m.members().quorum(m.granted()) {
		m.campaign()
	}
}

func (m *Model) granted() int {
	n := 0
	for _, id := range m.members().Voters {
		if m.votes[id] {
			n++
		}
	}
	return n
}

// campaign starts an election; the own vote counts once it is durable.
func (m *Model) campaign() {
	m.role = Candidate
	m.state = wal.State{Term: m.state.Term + 1, Vote: m.cfg.ID}
	m.resetElection()
	m.votes = map[string]bool{}
	m.save(nil)
	m.voteSave = m.sequence
	m.ask(Vote, m.state.Term)
}

func (m *Model) onVote(msg Message) {
	free := m.state.Vote == "" && m.leader == "" || m.state.Vote == msg.From
	if !free || !m.upToDate(msg) {
		m.send(Message{Kind: Voted, To: msg.From, Reject: true})
		return
	}
	if m.state.Vote != msg.From {
		m.state.Vote = msg.From
		m.dirty = true
	}
	m.resetElection()
	m.send(Message{Kind: Voted, To: msg.From})
}

func (m *Model) countVote(id string, granted bool) {
	m.votes[id] = granted
	if m.members().quorum(m.granted()) {
		m.startLead()
	}
}
