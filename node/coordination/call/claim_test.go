package call_test

import (
	"strconv"

	"pollenhill.example/node/coordination/call"
)

// claim is one key in the store; its owner is a call.
type claim struct {
	owner string
	done  bool
}

func (e *entry) owner(id call.ID) string { return e.name + "/" + strconv.Itoa(int(id)) }

// claim asks the store until the deadline; an answer can be lost although the claim was granted.
func (e *entry) claim(id call.ID) {
	r := e.req(id)
	if e.s.chance(10, "no quorum") {
		e.s.later(func() { e.update(call.Claimed{Call: id, Verdict: call.ClaimFailed}) })
		return
	}
	e.s.later(func() {
		verdict := e.s.decide(r.key, e.owner(id))
		if e.s.chance(10, "claim answer lost") {
			verdict = call.ClaimFailed
		}
		if verdict == call.Held && e.s.now.Before(r.deadline) {
			e.s.at(e.s.now.Add(call.CancelGrace), func() { e.claim(id) })
			return
		}
		e.s.later(func() {
			e.update(call.Claimed{Call: id, Verdict: verdict})
			if verdict == call.AlreadyDone && r.answers == 0 {
				r.answers++
			}
		})
	})
}

func (s *sim) decide(key, owner string) call.Verdict {
	c, ok := s.claims[key]
	switch {
	case !ok:
		s.claims[key] = &claim{owner: owner}
	case c.done:
		return call.AlreadyDone
	case c.owner != owner:
		return call.Held
	}
	return call.Granted
}

func (e *entry) release(id call.ID) {
	r := e.req(id)
	e.s.later(func() {
		if c, ok := e.s.claims[r.key]; ok && c.owner == e.owner(id) && !c.done {
			delete(e.s.claims, r.key)
		}
	})
}

func (e *entry) finish(id call.ID) {
	r := e.req(id)
	if e.s.chance(10, "finish lost") {
		return
	}
	e.s.later(func() {
		if c, ok := e.s.claims[r.key]; ok && c.owner == e.owner(id) {
			c.done = true
		}
	})
}
