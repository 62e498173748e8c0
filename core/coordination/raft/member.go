package raft

import (
	"time"

	"pollenhill.example/core/state/wal"
)

// members returns the newest membership in the log, which counts from the moment it is there.
func (m *Model) members() Membership { return m.sets[len(m.sets)-1].set }

// noteMembers takes the membership of an entry that has just been added to the log.
func (m *Model) noteMembers(e wal.Entry) error {
	if e.Kind != EntryMembership {
		return nil
	}
	set, _, err := DecodeMembership(e.Data)
	if err != nil {
		return err
	}
	m.sets = append(m.sets, membershipAt{e.Index, set})
	return nil
}

// alterable returns whether the last membership and an entry of this term are committed. Without either,
// two quorums that do not meet could be in force at once.
func (m *Model) alterable() bool {
	term, _ := m.log.term(m.commit)
	return m.role == Leader && m.sets[len(m.sets)-1].index <= m.commit && term == m.state.Term
}

func (m *Model) alter(msg ChangeMembership) {
	set := m.members()
	next := set.with(msg.Member)
	if msg.Remove {
		next = set.drop(msg.Member)
	}
	switch {
	case m.role != Leader:
		m.emit(Rejected{msg.Token, NotLeader})
	case set.has(msg.Member) != msg.Remove || len(next.Voters) == 0:
		m.emit(Rejected{msg.Token, InvalidMembershipChange})
	case !m.alterable():
		m.emit(Rejected{msg.Token, Busy})
	default:
		m.emit(Proposed{msg.Token, m.log.last() + 1, m.state.Term})
		m.setMembers(next, msg.Command)
	}
}

func (m *Model) setMembers(set Membership, command []byte) {
	m.sets = append(m.sets, membershipAt{m.log.last() + 1, set})
	m.append(wal.Entry{Kind: EntryMembership, Data: set.encode(command)})
	m.syncPeers()
	m.replicate()
}

// promote makes a voter of one learner that has synced everything committed and is in contact, while there is room for
// one. A learner that takes the place of a silent voter becomes one before that voter leaves: with the order reversed,
// the loss of a disk in between could leave a group that no member can lead any more.
func (m *Model) promote() {
	set := m.members()
	if !m.alterable() || m.cfg.MaxVoters > 0 && len(set.Voters) >= m.cfg.MaxVoters && !m.lacks(m.now) {
		return
	}
	for _, id := range set.Learners {
		if m.whole(id) {
			m.setMembers(set.promote(id), nil)
			return
		}
	}
}

// lacks returns whether a group with just enough voters has a silent one.
func (m *Model) lacks(now time.Time) bool {
	_, silent := m.lost(now)
	return silent && len(m.members().Voters) == m.cfg.MaxVoters
}

// whole returns whether another member has synced everything committed and is in contact.
func (m *Model) whole(id string) bool {
	p := m.lead.peers[id]
	return p != nil && p.match >= m.commit && m.now.Before(p.contact.Add(m.cfg.ElectionTimeout))
}

// UnresponsiveVoterTimeout is how long a voter may be silent before a learner that is whole takes its place: losses of a moment must
// not change the members, and a replaced member must stop counting before the next one is lost.
const UnresponsiveVoterTimeout = 3 * time.Second

// VoterToRemove returns a voter that has been silent for Retire and whose place another one has taken; only a leader whose
// membership may be altered knows one.
func (m *Model) VoterToRemove(now time.Time) (id string, ok bool) {
	if m.cfg.MaxVoters == 0 || len(m.members().Voters) <= m.cfg.MaxVoters || !m.alterable() {
		return "", false
	}
	return m.lost(now)
}

// lost returns the voter that has been silent for Retire, if all others are in contact and have synced everything.
func (m *Model) lost(now time.Time) (id string, ok bool) {
	for _, voter := range m.members().Voters {
		switch {
		case voter == m.cfg.ID || m.whole(voter):
		case id != "" || !m.silent(now, voter):
			return "", false
		default:
			id = voter
		}
	}
	return id, id != ""
}

// silent returns whether nothing was heard of a member for Retire.
func (m *Model) silent(now time.Time, id string) bool {
	heard := m.lead.since
	if p := m.lead.peers[id]; p != nil && p.contact.After(heard) {
		heard = p.contact
	}
	return !now.Before(heard.Add(UnresponsiveVoterTimeout))
}

// View is a copy of the state for status and tests.
type View struct {
	Role          Role
	Term          uint64
	Vote          string
	Leader        string
	LastIndex     uint64
	Commit        uint64
	Applied       uint64
	SnapshotIndex uint64 // index of the last snapshot
	HasQuorum     bool   // leader with a quorum, or heard one, within the election timeout
	Membership    Membership
}

// View returns the state at the given time.
func (m *Model) View(now time.Time) View {
	if now.After(m.now) {
		m.now = now
	}
	return View{
		Role: m.role, Term: m.state.Term, Vote: m.state.Vote, Leader: m.leader, LastIndex: m.log.last(),
		Commit: m.commit, Applied: m.applied, SnapshotIndex: m.snapshot.Index, HasQuorum: m.current(), Membership: m.members(),
	}
}

func (m *Model) current() bool {
	if m.role == Leader {
		return m.inContact(time.Time{})
	}
	return m.leader != "" && m.now.Before(m.currentAt.Add(m.cfg.ElectionTimeout))
}
