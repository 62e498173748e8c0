package call_test

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/coordination/destination"
)

// destNode is a destination node with its back end: a destination.Model and a simulation of the effects that
// node/transport/backend carries out.
type destNode struct {
	s           *sim
	name        string
	model       *destination.Model
	process     int // number of the current process, from 1
	incarnation uint64
	attempts    map[attempt.ID]*destAttempt
	cancels     map[attempt.ID][]func(bool)
}

// destAttempt is an attempt at its destination.
type destAttempt struct {
	entry   *entryNode
	conn    *conn
	req     *request
	written bool // the request was written to the back end
	ended   bool
}

func newDestNode(s *sim, name string) *destNode {
	d := &destNode{s: s, name: name}
	d.startProcess()
	return d
}

// startProcess starts a new process without the state of the previous one.
func (d *destNode) startProcess() {
	d.process++
	d.incarnation = uint64(d.process)
	d.attempts = map[attempt.ID]*destAttempt{}
	d.cancels = map[attempt.ID][]func(bool){}
	d.model = destination.New(destination.Config{Incarnation: d.incarnation})
	d.model.Update(d.s.now, destination.Rules{Set: rules})
	d.model.Update(d.s.now, destination.Backend{Name: "b" + d.name, Service: "desk", State: admission.Ready})
}

// restart breaks every connection; requests that were written to the back end may still run.
func (d *destNode) restart() {
	old := d.attempts
	d.startProcess()
	for id, a := range old {
		a.ended = true
		d.s.later(func() { a.entry.respond(id, attempt.Unknown, refusal.ConnectionBroken, false) })
	}
	for _, e := range d.s.entries {
		d.s.later(func() { e.model.SetTargets(d.s.now, d.s.targets()) })
	}
}

func (d *destNode) update(msg destination.Msg) {
	for _, cmd := range d.model.Update(d.s.now, msg) {
		d.handleEffect(cmd)
	}
}

func (d *destNode) arrive(e *entryNode, cmd call.Send, c *conn, req *request) {
	a := &destAttempt{entry: e, conn: c, req: req}
	msg := destination.Arrive{ID: cmd.Attempt, Incarnation: cmd.Target.Incarnation, Service: "desk", Deadline: req.deadline}
	_, duplicate := d.attempts[cmd.Attempt]
	if !duplicate {
		d.attempts[cmd.Attempt] = a
		d.update(msg)
		return
	}
	// The refusal of a duplicate is sent on the connection of the duplicate.
	for _, cmd := range d.model.Update(d.s.now, msg) {
		if r, ok := cmd.(destination.Refuse); ok && r.ID == msg.ID && r.Outcome == attempt.Unknown {
			d.reply(a, r.ID, r.Outcome, r.Reason)
			continue
		}
		d.handleEffect(cmd)
	}
}

func (d *destNode) reply(a *destAttempt, id attempt.ID, outcome attempt.Outcome, reason refusal.Reason) {
	lost := d.s.chance(8, "response lost")
	d.s.later(func() {
		if lost {
			a.entry.respond(id, attempt.Unknown, refusal.ConnectionBroken, false)
			return
		}
		a.entry.respond(id, outcome, reason, true)
	})
}

func (d *destNode) handleEffect(cmd destination.Cmd) {
	switch cmd := cmd.(type) {
	case destination.Refuse:
		d.end(d.attempts[cmd.ID], cmd.ID, cmd.Outcome, cmd.Reason)
	case destination.Start:
		d.start(cmd.ID, d.attempts[cmd.ID])
	case destination.Abort:
		d.abort(cmd.ID, d.attempts[cmd.ID])
	case destination.CancelResult:
		for _, answer := range d.cancels[cmd.ID] {
			answer(cmd.Outcome == destination.NotRun)
		}
		delete(d.cancels, cmd.ID)
	}
}

func (d *destNode) end(a *destAttempt, id attempt.ID, outcome attempt.Outcome, reason refusal.Reason) {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	d.reply(a, id, outcome, reason)
}

// start waits for a connection to the back end and writes the request.
func (d *destNode) start(id attempt.ID, a *destAttempt) {
	process := d.process
	d.s.later(func() {
		if a.ended || d.process != process {
			return
		}
		if d.s.chance(10, "back end refuses the connection") {
			d.finish(id, a, attempt.NotRun, refusal.NoBackend, admission.Reset)
			return
		}
		a.written = true
		d.execute(id, a)
	})
}

// execute simulates the back end: it may crash before or after the run, shed the request, or run it although the node has
// given up.
func (d *destNode) execute(id attempt.ID, a *destAttempt) {
	switch {
	case d.s.chance(10, "back end sheds"):
		d.s.later(func() { d.finish(id, a, attempt.NotRun, refusal.Shed, admission.Shed) })
		return
	case d.s.chance(10, "back end crashes before the run"):
		d.s.later(func() { d.finish(id, a, attempt.Unknown, refusal.ConnectionBroken, admission.Reset) })
		return
	}
	crashes := d.s.chance(10, "back end crashes after the run")
	d.s.later(func() {
		d.s.runs[a.req.name]++
		d.s.later(func() {
			if crashes {
				d.finish(id, a, attempt.Unknown, refusal.ConnectionBroken, admission.Reset)
				return
			}
			d.finish(id, a, attempt.Answered, refusal.None, admission.Good)
		})
	})
}

func (d *destNode) finish(id attempt.ID, a *destAttempt, outcome attempt.Outcome, reason refusal.Reason, result admission.Result) {
	if a.ended {
		return
	}
	d.end(a, id, outcome, reason)
	d.update(destination.Done{ID: id, Result: result, Latency: time.Millisecond})
}

func (d *destNode) abort(id attempt.ID, a *destAttempt) {
	if a == nil || a.ended {
		return
	}
	outcome := attempt.Unknown
	if !a.written {
		outcome = attempt.NotRun
	}
	d.finish(id, a, outcome, refusal.Cancelled, admission.Aborted)
}

// cancel sends the cancel over a new connection, which leads to the current process.
func (d *destNode) cancel(id attempt.ID, c *conn, answer func(bool)) {
	d.cancels[id] = append(d.cancels[id], answer)
	d.update(destination.Cancel{ID: id, Incarnation: uint64(c.process)})
}
