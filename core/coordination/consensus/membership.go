package consensus

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/wal"
)

// requestJoin asks the peers once per election timeout to add this member as a learner, until it is a member.
func (e *Engine) requestJoin(now time.Time) {
	if !e.identity.joined || now.Before(e.nextJoinRequest) || e.replica.HasLeft(e.identity.id) {
		return
	}
	// Without a quorum the log of this member may contain a membership that was never committed.
	view := e.model.View(now)
	members := view.Membership
	if view.HasQuorum && (slices.Contains(members.Voters, e.identity.id) || slices.Contains(members.Learners, e.identity.id)) {
		return
	}
	e.nextJoinRequest = now.Add(e.cfg.ElectionTimeout)
	self := replica.Member{ID: e.identity.id, Name: e.cfg.Name}
	for _, p := range e.cfg.Peers {
		if p.Name == e.cfg.Name {
			self.Address = p.Address
			self.Region = p.Region
		}
	}
	names := lo.Uniq(append(peerNames(e.cfg.Peers), e.formerPeers...))
	for _, name := range lo.Without(names, e.cfg.Name) {
		e.enqueue(name, envelope{join: &self})
	}
}

// removeReplacedVoter removes an unresponsive voter for which the model has already promoted a learner.
func (e *Engine) removeReplacedVoter(now time.Time) []raft.Cmd {
	id, ok := e.model.VoterToRemove(now)
	if !ok {
		return nil
	}
	return e.changeMembership(now, 0, replica.Command{Kind: replica.CommandLeave, Member: replica.Member{ID: id}})
}

// notifyIfRemoved tells a member that was removed while it was unresponsive that it is no longer in the group, and returns
// whether it did so. If operators choose the members (MaxVoters is 0), a removed member stays out and gets no notification.
func (e *Engine) notifyIfRemoved(from string) bool {
	if e.cfg.MaxVoters == 0 || !e.replica.HasLeft(from) {
		return false
	}
	e.enqueue(ProcessName(from), envelope{removedID: from})
	return true
}

// onRemoved restarts this member with an empty state and a new ID, because the group has replaced it and never accepts the
// old ID again.
func (e *Engine) onRemoved(now time.Time, id string) error {
	if id != e.identity.id {
		return nil
	}
	if e.model != nil {
		members := e.model.View(now).Membership
		ids := append(members.Voters, members.Learners...)
		e.formerPeers = lo.Map(ids, func(id string, _ int) string { return ProcessName(id) })
	}
	e.failPending()
	e.identity = identity{id: newMemberID(e.cfg.Name, e.cfg.Rand), joined: true}
	e.bootstrap = nil
	e.openedContent = wal.Content{}
	e.cfg.ReplicaLock.Lock()
	e.replica = replica.New(e.cfg.Replica)
	e.cfg.ReplicaLock.Unlock()
	return e.storeIdentityAndStart(now)
}

// failPending reports the outcome of all proposals and reads that wait for the old log.
func (e *Engine) failPending() {
	for _, list := range e.pendingProposals {
		for _, r := range list {
			e.addOutcome(r.token-e.tokenOffset, replica.Result{}, ErrOutcomeUnknown)
		}
	}
	for _, r := range e.pendingReads {
		e.addOutcome(r.token-e.tokenOffset, replica.Result{}, &NotLeaderError{})
	}
	e.pendingProposals = map[uint64][]pendingRequest{}
	e.pendingReads = nil
}

// onJoin adds a member as a learner if this member leads. A follower forwards the request once, because the leader may
// have joined after the settings of the new member were written. An old member of the same name, whose disk was lost, is
// removed first: if it still counted, losing a second VM right after the repair would leave no quorum.
func (e *Engine) onJoin(now time.Time, m replica.Member, forwarded bool) []raft.Cmd {
	view := e.model.View(now)
	if view.Role != raft.Leader {
		if !forwarded && view.Leader != "" {
			e.enqueue(ProcessName(view.Leader), envelope{join: &m, forwarded: true})
		}
		return nil
	}
	all := slices.Concat(view.Membership.Voters, view.Membership.Learners)
	if slices.Contains(all, m.ID) || ProcessName(m.ID) != m.Name || e.replica.HasLeft(m.ID) {
		return nil
	}
	for _, id := range all {
		switch {
		case ProcessName(id) != m.Name:
		case e.model.Reachable(now, id):
			return nil // two processes have this name, and the older one is running
		default:
			return e.changeMembership(now, 0, replica.Command{Kind: replica.CommandLeave, Member: replica.Member{ID: id}})
		}
	}
	return e.changeMembership(now, 0, replica.Command{Kind: replica.CommandJoin, Member: m})
}

func (e *Engine) changeMembership(now time.Time, token uint64, c replica.Command) []raft.Cmd {
	return e.model.Update(now, raft.ChangeMembership{
		Token: e.tokenOffset + token, Member: c.Member.ID, Remove: c.Kind == replica.CommandLeave, Command: c.Encode(),
	})
}
