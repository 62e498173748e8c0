package call_test

import (
	"strconv"

	"pollenhill.example/node/coordination/call"
)

// claim is the state of one key in the claim store; its owner is a call.
type claim struct {
	owner string
	done  bool
}

func (e *entryNode) owner(id call.ID) string { return e.name + "/" + strconv.Itoa(int(id)) }

// claim claims the key of a call and repeats this until the deadline while another call holds it. A result can be lost
// although the claim was granted.
func (e *entryNode) claim(id call.ID) {
	r := e.request(id)
	if e.s.chance(10, "no quorum") {
		e.s.later(func() { e.update(call.Claimed{Call: id, Verdict: call.ClaimFailed}) })
		return
	}
	e.s.later(func() {
		verdict := e.s.tryClaim(r.key, e.owner(id))
		if e.s.chance(10, "claim result lost") {
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

func (s *sim) tryClaim(key, owner string) call.Verdict {
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

func (e *entryNode) release(id call.ID) {
	r := e.request(id)
	e.s.later(func() {
		if c, ok := e.s.claims[r.key]; ok && c.owner == e.owner(id) && !c.done {
			delete(e.s.claims, r.key)
		}
	})
}

func (e *entryNode) finish(id call.ID) {
	r := e.request(id)
	if e.s.chance(10, "finish lost") {
		return
	}
	e.s.later(func() {
		if c, ok := e.s.claims[r.key]; ok && c.owner == e.owner(id) {
			c.done = true
		}
	})
}
