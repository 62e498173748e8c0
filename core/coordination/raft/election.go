package raft

import (
	"time"

	"pollenhill.example/core/state/wal"
)

// scheduleElectionRetry sets when to retry an election that has no winner. The first retries come soon, because otherwise
// a split vote or a vote requested slightly too early would cost another election timeout. Later ones back off
// exponentially, so that an election can finish on a slow network.
func (m *Model) scheduleElectionRetry() {
	wait := min(m.cfg.ElectionTimeout, m.cfg.HeartbeatInterval<<m.electionTries)
	m.electionAt = m.now.Add(wait + time.Duration(m.cfg.Rand.Int64N(int64(wait))))
}

// startPreVote asks the voters whether an election could be won, so that an isolated member doesn't raise the term.
func (m *Model) startPreVote() {
	m.role = PreCandidate
	m.leader = ""
	m.scheduleElectionRetry()
	m.electionTries = min(m.electionTries+1, maxElectionBackoffShift)
	m.votes = map[string]bool{}
	m.requestVotes(PreVote, m.state.Term+1)
	m.countPreVote(m.cfg.ID)
}

func (m *Model) requestVotes(kind MessageKind, term uint64) {
	for _, id := range m.membership().Voters {
		if id != m.cfg.ID {
			m.send(Message{Kind: kind, To: id, Term: term, Index: m.log.lastIndex(), LogTerm: m.log.lastTerm()})
		}
	}
}

func (m *Model) onPreVote(msg Message) {
	grant := msg.Term > m.state.Term && !m.hasActiveLeader() && m.upToDate(msg) && !m.winsTie(msg)
	response := Message{Kind: PreVoteResponse, To: msg.From, Reject: !grant}
	if grant {
		response.Term = msg.Term
	}
	m.send(response)
	// The sender, which has just become reachable, can't win with its older log, but this member may win with the sender's
	// vote.
	if !m.upToDate(msg) && !m.hasActiveLeader() && m.role != Leader && m.membership().isVoter(m.cfg.ID) {
		m.electionAt = m.now
	}
}

// winsTie breaks a tie between two members with equal logs that request pre-votes at the same time, which could split the
// vote: the higher ID wins. It applies only to the first try, so that a member that can't win doesn't block others.
func (m *Model) winsTie(msg Message) bool {
	same := msg.LogTerm == m.log.lastTerm() && msg.Index == m.log.lastIndex()
	return m.role == PreCandidate && m.electionTries <= 1 && same && m.cfg.ID > msg.From
}

// upToDate reports whether the log of a candidate is at least as recent as this one, by last term and index.
func (m *Model) upToDate(msg Message) bool {
	last := m.log.lastTerm()
	return msg.LogTerm > last || msg.LogTerm == last && msg.Index >= m.log.lastIndex()
}

func (m *Model) onPreVoteResponse(msg Message) {
	if m.role == PreCandidate && !msg.Reject && msg.Term == m.state.Term+1 {
		m.countPreVote(msg.From)
	}
}

func (m *Model) countPreVote(id string) {
	m.votes[id] = true
	if m.membership().isQuorum(m.grantedVotes()) {
		m.startElection()
	}
}

func (m *Model) grantedVotes() int {
	n := 0
	for _, id := range m.membership().Voters {
		if m.votes[id] {
			n++
		}
	}
	return n
}

// startElection becomes a candidate in a new term. The own vote counts only once it is durable.
func (m *Model) startElection() {
	m.role = Candidate
	m.state = wal.HardState{Term: m.state.Term + 1, Vote: m.cfg.ID}
	m.scheduleElectionRetry()
	m.votes = map[string]bool{}
	m.save(nil)
	m.voteSequence = m.issuedSequence
	m.requestVotes(Vote, m.state.Term)
}

func (m *Model) onVote(msg Message) {
	canVote := m.state.Vote == "" && m.leader == "" || m.state.Vote == msg.From
	if !canVote || !m.upToDate(msg) {
		m.send(Message{Kind: VoteResponse, To: msg.From, Reject: true})
		return
	}
	if m.state.Vote != msg.From {
		m.state.Vote = msg.From
		m.stateChanged = true
	}
	m.resetElectionTimer()
	m.send(Message{Kind: VoteResponse, To: msg.From})
}

func (m *Model) countVote(id string, granted bool) {
	m.votes[id] = granted
	if m.membership().isQuorum(m.grantedVotes()) {
		m.becomeLeader()
	}
}
