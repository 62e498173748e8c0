package model

import (
	"time"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/state/rule"
)

// call is one request that an entry node handles, with all its attempts.
type call struct {
	sim        *simulation
	id         uint64
	start      time.Time
	deadline   time.Time
	demand     time.Duration // service time without slowdown
	priority   rule.Priority
	idempotent bool
	depth      int
	done       bool
	onEnd      func(ok bool, refusedLevel int) // of a call to the next level of a chain; refusedLevel is -1 without a refusal
	attempts   []*callAttempt
	excluded   []string // back ends that earlier attempts used
}

// end records how the call ended; later calls have no effect. refusedLevel is the level that refused, or -1.
func (c *call) end(o callEnding, refusedLevel int) {
	if c.done {
		return
	}
	c.done = true
	if c.depth == 0 {
		c.sim.result.recordEnding(c, o, c.sim.now)
	}
	if c.onEnd != nil {
		c.onEnd(o == answered, refusedLevel)
	}
}

// callAttempt is one attempt of a call at one destination node.
type callAttempt struct {
	id           attempt.ID
	call         *call
	entry        *entryNode
	destination  *destinationNode
	start        time.Time
	job          *job
	ended        bool // as seen by the entry node
	hedged       bool
	refusedLevel int   // deeper level of the chain that refused the nested call, -1 for none
	nestedCall   *call // call to the next level of the chain
}
