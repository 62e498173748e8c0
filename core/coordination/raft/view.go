package raft

import "time"

// View is a copy of the consensus state for status reports and tests.
type View struct {
	Role          Role
	Term          uint64
	Vote          string // member ID voted for in this term
	Leader        string // member ID, empty if unknown
	LastIndex     uint64 // last entry in the log
	Commit        uint64 // last entry known to be committed
	Applied       uint64 // last entry handed out for application
	SnapshotIndex uint64 // last entry in the newest snapshot
	HasQuorum     bool   // within the election timeout, as leader or as reported by the leader
	Current       bool   // HasQuorum, and everything is applied that was committed before the contact with the quorum began
	Missing       uint64 // index up to which a leader has committed entries that are not applied here, 0 for none
	Membership    Membership
}

// View returns the state at the given time.
func (m *Model) View(now time.Time) View {
	if now.After(m.now) {
		m.now = now
	}
	missing := uint64(0)
	if m.contactIndex > m.appliedIndex {
		missing = m.contactIndex
	}
	return View{
		Role: m.role, Term: m.state.Term, Vote: m.state.Vote, Leader: m.leader, LastIndex: m.log.lastIndex(),
		Commit: m.commitIndex, Applied: m.appliedIndex, SnapshotIndex: m.snapshot.Index,
		HasQuorum: m.hasQuorum(), Current: m.isCurrent(), Missing: missing, Membership: m.membership(),
	}
}

// isCurrent reports whether this member has contact with a quorum and has applied everything that was committed before that. A
// leader has once it has applied an entry of its term, and a follower once it has applied what its leader had committed.
func (m *Model) isCurrent() bool {
	if m.role == Leader {
		return m.hasQuorum() && m.isOfThisTerm(m.appliedIndex)
	}
	return m.hasQuorum() && m.appliedIndex >= m.contactIndex
}

func (m *Model) hasQuorum() bool {
	if m.role == Leader {
		return m.hasQuorumContact(time.Time{})
	}
	return m.leader != "" && m.now.Before(m.quorumHeardAt.Add(m.cfg.ElectionTimeout))
}
