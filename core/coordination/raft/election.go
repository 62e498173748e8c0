package raft

import (
	"time"

	"pollenhill.example/core/state/wal"
)

// retryElection sets when an election that has not ended is tried again. The first retries come soon, because
// two candidates at once or a vote asked a moment too early would else cost another election timeout; later
// ones back off, so that a slow network can finish an election.
func (m *Model) retryElection() {
	wait := min(m.cfg.ElectionTimeout, m.cfg.HeartbeatInterval<<m.tries)
	m.electionAt = m.now.Add(wait + time.Duration(m.cfg.Rand.Int64N(int64(wait))))
}

// preVote asks whether an election could be won, so that a member that was cut off does not raise the term.
func (m *Model) preVote() {
	m.role = PreCandidate
	m.leader = ""
	m.retryElection()
	m.tries = min(m.tries+1, maxTries)
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
	grant := msg.Term > m.state.Term && !m.leased() && m.upToDate(msg) && !m.precedes(msg)
	answer := Message{Kind: PreVoteResponse, To: msg.From, Reject: !grant}
	if grant {
		answer.Term = msg.Term
	}
	m.send(answer)
	// The sender cannot win against this log but this member may with its vote, and has just become reachable.
	if !m.upToDate(msg) && !m.leased() && m.role != Leader && m.members().voter(m.cfg.ID) {
		m.electionAt = m.now
	}
}

// precedes breaks a tie between two members that ask for pre-votes at once, which would else split the votes. It
// holds for the first try only: later, a member that cannot win itself must not stand in the way of another.
func (m *Model) precedes(msg Message) bool {
	same := msg.LogTerm == m.log.lastTerm() && msg.Index == m.log.last()
	return m.role == PreCandidate && m.tries <= 1 && same && m.cfg.ID > msg.From
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
	m.retryElection()
	m.votes = map[string]bool{}
	m.save(nil)
	m.voteSave = m.sequence
	m.ask(Vote, m.state.Term)
}

func (m *Model) onVote(msg Message) {
	free := m.state.Vote == "" && m.leader == "" || m.state.Vote == msg.From
	if !free || !m.upToDate(msg) {
		m.send(Message{Kind: VoteResponse, To: msg.From, Reject: true})
		return
	}
	if m.state.Vote != msg.From {
		m.state.Vote = msg.From
		m.dirty = true
	}
	m.resetElection()
	m.send(Message{Kind: VoteResponse, To: msg.From})
}

func (m *Model) countVote(id string, granted bool) {
	m.votes[id] = granted
	if m.members().quorum(m.granted()) {
		m.startLead()
	}
}
