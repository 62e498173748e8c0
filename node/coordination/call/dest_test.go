package call_test

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/coordination/destination"
)

// dest is a destination node with its back end: arrival.Model and the effects that node/transport/backend carries out.
type dest struct {
	s           *sim
	name        string
	model       *destination.Model
	epoch       int // counts the processes
	incarnation uint64
	works       map[attempt.ID]*work
	asks        map[attempt.ID][]func(bool)
}

// work is one attempt at a destination.
type work struct {
	e       *entry
	c       *conn
	req     *request
	written bool
	over    bool
}

func newDest(s *sim, name string) *dest {
	d := &dest{s: s, name: name}
	d.boot()
	return d
}

// boot starts a new process, which knows nothing of the one before.
func (d *dest) boot() {
	d.epoch++
	d.incarnation = uint64(d.epoch)
	d.works = map[attempt.ID]*work{}
	d.asks = map[attempt.ID][]func(bool){}
	d.model = destination.New(destination.Config{Incarnation: d.incarnation})
	d.model.Update(d.s.now, destination.Rules{Set: rules})
	d.model.Update(d.s.now, destination.Backend{Name: "b" + d.name, Service: "desk", State: admission.Ready})
}

// restart breaks every connection; what was written to the back end may still run.
func (d *dest) restart() {
	old := d.works
	d.boot()
	for id, w := range old {
		w.over = true
		d.s.later(func() { w.e.head(id, attempt.Unknown, refusal.Broken, false) })
	}
	for _, e := range d.s.entries {
		d.s.later(func() { e.model.SetTargets(d.s.now, d.s.targets()) })
	}
}

func (d *dest) update(msg destination.Msg) {
	for _, cmd := range d.model.Update(d.s.now, msg) {
		d.effect(cmd)
	}
}

func (d *dest) arrive(e *entry, cmd call.Send, c *conn, req *request) {
	w := &work{e: e, c: c, req: req}
	msg := destination.Arrive{ID: cmd.Attempt, Incarnation: cmd.Target.Incarnation, Service: "desk", Deadline: req.deadline}
	_, copied := d.works[cmd.Attempt]
	if !copied {
		d.works[cmd.Attempt] = w
		d.update(msg)
		return
	}
	// The refusal of a copy goes back on the connection of the copy.
	for _, cmd := range d.model.Update(d.s.now, msg) {
		if r, ok := cmd.(destination.Refuse); ok && r.ID == msg.ID && r.Outcome == attempt.Unknown {
			d.reply(w, r.ID, r.Outcome, r.Reason)
			continue
		}
		d.effect(cmd)
	}
}

func (d *dest) reply(w *work, id attempt.ID, outcome attempt.Outcome, reason refusal.Reason) {
	lost := d.s.chance(8, "response lost")
	d.s.later(func() {
		if lost {
			w.e.head(id, attempt.Unknown, refusal.Broken, false)
			return
		}
		w.e.head(id, outcome, reason, true)
	})
}

func (d *dest) effect(cmd destination.Cmd) {
	switch cmd := cmd.(type) {
	case destination.Refuse:
		d.end(d.works[cmd.ID], cmd.ID, cmd.Outcome, cmd.Reason)
	case destination.Start:
		d.start(cmd.ID, d.works[cmd.ID])
	case destination.Abort:
		d.abort(cmd.ID, d.works[cmd.ID])
	case destination.CancelResult:
		for _, answer := range d.asks[cmd.ID] {
			answer(cmd.Outcome == destination.NotRun)
		}
		delete(d.asks, cmd.ID)
	}
}

func (d *dest) end(w *work, id attempt.ID, outcome attempt.Outcome, reason refusal.Reason) {
	if w == nil || w.over {
		return
	}
	w.over = true
	d.reply(w, id, outcome, reason)
}

// start waits for a connection to the back end and writes the request.
func (d *dest) start(id attempt.ID, w *work) {
	process := d.epoch
	d.s.later(func() {
		if w.over || d.epoch != process {
			return
		}
		if d.s.chance(10, "back end refuses the connection") {
			d.finish(id, w, attempt.NotRun, refusal.Absent, admission.Reset)
			return
		}
		w.written = true
		d.execute(id, w)
	})
}

// execute is the back end: it may restart before or after the run, shed, or run although the node has given up.
func (d *dest) execute(id attempt.ID, w *work) {
	switch {
	case d.s.chance(10, "back end sheds"):
		d.s.later(func() { d.finish(id, w, attempt.NotRun, refusal.Shed, admission.Shed) })
		return
	case d.s.chance(10, "back end dies before the run"):
		d.s.later(func() { d.finish(id, w, attempt.Unknown, refusal.Broken, admission.Reset) })
		return
	}
	dies := d.s.chance(10, "back end dies after the run")
	d.s.later(func() {
		d.s.runs[w.req.name]++
		d.s.later(func() {
			if dies {
				d.finish(id, w, attempt.Unknown, refusal.Broken, admission.Reset)
				return
			}
			d.finish(id, w, attempt.Answered, refusal.None, admission.Good)
		})
	})
}

func (d *dest) finish(id attempt.ID, w *work, outcome attempt.Outcome, reason refusal.Reason, result admission.Result) {
	if w.over {
		return
	}
	d.end(w, id, outcome, reason)
	d.update(destination.Done{ID: id, Result: result, Latency: time.Millisecond})
}

func (d *dest) abort(id attempt.ID, w *work) {
	if w == nil || w.over {
		return
	}
	outcome := attempt.Unknown
	if !w.written {
		outcome = attempt.NotRun
	}
	d.finish(id, w, outcome, refusal.Cancelled, admission.Aborted)
}

// ask cancels over a new connection, which leads to the process that is there now.
func (d *dest) ask(id attempt.ID, c *conn, answer func(bool)) {
	d.asks[id] = append(d.asks[id], answer)
	d.update(destination.Cancel{ID: id, Incarnation: uint64(c.epoch)})
}
