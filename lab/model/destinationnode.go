package model

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// destinationNode is the part of a node that admits attempts to its back end.
type destinationNode struct {
	sim        *simulation
	backend    *backend
	admission  *admission.Model
	attempts   map[attempt.ID]*callAttempt
	localEntry *entryNode // for calls of the back end to the next level of the chain, nil at the last level
	prober     *prober
}

func newDestinationNode(sim *simulation, b *backend) *destinationNode {
	d := &destinationNode{sim: sim, backend: b, attempts: map[attempt.ID]*callAttempt{}}
	d.admission = admission.New(d.admissionLimits(refusal.None))
	d.prober = newProber(sim, d)
	if sim.run.ChainDepth > b.level+1 {
		d.localEntry = newEntryNode(sim, 1000+b.id, b.location)
	}
	d.updateAdmission(admission.BackendState{State: b.announcedState})
	return d
}

func (d *destinationNode) admissionLimits(reason refusal.Reason) admission.Limits {
	return admission.Limits{
		Slots: d.backend.slots, QueueLength: rule.DefaultQueueLength, ColdSlots: coldSlots, OutReason: reason, Connections: maxConnections,
	}
}

func (d *destinationNode) setOutReason(reason refusal.Reason) {
	d.updateAdmission(d.admissionLimits(reason))
}

func (d *destinationNode) receiveAttempt(t *callAttempt) {
	d.attempts[t.id] = t
	d.updateAdmission(admission.Arrive{ID: t.id, Deadline: t.call.deadline, Priority: t.call.priority})
	d.sim.after(t.call.deadline.Sub(d.sim.now), func() {
		if d.attempts[t.id] != nil {
			d.updateAdmission(admission.Tick{})
		}
	})
}

func (d *destinationNode) cancelAttempt(t *callAttempt) {
	d.updateAdmission(admission.Cancel{ID: t.id})
}

func (d *destinationNode) updateAdmission(msg admission.Msg) {
	for _, cmd := range d.admission.Update(d.sim.now, msg) {
		d.execute(cmd)
	}
}

// execute carries out a command of the admission model.
func (d *destinationNode) execute(cmd admission.Cmd) {
	switch cmd := cmd.(type) {
	case admission.Start:
		d.startAttempt(d.attempts[cmd.ID])
	case admission.Refuse:
		t := d.attempts[cmd.ID]
		delete(d.attempts, cmd.ID)
		if t != nil {
			d.sendReply(t, balancer.Refused, cmd.Reason)
		}
	case admission.Running:
		d.abortAttempt(d.attempts[cmd.ID])
	case admission.OpenConnections:
		d.backend.connections = min(maxConnections, d.backend.connections+cmd.Count)
	}
}

func (d *destinationNode) abortAttempt(t *callAttempt) {
	if t == nil || t.job == nil {
		return
	}
	if t.nestedCall != nil && !t.nestedCall.done {
		t.nestedCall.done = true
		d.localEntry.cancelAttempts(t.nestedCall, nil)
	}
	d.backend.finishJob(t.job, admission.Aborted)
}

func (d *destinationNode) startAttempt(t *callAttempt) {
	t.job = &job{demand: t.call.demand}
	if d.localEntry != nil {
		t.job.callNextLevel = func(done func(bool)) { d.callNextLevel(t, done) }
	}
	if d.sim.run.ChainDepth > 1 && d.backend.level+1 == d.sim.run.BottleneckLevel {
		t.job.demand = t.call.demand * 10 * time.Duration(bottleneckDemand) / time.Duration(meanDemand)
	}
	t.job.onEnd = func(result admission.Result, latency time.Duration) {
		delete(d.attempts, t.id)
		d.sendReply(t, balancerResults[result], refusal.None)
		d.updateAdmission(admission.Done{ID: t.id, Result: result, Latency: latency})
		d.prober.recordRequest()
	}
	d.backend.startJob(t.job)
}

// callNextLevel starts a call to the next level of the chain; done receives whether it was answered.
func (d *destinationNode) callNextLevel(t *callAttempt, done func(bool)) {
	if t.call.done {
		done(false)
		return
	}
	c := &call{
		sim: d.sim, id: t.call.id, start: d.sim.now, deadline: t.call.deadline, demand: d.sim.randomDemand(),
		priority: t.call.priority, idempotent: t.call.idempotent, depth: t.call.depth + 1,
	}
	c.onEnd = func(ok bool, refusedLevel int) {
		t.refusedLevel = refusedLevel
		done(ok)
	}
	t.nestedCall = c
	d.localEntry.startCall(c)
}

var balancerResults = map[admission.Result]balancer.Result{
	admission.Good:    balancer.Succeeded,
	admission.Shed:    balancer.Refused,
	admission.Failed:  balancer.Failed,
	admission.Reset:   balancer.Lost,
	admission.Aborted: balancer.Cancelled,
}

// sendReply sends a result with the current load hint, or with the hint of an idle back end if the scenario falsifies
// its load reports.
func (d *destinationNode) sendReply(t *callAttempt, result balancer.Result, reason refusal.Reason) {
	h := d.admission.View().Hint
	if d.sim.run.Fault.hasFalseReport(d.sim, d.backend) {
		h = hint.Hint{Limit: d.backend.slots, ServiceTime: time.Microsecond}
	}
	r := reply{result: result, reason: reason, hint: h, sentAt: d.sim.now}
	d.sim.deliver(d.backend.location, t.entry.location, func() { t.entry.handleReply(t, r) })
}

// reply is the result of an attempt that a destination node sends to the entry node.
type reply struct {
	result balancer.Result
	reason refusal.Reason
	hint   hint.Hint
	sentAt time.Time // time at which the hint was current
}
