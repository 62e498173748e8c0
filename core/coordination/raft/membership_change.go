package raft

import (
	"time"

	"pollenhill.example/core/state/wal"
)

// membership returns the newest membership in the log. It takes effect when it is appended, before it is committed.
func (m *Model) membership() Membership { return m.memberships[len(m.memberships)-1].membership }

// recordMembership records the membership of an entry that was just appended to the log, if it has one.
func (m *Model) recordMembership(e wal.Entry) error {
	if e.Kind != EntryMembership {
		return nil
	}
	members, _, err := DecodeMembership(e.Data)
	if err != nil {
		return err
	}
	m.memberships = append(m.memberships, logMembership{e.Index, members})
	return nil
}

// canChangeMembership reports whether this member leads and both the last membership change and an entry of its term are
// committed. Without either, two quorums that don't overlap could be in force at once.
func (m *Model) canChangeMembership() bool {
	return m.role == Leader && m.memberships[len(m.memberships)-1].index <= m.commitIndex && m.isOfThisTerm(m.commitIndex)
}

func (m *Model) changeMembership(msg ChangeMembership) {
	members := m.membership()
	next := members.withLearner(msg.Member)
	if msg.Remove {
		next = members.without(msg.Member)
	}
	switch {
	case m.role != Leader:
		m.emit(Rejected{msg.Token, NotLeader})
	case members.contains(msg.Member) != msg.Remove || len(next.Voters) == 0:
		m.emit(Rejected{msg.Token, InvalidMembershipChange})
	case !m.canChangeMembership():
		m.emit(Rejected{msg.Token, Busy})
	default:
		m.emit(Proposed{msg.Token, m.log.lastIndex() + 1, m.state.Term})
		m.appendMembership(next, msg.Command)
	}
}

func (m *Model) appendMembership(members Membership, command []byte) {
	m.memberships = append(m.memberships, logMembership{m.log.lastIndex() + 1, members})
	m.appendEntries(wal.Entry{Kind: EntryMembership, Data: members.encode(command)})
	m.updatePeers()
	m.replicate()
}

// promoteLearner promotes one caught-up learner to voter if the group has fewer than MaxVoters voters (0 is no limit), or
// exactly MaxVoters of which one is unresponsive. The replacement is promoted before the unresponsive voter is removed: in
// the reverse order, a disk lost in between could leave a group in which no member can be elected.
func (m *Model) promoteLearner() {
	members := m.membership()
	if !m.canChangeMembership() || m.cfg.MaxVoters > 0 && len(members.Voters) >= m.cfg.MaxVoters && !m.needsReplacementVoter(m.now) {
		return
	}
	for _, id := range members.Learners {
		if m.isCaughtUp(id) {
			m.appendMembership(members.withPromoted(id), nil)
			return
		}
	}
}

// needsReplacementVoter reports whether the group has exactly MaxVoters voters and one of them is unresponsive.
func (m *Model) needsReplacementVoter(now time.Time) bool {
	_, ok := m.unresponsiveVoter(now)
	return ok && len(m.membership().Voters) == m.cfg.MaxVoters
}

// isCaughtUp reports whether another member has everything committed on disk and acknowledged a heartbeat that was sent
// within the election timeout.
func (m *Model) isCaughtUp(id string) bool {
	p := m.leaderState.peers[id]
	return p != nil && p.matchIndex >= m.commitIndex && m.now.Before(p.ackedRoundSentAt.Add(m.cfg.ElectionTimeout))
}

// UnresponsiveVoterTimeout is how long a voter may go without acknowledging a heartbeat before a caught-up learner
// replaces it. It is long enough that brief outages don't change the membership, and short enough that a replaced voter
// stops counting towards the quorum before the next one is lost.
const UnresponsiveVoterTimeout = 3 * time.Second

// VoterToRemove returns an unresponsive voter whose replacement has already been promoted. It returns ok only on a leader
// that can change the membership.
func (m *Model) VoterToRemove(now time.Time) (id string, ok bool) {
	if m.cfg.MaxVoters == 0 || len(m.membership().Voters) <= m.cfg.MaxVoters || !m.canChangeMembership() {
		return "", false
	}
	return m.unresponsiveVoter(now)
}

// unresponsiveVoter returns the only voter that is unresponsive, provided that all other voters are caught up.
func (m *Model) unresponsiveVoter(now time.Time) (id string, ok bool) {
	for _, voter := range m.membership().Voters {
		switch {
		case voter == m.cfg.ID || m.isCaughtUp(voter):
		case id != "" || !m.isUnresponsive(now, voter):
			return "", false
		default:
			id = voter
		}
	}
	return id, id != ""
}

// isUnresponsive reports whether a member has acknowledged no heartbeat for UnresponsiveVoterTimeout. A new leader counts
// every member as heard at its election.
func (m *Model) isUnresponsive(now time.Time, id string) bool {
	lastContact := m.leaderState.electedAt
	if p := m.leaderState.peers[id]; p != nil && p.ackedRoundSentAt.After(lastContact) {
		lastContact = p.ackedRoundSentAt
	}
	return !now.Before(lastContact.Add(UnresponsiveVoterTimeout))
}
