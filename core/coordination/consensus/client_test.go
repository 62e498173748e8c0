package consensus_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/state/replica"
)

const (
	operationTimeout = 1500 * time.Millisecond
	keyCount         = 3
)

// client issues one operation after the other to varying VMs and records them in the history.
type client struct {
	s            *sim
	id           int
	endAt        time.Time
	issuedCount  int
	target       *vm
	newestChange uint64     // newest change number seen
	uncertain    *operation // change or claim with unknown outcome, which may be sent again
	history      *history
}

// history records the completed operations on the rules and on each key.
type history struct {
	rules       []porcupine.Operation
	claims      map[string][]porcupine.Operation
	outstanding int
	owners      map[string]string // by key: attempt that was granted it and has not released it
}

func newHistory() *history {
	return &history{claims: map[string][]porcupine.Operation{}, owners: map[string]string{}}
}

func (h *history) add(key string, op porcupine.Operation) {
	if key == "" {
		h.rules = append(h.rules, op)
		return
	}
	h.claims[key] = append(h.claims[key], op)
}

// scheduleNext issues the next operation after a random delay.
func (c *client) scheduleNext() {
	if c.s.now.After(c.endAt) {
		return
	}
	c.s.after(time.Duration(c.s.r.IntN(250))*time.Millisecond, func() {
		c.issuedCount++
		c.issue(c.chooseOperation())
	})
}

func (c *client) chooseOperation() operation {
	r := c.s.r
	if c.uncertain != nil && r.IntN(2) == 0 {
		in := *c.uncertain
		c.uncertain = nil
		return in
	}
	key := fmt.Sprintf("k%d", r.IntN(keyCount))
	attempt := fmt.Sprintf("a%d.%d", c.id, c.issuedCount)
	switch r.IntN(8) {
	case 0, 1:
		return operation{}
	case 2, 3, 4:
		number := c.newestChange + 1
		if r.IntN(8) == 0 {
			number += uint64(r.IntN(3))
		}
		return operation{kind: replica.CommandChangeRules, number: number, text: attempt}
	case 5:
		return operation{kind: replica.CommandFinishClaim, key: key, attempt: c.s.ownerOrUnknown(c, key)}
	case 6:
		if c.s.r.IntN(2) == 0 {
			return operation{kind: replica.CommandReleaseClaim, key: key, attempt: c.s.ownerOrUnknown(c, key)}
		}
	}
	return operation{kind: replica.CommandClaim, key: key, attempt: attempt}
}

// ownerOrUnknown returns the attempt that owns a key according to the history, or one that was never granted it.
func (s *sim) ownerOrUnknown(c *client, key string) string {
	if owner := c.history.owners[key]; owner != "" {
		return owner
	}
	return fmt.Sprintf("x%d.%d", c.id, c.issuedCount)
}

func (in operation) command(now time.Time) replica.Command {
	return replica.Command{
		Kind: in.kind, ProposedAt: now, ChangeNumber: in.number, Text: in.text, Origin: "c1",
		Service: "booking", IdempotencyKey: in.key, AttemptID: in.attempt, Response: replica.Response{Status: 201, Body: []byte(in.attempt)},
	}
}

func (c *client) issue(in operation) {
	s := c.s
	if c.target == nil || c.target.process == nil || s.r.IntN(3) == 0 {
		c.target = s.vms[s.r.IntN(len(s.vms))]
	}
	v, called, finished := c.target, s.now, false
	c.history.outstanding++
	if in.kind == replica.CommandReleaseClaim {
		c.history.owners[in.key] = "" // from the request on, the key may be granted to another attempt
	}
	end := func(out observation, ran bool) {
		if finished {
			return
		}
		finished = true
		c.history.outstanding--
		c.record(in, out, called, ran)
		c.scheduleNext()
	}
	s.after(operationTimeout, func() { end(observation{unknown: true}, true) })
	up := s.call(v, func(token uint64) consensus.Input {
		if in.kind == replica.CommandNone {
			return consensus.Read{Token: token}
		}
		return consensus.Propose{Token: token, Command: in.command(s.now)}
	}, func(o consensus.Outcome) { end(c.observe(v, in, o)) })
	if !up {
		end(observation{}, false)
	}
}

// observe converts an outcome into what the client observed. It returns false if the operation was not executed.
func (c *client) observe(v *vm, in operation, o consensus.Outcome) (observation, bool) {
	var redirect *consensus.NotLeaderError
	switch {
	case errors.As(o.Err, &redirect):
		c.target = c.s.vm(redirect.Leader)
		return observation{}, false
	case errors.Is(o.Err, consensus.ErrOutcomeUnknown):
		return observation{unknown: true}, true
	case o.Err != nil:
		return observation{}, false
	case in.kind == replica.CommandNone:
		rules := v.process.Replica().Rules()
		return observation{number: rules.ChangeNumber, text: rules.Text}, true
	}
	return observation{verdict: o.Result.Verdict, number: o.Result.Change.Number, answer: string(o.Result.Response.Body)}, true
}

func (c *client) record(in operation, out observation, called time.Time, ran bool) {
	if !ran || in.kind == replica.CommandNone && out.unknown {
		return
	}
	c.newestChange = max(c.newestChange, out.number)
	returned := c.s.now
	if out.unknown {
		c.uncertain = &in
		returned = c.s.started.Add(time.Hour)
	}
	c.history.add(in.key, porcupine.Operation{
		ClientId: c.id, Input: in, Output: out,
		Call: called.UnixNano(), Return: returned.UnixNano(),
	})
	c.checkGrant(in, out)
}

// checkGrant fails the simulation if a key is granted to two attempts without a release in between.
func (c *client) checkGrant(in operation, out observation) {
	if in.kind != replica.CommandClaim || out.verdict != replica.VerdictGranted || out.unknown {
		return
	}
	owners := c.history.owners
	if other := owners[in.key]; other != "" && other != in.attempt {
		c.s.fail("key %s is granted to %s and %s", in.key, other, in.attempt)
	}
	owners[in.key] = in.attempt
}
