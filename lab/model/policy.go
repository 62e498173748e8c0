package model

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/admission"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Policy,callEnding -linecomment -output=policy_string.go

// Policy selects how calls are assigned to back ends.
type Policy int

// Policies of a run. RoundRobin, LeastOutstanding and TwoChoices are baselines that send straight to the queue of a back
// end, without admission control. PerfectKnowledge is one central queue that knows every back end; its latency is the
// bound that the others are compared with.
const (
	Pollenhill       Policy = iota // pollenhill
	RoundRobin                     // round robin
	LeastOutstanding               // least outstanding
	TwoChoices                     // two choices
	PerfectKnowledge               // bound
)

// callEnding is the way in which a call ended.
type callEnding int

const (
	answered callEnding = iota // answered
	refused                    // refused
	failed                     // failed
	late                       // late
)

// loadReport is the load that a back end reports to the baselines.
type loadReport struct {
	load int // requests in flight and queued
}

func (p Policy) startCall(sim *simulation, e *entryNode, c *call) {
	switch p {
	case Pollenhill:
		e.startCall(c)
	case PerfectKnowledge:
		sim.after(c.deadline.Sub(sim.now), func() { c.end(late, -1) })
		sim.centralQueue.enqueue(e, c)
	default:
		sim.after(c.deadline.Sub(sim.now), func() { c.end(late, -1) })
		e.sendBaseline(p, c, 0)
	}
}

// sendBaseline sends a call without admission control; a refused call is retried once at another back end.
func (e *entryNode) sendBaseline(p Policy, c *call, tries int) {
	b := e.pickBaseline(p, c)
	if b == nil {
		c.end(refused, -1)
		return
	}
	e.sim.result.levelCounts(0).Attempts++
	if tries == 0 {
		e.sim.result.levelCounts(0).Calls++
	}
	e.outstanding[b]++
	c.excluded = append(c.excluded, b.name)
	j := &job{demand: c.demand}
	j.onEnd = func(result admission.Result, _ time.Duration) {
		load := b.inflight + len(b.queue)
		e.sim.deliver(b.location, e.location, func() { e.handleBaselineReply(p, c, b, result, tries, load) })
	}
	e.sim.deliver(e.location, b.location, func() { b.submit(j) })
}

func (e *entryNode) handleBaselineReply(p Policy, c *call, b *backend, result admission.Result, tries, load int) {
	e.outstanding[b]--
	e.sim.after(e.sim.run.ReportDelay, func() { e.loadReports[b] = loadReport{load: load} })
	switch {
	case result == admission.Good:
		c.end(answered, -1)
	case result == admission.Shed && tries == 0:
		e.sim.result.Retries++
		e.sendBaseline(p, c, 1)
	case result == admission.Shed:
		c.end(refused, -1)
	default:
		c.end(failed, -1)
	}
}

// pickBaseline returns the back end that a baseline policy picks, or nil if there is none.
func (e *entryNode) pickBaseline(p Policy, c *call) *backend {
	var candidates []*backend
	for _, t := range e.targets {
		serving := t.State == admission.Cold || t.State == admission.Ready
		if serving && t.Zone != e.removedZone && !lo.Contains(c.excluded, t.Backend) {
			candidates = append(candidates, e.sim.destinationOf(t.Backend).backend)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	r := e.sim.ruleRand
	switch p {
	case RoundRobin:
		e.roundRobinIndex++
		return candidates[e.roundRobinIndex%len(candidates)]
	case LeastOutstanding:
		return lo.MinBy(shuffle(r, candidates), func(a, b *backend) bool { return e.outstanding[a] < e.outstanding[b] })
	}
	a, b := candidates[r.IntN(len(candidates))], candidates[r.IntN(len(candidates))]
	if e.knownLoad(b) < e.knownLoad(a) {
		return b
	}
	return a
}

// knownLoad returns the load of a back end as TwoChoices knows it: the larger of the last load report and the requests
// outstanding from this node.
func (e *entryNode) knownLoad(b *backend) int {
	return max(e.loadReports[b].load, e.outstanding[b])
}

// centralQueue is one queue for all entry nodes with perfect knowledge of the current state and slowdown of every back
// end. It uses a slow back end only if waiting for another would take longer.
type centralQueue struct {
	sim   *simulation
	queue []queuedCall
}

type queuedCall struct {
	entry *entryNode
	call  *call
}

func (q *centralQueue) enqueue(e *entryNode, c *call) {
	q.queue = append(q.queue, queuedCall{e, c})
	q.dispatch()
}

func (q *centralQueue) dispatch() {
	for len(q.queue) > 0 {
		head := q.queue[0]
		b := q.pickBackend(head.entry)
		if b == nil {
			return
		}
		q.queue = q.queue[1:]
		if head.call.done {
			continue
		}
		q.startCall(head.entry, head.call, b)
	}
}

func (q *centralQueue) startCall(e *entryNode, c *call, b *backend) {
	q.sim.result.levelCounts(0).Calls++
	q.sim.result.levelCounts(0).Attempts++
	latency := q.sim.deployment.latency(e.location, b.location)
	// A call travels to the back end while it waits in the queue, so that no slot is idle during the transfer. The part of
	// the way that remains is added to the time of the response.
	remaining := max(0, latency-q.sim.now.Sub(c.start))
	j := &job{demand: c.demand}
	j.onEnd = func(result admission.Result, _ time.Duration) {
		q.sim.after(latency+remaining, func() {
			if result == admission.Good {
				c.end(answered, -1)
				return
			}
			c.end(failed, -1)
		})
		q.sim.after(0, q.dispatch)
	}
	b.startJob(j)
}

// pickBackend returns the free back end that would finish the next request first, or nil if waiting is better: another
// back end would finish sooner after the wait, and this one takes over 1.5 times the shortest service time.
func (q *centralQueue) pickBackend(e *entryNode) *backend {
	var best *backend
	cost, completionRate, shortest := math.Inf(1), 0.0, math.Inf(1)
	for _, b := range q.sim.backends {
		if b.refusing || b.failFast || b.location.zone == q.sim.removedZone {
			continue
		}
		limit := b.slots
		if b.inColdStart {
			limit = coldSlots
		}
		serviceTime := b.totalSlowdown() * meanDemand.Seconds()
		completionRate += float64(limit) / serviceTime
		shortest = min(shortest, serviceTime)
		total := serviceTime + 2*q.sim.deployment.latency(e.location, b.location).Seconds()
		if b.inflight < limit && total < cost {
			best, cost = b, total
		}
	}
	wait := float64(len(q.queue)) / completionRate
	if best != nil && cost > wait+shortest+2*interRegionLatency.Seconds() && best.totalSlowdown() > 1.5*shortest/meanDemand.Seconds() {
		return nil
	}
	return best
}

// shuffle puts the back ends into a random order that repeats with the seed, so that ties are broken at random.
func shuffle(r *rand.Rand, bs []*backend) []*backend {
	r.Shuffle(len(bs), func(i, j int) { bs[i], bs[j] = bs[j], bs[i] })
	return bs
}
