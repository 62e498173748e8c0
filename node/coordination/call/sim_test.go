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

// sim runs entry nodes, destination nodes, back ends and a claim store in virtual time. Every delay and fault is drawn
// from t, so that a failing schedule can be shrunk and repeated.
type sim struct {
	t        *rapid.T
	now      time.Time
	events   events
	entries  []*entryNode
	dests    []*destNode
	claims   map[string]*claim
	runs     map[string]int // number of runs at back ends, by request name
	requests map[requestID]*request
}

type requestID struct {
	entry string
	id    call.ID
}

// request is one call and the answer that its caller received.
type request struct {
	name       string // requests with the same key have the same name
	key        string
	idempotent bool
	deadline   time.Time
	outcome    attempt.Outcome
	answers    int
	callerGone bool
	forgotten  bool
	runsBefore int // number of runs under its name when it was refused
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
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

func (s *sim) at(t time.Time, run func()) {
	sequence++
	heap.Push(&s.events, event{at: t, sequence: sequence, run: run})
}

// later schedules run after a random delay, which is mostly short and sometimes longer than a deadline.
func (s *sim) later(run func()) {
	ms := rapid.SampledFrom([]int{0, 1, 2, 5, 10, 30, 90, 250}).Draw(s.t, "delay")
	s.at(s.now.Add(time.Duration(ms)*time.Millisecond), run)
}

// chance draws true with a probability of about 1/n.
func (s *sim) chance(n int, what string) bool {
	return rapid.IntRange(0, n-1).Draw(s.t, what) == n-1
}

func (s *sim) run(maxEvents int) {
	for i := 0; s.events.Len() > 0; i++ {
		if i > maxEvents {
			s.t.Fatalf("more than %d events: the protocol does not terminate", maxEvents)
		}
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

var rules = &rule.Set{Services: map[string]rule.Service{
	"desk": {Name: "desk", Slots: 2, QueueLength: 2, RetryRatio: 1, HedgeRatio: 1, HedgeQuantile: 0.5, Deadline: time.Second},
}}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: epoch, claims: map[string]*claim{}, runs: map[string]int{}, requests: map[requestID]*request{}}
	for i := range 3 {
		s.dests = append(s.dests, newDestNode(s, "d"+strconv.Itoa(i)))
	}
	for i := range 2 {
		s.entries = append(s.entries, newEntryNode(s, "e"+strconv.Itoa(i)))
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

// entryNode is an entry node: a call.Model and a simulation of the effects that node/transport/caller carries out.
type entryNode struct {
	s      *sim
	name   string
	model  *call.Model
	next   call.ID
	conns  map[attempt.ID]*conn
	timers map[call.ID]int // number of SetTimer effects; only the newest timer fires
}

// conn is the connection of one attempt.
type conn struct {
	call      call.ID
	dest      *destNode
	process   int  // number of the destination process that it leads to
	responded bool // the model got its Response
	bodyOpen  bool // the response body is being read
	closed    bool // by the entry node
}

func newEntryNode(s *sim, name string) *entryNode {
	e := &entryNode{s: s, name: name, conns: map[attempt.ID]*conn{}, timers: map[call.ID]int{}}
	e.model = call.New(call.Config{
		Node: name, Incarnation: 1,
		Balancer: balancer.New(balancer.Config{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(s.t, "choice seed"), 0))}),
	})
	e.model.SetRules(s.now, rules)
	e.model.SetTargets(s.now, s.targets())
	e.learnLatencies()
	return e
}

// learnLatencies gives the model enough latency samples to hedge.
func (e *entryNode) learnLatencies() {
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

func (e *entryNode) start(r *request) call.ID {
	e.next++
	id := e.next
	e.s.requests[requestID{e.name, id}] = r
	e.update(call.Begin{Call: id, Service: "desk", Idempotent: r.idempotent, Keyed: r.key != "", Deadline: r.deadline})
	return id
}

func (e *entryNode) update(msg call.Msg) {
	for _, cmd := range e.model.Update(e.s.now, msg) {
		e.handleEffect(cmd)
	}
}

func (e *entryNode) request(id call.ID) *request { return e.s.requests[requestID{e.name, id}] }

func (e *entryNode) handleEffect(cmd call.Cmd) {
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
		e.cancel(cmd.Attempt)
	case call.SetTimer:
		e.timers[cmd.Call]++
		timer := e.timers[cmd.Call]
		e.s.at(cmd.At, func() {
			if e.timers[cmd.Call] == timer {
				e.update(call.TimerFired{Call: cmd.Call})
			}
		})
	case call.Deliver:
		e.deliver(cmd)
	case call.Refuse:
		r := e.request(cmd.Call)
		r.answers++
		r.outcome = cmd.Refusal.Outcome
		r.runsBefore = e.s.runs[r.name]
	case call.Forget:
		e.request(cmd.Call).forgotten = true
	}
}

func (e *entryNode) deliver(cmd call.Deliver) {
	r, c := e.request(cmd.Call), e.conns[cmd.Attempt]
	r.answers++
	r.outcome = attempt.Answered
	if r.key != "" {
		e.finish(cmd.Call)
	}
	e.s.later(func() {
		if c.bodyOpen {
			c.bodyOpen = false
			e.update(call.Ended{Attempt: cmd.Attempt})
		}
	})
}

// send sends one attempt over a connection that can fail at any point.
func (e *entryNode) send(cmd call.Send) {
	d := e.s.dests[slices.IndexFunc(e.s.dests, func(d *destNode) bool { return d.name == cmd.Target.Node })]
	c := &conn{call: cmd.Call, dest: d, process: d.process}
	e.conns[cmd.Attempt] = c
	if e.s.chance(10, "connection refused") {
		e.s.later(func() { e.respond(cmd.Attempt, attempt.NotRun, refusal.ConnectionBroken, false) })
		return
	}
	if e.s.chance(10, "request lost") {
		e.s.later(func() { e.respond(cmd.Attempt, attempt.Unknown, refusal.ConnectionBroken, false) })
		return
	}
	req := e.request(cmd.Call)
	arrive := func() {
		if d.process != c.process {
			e.respond(cmd.Attempt, attempt.Unknown, refusal.ConnectionBroken, false)
			return
		}
		d.arrive(e, cmd, c, req)
	}
	e.s.later(arrive)
	if e.s.chance(10, "duplicated") {
		e.s.later(arrive)
	}
	if e.s.chance(10, "connection broken") {
		e.s.later(func() {
			e.respond(cmd.Attempt, attempt.Unknown, refusal.ConnectionBroken, false)
			e.connectionLost(cmd.Attempt, c)
		})
	}
}

// respond passes the response or failure of an attempt to the model; only the first one of a connection counts.
func (e *entryNode) respond(id attempt.ID, outcome attempt.Outcome, reason refusal.Reason, deliverable bool) {
	c := e.conns[id]
	if c.responded {
		return
	}
	c.responded = true
	c.bodyOpen = outcome == attempt.Answered && !c.closed
	if c.closed && outcome == attempt.Answered {
		outcome, deliverable = attempt.Unknown, false
	}
	e.update(call.Response{Attempt: id, Outcome: outcome, Deliverable: deliverable, Refusal: refusal.Refusal{Reason: reason}})
}

func (e *entryNode) abort(id attempt.ID) {
	c := e.conns[id]
	if c.closed {
		return
	}
	c.closed = true
	e.connectionLost(id, c)
	e.s.at(e.s.now, func() {
		e.respond(id, attempt.Unknown, refusal.Cancelled, false)
		if c.bodyOpen {
			c.bodyOpen = false
			e.update(call.Ended{Attempt: id, Result: balancer.Cancelled})
		}
	})
}

// connectionLost reports the loss of the connection to the destination, unless it goes unnoticed there.
func (e *entryNode) connectionLost(id attempt.ID, c *conn) {
	if e.s.chance(4, "connection loss unnoticed") {
		return
	}
	e.s.later(func() {
		if c.dest.process == c.process {
			c.dest.update(destination.ConnectionLost{ID: id})
		}
	})
}

func (e *entryNode) cancel(id attempt.ID) {
	c := e.conns[id]
	answer := func(notRun bool) {
		e.s.later(func() { e.update(call.CancelResult{Attempt: id, NotRun: notRun}) })
	}
	if e.s.chance(5, "cancel lost") {
		answer(false)
		return
	}
	e.s.later(func() { c.dest.cancel(id, c, answer) })
}
