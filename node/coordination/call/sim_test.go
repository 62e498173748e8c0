package call_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/coordination/destination"
)

var epoch = time.Unix(1_000_000, 0)

// sim runs entry nodes, destination nodes, back ends and a claim store in virtual time.
// Every delay and fault is drawn from t, so that a failing schedule shrinks and repeats.
type sim struct {
	t       *rapid.T
	now     time.Time
	events  events
	entries []*entry
	dests   []*dest
	claims  map[string]*claim
	runs    map[string]int // executions at back ends, by request
	reqs    map[reqKey]*request
}

type reqKey struct {
	entry string
	id    call.ID
}

// request is one call and what its caller was told.
type request struct {
	name      string // requests with the same key have the same name
	key       string
	idem      bool
	deadline  time.Time
	outcome   attempt.Outcome
	answers   int
	gone      bool
	forgotten bool
	ranBefore int // runs under its name when it was refused
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

var sequence int

func (s *sim) at(t time.Time, do func()) {
	sequence++
	heap.Push(&s.events, event{at: t, seq: sequence, do: do})
}

// later runs do after a drawn delay; mostly short, sometimes longer than a deadline.
func (s *sim) later(do func()) {
	ms := rapid.SampledFrom([]int{0, 1, 2, 5, 10, 30, 90, 250}).Draw(s.t, "delay")
	s.at(s.now.Add(time.Duration(ms)*time.Millisecond), do)
}

// chance is true about once in n draws.
func (s *sim) chance(n int, what string) bool {
	return rapid.IntRange(0, n-1).Draw(s.t, what) == n-1
}

func (s *sim) run(bound int) {
	for i := 0; s.events.Len() > 0; i++ {
		if i > bound {
			s.t.Fatalf("more than %d events: the protocol does not come to rest", bound)
		}
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

var rules = &rule.Set{Services: map[string]rule.Service{
	"desk": {Name: "desk", Slots: 2, QueueLength: 2, RetryRatio: 1, HedgeRatio: 1, HedgeQuantile: 0.5, Deadline: time.Second},
}}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: epoch, claims: map[string]*claim{}, runs: map[string]int{}, reqs: map[reqKey]*request{}}
	for i := range 3 {
		s.dests = append(s.dests, newDest(s, "d"+strconv.Itoa(i)))
	}
	for i := range 2 {
		s.entries = append(s.entries, newEntry(s, "e"+strconv.Itoa(i)))
	}
	return s
}

func (s *sim) targets() []balancer.Target {
	var targets []balancer.Target
	for _, d := range s.dests {
		targets = append(targets, balancer.Target{
			Backend: "b" + d.name, Service: "desk", Node: d.name, Incarnation: d.incarnation, Slots: 2, State: admission.Ready,
		})
	}
	return targets
}

// entry is an entry node: call.Model and the effects that node/transport/caller carries out.
type entry struct {
	s     *sim
	name  string
	model *call.Model
	next  call.ID
	conns map[attempt.ID]*conn
	wakes map[call.ID]int
}

// conn is the connection of one attempt.
type conn struct {
	call   call.ID
	dest   *dest
	epoch  int // of the destination process that it leads to
	told   bool
	open   bool // its body is being read
	closed bool
}

func newEntry(s *sim, name string) *entry {
	e := &entry{s: s, name: name, conns: map[attempt.ID]*conn{}, wakes: map[call.ID]int{}}
	e.model = call.New(call.Config{
		Node: name, Incarnation: 1,
		Choice: balancer.New(balancer.Config{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(s.t, "choice seed"), 0))}),
	})
	e.model.SetRules(s.now, rules)
	e.model.SetTargets(s.now, s.targets())
	e.warm()
	return e
}

// warm teaches the model latencies, so that it hedges.
func (e *entry) warm() {
	for range 60 {
		e.next++
		id := e.next
		for _, cmd := range e.model.Update(e.s.now, call.Begin{Call: id, Service: "desk", Idempotent: true, Deadline: epoch.Add(time.Hour)}) {
			if send, ok := cmd.(call.Send); ok {
				e.model.Update(e.s.now.Add(20*time.Millisecond), call.Response{Attempt: send.Attempt, Outcome: attempt.Answered, Deliverable: true})
				e.model.Update(e.s.now.Add(20*time.Millisecond), call.Ended{Attempt: send.Attempt})
			}
		}
	}
}

func (e *entry) start(r *request) call.ID {
	e.next++
	id := e.next
	e.s.reqs[reqKey{e.name, id}] = r
	e.update(call.Begin{Call: id, Service: "desk", Idempotent: r.idem, Keyed: r.key != "", Deadline: r.deadline})
	return id
}

func (e *entry) update(msg call.Msg) {
	for _, cmd := range e.model.Update(e.s.now, msg) {
		e.effect(cmd)
	}
}

func (e *entry) req(id call.ID) *request { return e.s.reqs[reqKey{e.name, id}] }

func (e *entry) effect(cmd call.Cmd) {
	switch cmd := cmd.(type) {
	case call.Claim:
		e.claim(cmd.Call)
	case call.Release:
		e.release(cmd.Call)
	case call.Send:
		e.send(cmd)
	case call.Abort:
		e.abort(cmd.Attempt)
	case call.Cancel:
		e.ask(cmd.Attempt)
	case call.SetTimer:
		e.wakes[cmd.Call]++
		turn := e.wakes[cmd.Call]
		e.s.at(cmd.At, func() {
			if e.wakes[cmd.Call] == turn {
				e.update(call.TimerFired{Call: cmd.Call})
			}
		})
	case call.Deliver:
		e.deliver(cmd)
	case call.Refuse:
		r := e.req(cmd.Call)
		r.answers++
		r.outcome = cmd.Refusal.Outcome
		r.ranBefore = e.s.runs[r.name]
	case call.Forget:
		e.req(cmd.Call).forgotten = true
	}
}

func (e *entry) deliver(cmd call.Deliver) {
	r, c := e.req(cmd.Call), e.conns[cmd.Attempt]
	r.answers++
	r.outcome = attempt.Answered
	if r.key != "" {
		e.finish(cmd.Call)
	}
	e.s.later(func() {
		if c.open {
			c.open = false
			e.update(call.Ended{Attempt: cmd.Attempt})
		}
	})
}

// send makes one attempt over a connection that can fail at every point.
func (e *entry) send(cmd call.Send) {
	d := e.s.dests[slices.IndexFunc(e.s.dests, func(d *dest) bool { return d.name == cmd.Target.Node })]
	c := &conn{call: cmd.Call, dest: d, epoch: d.epoch}
	e.conns[cmd.Attempt] = c
	if e.s.chance(10, "not connected") {
		e.s.later(func() { e.head(cmd.Attempt, attempt.NotRun, refusal.Broken, false) })
		return
	}
	if e.s.chance(10, "lost") {
		e.s.later(func() { e.head(cmd.Attempt, attempt.Unknown, refusal.Broken, false) })
		return
	}
	req := e.req(cmd.Call)
	arrive := func() {
		if d.epoch != c.epoch {
			e.head(cmd.Attempt, attempt.Unknown, refusal.Broken, false)
			return
		}
		d.arrive(e, cmd, c, req)
	}
	e.s.later(arrive)
	if e.s.chance(10, "duplicate") {
		e.s.later(arrive)
	}
	if e.s.chance(10, "broken") {
		e.s.later(func() {
			e.head(cmd.Attempt, attempt.Unknown, refusal.Broken, false)
			e.lost(cmd.Attempt, c)
		})
	}
}

// head delivers the first news of an attempt; later news of the same connection do not exist.
func (e *entry) head(id attempt.ID, outcome attempt.Outcome, reason refusal.Reason, reply bool) {
	c := e.conns[id]
	if c.told {
		return
	}
	c.told = true
	c.open = outcome == attempt.Answered && !c.closed
	if c.closed && outcome == attempt.Answered {
		outcome, reply = attempt.Unknown, false
	}
	e.update(call.Response{Attempt: id, Outcome: outcome, Deliverable: reply, Refusal: refusal.Refusal{Reason: reason}})
}

func (e *entry) abort(id attempt.ID) {
	c := e.conns[id]
	if c.closed {
		return
	}
	c.closed = true
	e.lost(id, c)
	e.s.at(e.s.now, func() {
		e.head(id, attempt.Unknown, refusal.Cancelled, false)
		if c.open {
			c.open = false
			e.update(call.Ended{Attempt: id, Result: balancer.Cancelled})
		}
	})
}

// lost tells the destination that the connection is gone, if it hears of it at all.
func (e *entry) lost(id attempt.ID, c *conn) {
	if e.s.chance(4, "silent") {
		return
	}
	e.s.later(func() {
		if c.dest.epoch == c.epoch {
			c.dest.update(destination.ConnectionLost{ID: id})
		}
	})
}

func (e *entry) ask(id attempt.ID) {
	c := e.conns[id]
	answer := func(notRun bool) {
		e.s.later(func() { e.update(call.CancelResult{Attempt: id, NotRun: notRun}) })
	}
	if e.s.chance(5, "ask lost") {
		answer(false)
		return
	}
	e.s.later(func() { c.dest.ask(id, c, answer) })
}
