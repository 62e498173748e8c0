package engine

import (
	"slices"
	"time"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/replica"
)

// tickJoin asks to become a learner until the own log says so.
func (e *Engine) tickJoin(now time.Time) {
	if !e.identity.joined || now.Before(e.joinAt) || e.replica.HasLeft(e.identity.id) {
		return
	}
	set := e.model.View(now).Members
	if slices.Contains(set.Voters, e.identity.id) || slices.Contains(set.Learners, e.identity.id) {
		return
	}
	e.joinAt = now.Add(e.cfg.Election)
	me := replica.Member{ID: e.identity.id, Name: e.cfg.Name}
	for _, p := range e.cfg.Peers {
		if p.Name == e.cfg.Name {
			me.Address = p.Address
			me.Region = p.Region
		}
	}
	for _, p := range e.cfg.Peers {
		if p.Name != e.cfg.Name {
			e.post(p.Name, envelope{join: &me})
		}
	}
}

// onJoin adds a member as a learner at the leader; a follower passes the request on once, because the leader may
// have joined later than the settings of the new member were written. A member of the same name whose disk was lost leaves first:
// were it still counted, losing a second VM right after the repair would leave no quorum.
func (e *Engine) onJoin(now time.Time, m replica.Member, relayed bool) []raft.Cmd {
	view := e.model.View(now)
	if view.Role != raft.Leader {
		if !relayed && view.Leader != "" {
			e.post(NameOf(view.Leader), envelope{join: &m, relayed: true})
		}
		return nil
	}
	all := slices.Concat(view.Members.Voters, view.Members.Learners)
	if slices.Contains(all, m.ID) || NameOf(m.ID) != m.Name || e.replica.HasLeft(m.ID) {
		return nil
	}
	for _, id := range all {
		switch {
		case NameOf(id) != m.Name:
		case e.model.Heard(now, id):
			return nil // two processes have this name, and the older one lives
		default:
			return e.alter(now, 0, replica.Command{Kind: replica.Leave, Member: replica.Member{ID: id}})
		}
	}
	return e.alter(now, 0, replica.Command{Kind: replica.Join, Member: m})
}

func (e *Engine) alter(now time.Time, token uint64, c replica.Command) []raft.Cmd {
	return e.model.Update(now, raft.Alter{
		Token: e.salt + token, Member: c.Member.ID, Remove: c.Kind == replica.Leave, Data: c.Encode(),
	})
}
