package consensus

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/wal"
)

// tickJoin asks to become a learner until the own log says so.
func (e *Engine) tickJoin(now time.Time) {
	if !e.identity.joined || now.Before(e.joinAt) || e.replica.HasLeft(e.identity.id) {
		return
	}
	// Without a leader the own log may hold a membership that was never committed.
	view := e.model.View(now)
	set := view.Membership
	if view.HasQuorum && (slices.Contains(set.Voters, e.identity.id) || slices.Contains(set.Learners, e.identity.id)) {
		return
	}
	e.joinAt = now.Add(e.cfg.ElectionTimeout)
	me := replica.Member{ID: e.identity.id, Name: e.cfg.Name}
	for _, p := range e.cfg.Peers {
		if p.Name == e.cfg.Name {
			me.Address = p.Address
			me.Region = p.Region
		}
	}
	names := lo.Uniq(append(namesOf(e.cfg.Peers), e.known...))
	for _, name := range lo.Without(names, e.cfg.Name) {
		e.post(name, envelope{join: &me})
	}
}

// retire gives the place of a voter that has been silent for long to a learner: the raft model makes the learner a
// voter once the silent one has left.
func (e *Engine) retire(now time.Time) []raft.Cmd {
	id, ok := e.model.VoterToRemove(now)
	if !ok {
		return nil
	}
	return e.alter(now, 0, replica.Command{Kind: replica.Leave, Member: replica.Member{ID: id}})
}

// tell answers a member that left while it was silent and does not know it. Where operators name the members, one
// that left stays out.
func (e *Engine) tell(from string) bool {
	if e.cfg.MaxVoters == 0 || !e.replica.HasLeft(from) {
		return false
	}
	e.post(ProcessName(from), envelope{left: from})
	return true
}

// onLeft starts over under a new ID: the group has replaced this member, and the old ID never counts again.
func (e *Engine) onLeft(now time.Time, id string) error {
	if id != e.identity.id {
		return nil
	}
	if e.model != nil {
		set := e.model.View(now).Membership
		e.known = lo.Map(append(set.Voters, set.Learners...), func(id string, _ int) string { return ProcessName(id) })
	}
	e.abandon()
	e.identity = identity{id: newID(e.cfg.Name, e.cfg.Rand), joined: true}
	e.founding = nil
	e.content = wal.Content{}
	e.cfg.ReplicaLock.Lock()
	e.replica = replica.New(e.cfg.Replica)
	e.cfg.ReplicaLock.Unlock()
	return e.start(now)
}

// abandon answers everything that waits for the old log.
func (e *Engine) abandon() {
	for _, list := range e.waiting {
		for _, w := range list {
			e.done(w.token-e.salt, replica.Result{}, ErrOutcomeUnknown)
		}
	}
	for _, w := range e.reads {
		e.done(w.token-e.salt, replica.Result{}, &NotLeaderError{})
	}
	e.waiting = map[uint64][]waiter{}
	e.reads = nil
}

// onJoin adds a member as a learner at the leader; a follower passes the request on once, because the leader may
// have joined later than the settings of the new member were written. A member of the same name whose disk was lost leaves first:
// were it still counted, losing a second VM right after the repair would leave no quorum.
func (e *Engine) onJoin(now time.Time, m replica.Member, relayed bool) []raft.Cmd {
	view := e.model.View(now)
	if view.Role != raft.Leader {
		if !relayed && view.Leader != "" {
			e.post(ProcessName(view.Leader), envelope{join: &m, relayed: true})
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
			return nil // two processes have this name, and the older one lives
		default:
			return e.alter(now, 0, replica.Command{Kind: replica.Leave, Member: replica.Member{ID: id}})
		}
	}
	return e.alter(now, 0, replica.Command{Kind: replica.Join, Member: m})
}

func (e *Engine) alter(now time.Time, token uint64, c replica.Command) []raft.Cmd {
	return e.model.Update(now, raft.ChangeMembership{
		Token: e.salt + token, Member: c.Member.ID, Remove: c.Kind == replica.Leave, Command: c.Encode(),
	})
}
