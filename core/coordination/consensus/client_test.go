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
	callTimeout = 1500 * time.Millisecond
	keys        = 3
)

// client issues one operation after the other at changing VMs and records the history.
type client struct {
	s       *sim
	id      int
	until   time.Time
	issued  int
	at      *vm
	number  uint64 // newest change seen
	pending *input // change or claim whose outcome is unknown; it may be sent again
	history *history
}

// history holds the operations on the rules and on each key.
type history struct {
	rules  []porcupine.Operation
	claims map[string][]porcupine.Operation
	open   int
	owners map[string]string // attempt that was granted a key and did not release it
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

// begin starts the next operation after a random wait.
func (c *client) begin() {
	if c.s.now.After(c.until) {
		return
	}
	c.s.after(time.Duration(c.s.r.IntN(250))*time.Millisecond, func() {
		c.issued++
		c.issue(c.choose())
	})
}

func (c *client) choose() input {
	r := c.s.r
	if c.pending != nil && r.IntN(2) == 0 {
		in := *c.pending
		c.pending = nil
		return in
	}
	key := fmt.Sprintf("k%d", r.IntN(keys))
	attempt := fmt.Sprintf("a%d.%d", c.id, c.issued)
	switch r.IntN(8) {
	case 0, 1:
		return input{}
	case 2, 3, 4:
		number := c.number + 1
		if r.IntN(8) == 0 {
			number += uint64(r.IntN(3))
		}
		return input{kind: replica.Change, number: number, text: attempt}
	case 5:
		return input{kind: replica.Finish, key: key, attempt: c.s.historyOwner(c, key)}
	case 6:
		if c.s.r.IntN(2) == 0 {
			return input{kind: replica.Release, key: key, attempt: c.s.historyOwner(c, key)}
		}
	}
	return input{kind: replica.Claim, key: key, attempt: attempt}
}

// historyOwner returns the attempt that owns a key, as far as this client knows, or an invented one.
func (s *sim) historyOwner(c *client, key string) string {
	if owner := c.history.owners[key]; owner != "" {
		return owner
	}
	return fmt.Sprintf("x%d.%d", c.id, c.issued)
}

func (in input) command(now time.Time) replica.Command {
	return replica.Command{
		Kind: in.kind, Time: now, Number: in.number, Text: in.text, Origin: "c1",
		Service: "booking", Key: in.key, Attempt: in.attempt, Answer: replica.Answer{Status: 201, Body: []byte(in.attempt)},
	}
}

func (c *client) issue(in input) {
	s := c.s
	if c.at == nil || c.at.process == nil || s.r.IntN(3) == 0 {
		c.at = s.vms[s.r.IntN(len(s.vms))]
	}
	v, called, finished := c.at, s.now, false
	c.history.open++
	if in.kind == replica.Release {
		c.history.owners[in.key] = "" // from now on the key may be granted to another attempt
	}
	end := func(out output, ran bool) {
		if finished {
			return
		}
		finished = true
		c.history.open--
		c.record(in, out, called, ran)
		c.begin()
	}
	s.after(callTimeout, func() { end(output{unknown: true}, true) })
	up := s.call(v, func(token uint64) consensus.Input {
		if in.kind == replica.None {
			return consensus.Read{Token: token}
		}
		return consensus.Propose{Token: token, Command: in.command(s.now)}
	}, func(o consensus.Outcome) { end(c.read(v, in, o)) })
	if !up {
		end(output{}, false)
	}
}

// read turns an outcome into what the client saw; it returns false if the operation did not run.
func (c *client) read(v *vm, in input, o consensus.Outcome) (output, bool) {
	var redirect *consensus.NotLeaderError
	switch {
	case errors.As(o.Err, &redirect):
		c.at = c.s.vm(redirect.Leader)
		return output{}, false
	case errors.Is(o.Err, consensus.ErrOutcomeUnknown):
		return output{unknown: true}, true
	case o.Err != nil:
		return output{}, false
	case in.kind == replica.None:
		rules := v.process.Replica().Rules()
		return output{number: rules.Number, text: rules.Text}, true
	}
	return output{verdict: o.Result.Verdict, number: o.Result.Change.Number, answer: string(o.Result.Answer.Body)}, true
}

func (c *client) record(in input, out output, called time.Time, ran bool) {
	if !ran || in.kind == replica.None && out.unknown {
		return
	}
	c.number = max(c.number, out.number)
	returned := c.s.now
	if out.unknown {
		c.pending = &in
		returned = c.s.started.Add(time.Hour)
	}
	c.history.add(in.key, porcupine.Operation{
		ClientId: c.id, Input: in, Output: out,
		Call: called.UnixNano(), Return: returned.UnixNano(),
	})
	c.grants(in, out)
}

// grants checks that no key is granted to two attempts without a release in between.
func (c *client) grants(in input, out output) {
	if in.kind != replica.Claim || out.verdict != replica.Granted || out.unknown {
		return
	}
	owners := c.history.owners
	if other := owners[in.key]; other != "" && other != in.attempt {
		c.s.fail("key %s is granted to %s and %s", in.key, other, in.attempt)
	}
	owners[in.key] = in.attempt
}
