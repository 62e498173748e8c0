package model

import (
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/coordination/retry"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/state/rule"
)

// entryNode is the part of a node that picks back ends for its calls and handles retries and hedging.
type entryNode struct {
	sim          *simulation
	id           string
	location     location
	balancer     *balancer.Model
	retryBudgets map[int]*retry.Budget // by call depth
	lastSequence uint64
	removedZone  string // zone that the rules take out of service, as the baselines see it

	// State of the baseline policies.
	roundRobinIndex int
	outstanding     map[*backend]int
	loadReports     map[*backend]loadReport
	targets         []balancer.Target
}

func newEntryNode(sim *simulation, i int, at location) *entryNode {
	return &entryNode{
		sim: sim, id: string(rune('A'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676)), location: at,
		balancer: balancer.New(balancer.Config{
			Zone: at.zone, Region: at.region, InterZoneLatency: sim.deployment.InterZoneLatency, Rand: newRand(sim.run.Seed, policyStream<<32+uint64(i)),
		}),
		retryBudgets: map[int]*retry.Budget{},
		outstanding:  map[*backend]int{},
		loadReports:  map[*backend]loadReport{},
	}
}

func (e *entryNode) setTargets(targets []balancer.Target) {
	e.balancer.Update(e.sim.now, balancer.Targets{List: targets})
	e.targets = targets
}

func (e *entryNode) retryBudget(depth int) *retry.Budget {
	if e.retryBudgets[depth] == nil {
		e.retryBudgets[depth] = retry.New(retry.Config{
			Ratio: float64(rule.DefaultRetryRatio), Burst: 10, HedgeRatio: float64(rule.DefaultHedgeRatio), HedgeQuantile: float64(rule.DefaultHedgeQuantile),
		})
	}
	return e.retryBudgets[depth]
}

// startCall handles a call with the balancer and retry budget of core.
func (e *entryNode) startCall(c *call) {
	e.retryBudget(c.depth).RecordCall(e.sim.now)
	e.sim.result.levelCounts(c.depth).Calls++
	e.sim.after(c.deadline.Sub(e.sim.now), func() { e.expireCall(c) })
	e.startAttempt(c, false)
}

func (e *entryNode) expireCall(c *call) {
	if c.done {
		return
	}
	c.end(late, -1)
	e.cancelAttempts(c, nil)
}

func (e *entryNode) startAttempt(c *call, hedge bool) {
	target, ok := e.balancer.Pick(e.sim.now, balancer.Query{Service: serviceName(c.depth), Exclude: c.excluded, SpareCapacityOnly: hedge})
	if !ok {
		if !hedge {
			c.end(refused, c.depth)
		}
		return
	}
	if hedge && !e.retryBudget(c.depth).TakeHedge(e.sim.now) {
		return
	}
	if hedge {
		e.sim.result.Hedges++
	}
	e.lastSequence++
	t := &callAttempt{
		id:   attempt.ID{Node: e.id, Incarnation: 1, Sequence: e.lastSequence},
		call: c, entry: e, destination: e.sim.destinationOf(target.Backend), start: e.sim.now, hedged: hedge, refusedLevel: -1,
	}
	c.attempts = append(c.attempts, t)
	c.excluded = append(c.excluded, target.Backend)
	e.sim.result.levelCounts(c.depth).Attempts++
	e.balancer.Update(e.sim.now, balancer.Begin{Backend: target.Backend})
	e.sim.deliver(e.location, t.destination.backend.location, func() { t.destination.receiveAttempt(t) })
	e.scheduleHedge(c)
}

// scheduleHedge starts a second attempt if the first takes longer than the latency quantile of the retry budget.
func (e *entryNode) scheduleHedge(c *call) {
	budget := e.retryBudget(c.depth)
	delay, ok := budget.HedgeDelay(e.sim.now)
	if !ok || len(c.attempts) > 1 || !retry.MayHedge(c.depth, c.idempotent) {
		return
	}
	e.sim.after(delay, func() {
		if !c.done && len(c.attempts) == 1 {
			e.startAttempt(c, true)
		}
	})
}

// handleReply processes the reply of a destination node and ends, retries or fails the call.
func (e *entryNode) handleReply(t *callAttempt, r reply) {
	if t.ended {
		return
	}
	t.ended = true
	now := e.sim.now
	latency := now.Sub(t.start)
	h := r.hint
	e.balancer.Update(now, balancer.End{Backend: t.destination.backend.name, Result: r.result, Latency: latency})
	e.sim.after(e.sim.run.ReportDelay, func() {
		e.balancer.Update(e.sim.now, balancer.LoadReport{Backend: t.destination.backend.name, Hint: h, Age: e.sim.run.ReportDelay})
	})
	budget := e.retryBudget(t.call.depth)
	overloaded := r.result == balancer.Refused && retry.IsOverload(r.reason)
	budget.RecordResult(now, overloaded && e.balancer.Overloaded(serviceName(t.call.depth)))
	if t.call.done {
		return
	}
	switch r.result {
	case balancer.Succeeded:
		budget.RecordLatency(now, latency)
		t.call.end(answered, -1)
		e.cancelAttempts(t.call, t)
	case balancer.Failed, balancer.Cancelled:
		e.handleFailure(t)
	default:
		e.retryOrEnd(t, r)
	}
}

// handleFailure ends the call unless another attempt is running. A refusal by a deeper level of the chain is not
// retried at this level, so that retries do not multiply along the chain.
func (e *entryNode) handleFailure(t *callAttempt) {
	if e.hasRunningAttempt(t.call) {
		return
	}
	if t.refusedLevel >= 0 {
		t.call.end(refused, t.refusedLevel)
		return
	}
	t.call.end(failed, -1)
}

// hasRunningAttempt reports whether an attempt of the call has not ended.
func (e *entryNode) hasRunningAttempt(c *call) bool {
	for _, t := range c.attempts {
		if !t.ended {
			return true
		}
	}
	return false
}

// retryOrEnd handles an attempt that was refused or lost.
func (e *entryNode) retryOrEnd(t *callAttempt, r reply) {
	c := t.call
	outcome := attempt.NotRun
	if r.result == balancer.Lost {
		outcome = attempt.Unknown
	}
	failure := retry.Failure{Outcome: outcome, Reason: r.reason, FailureDepth: c.depth, Depth: c.depth, Idempotent: c.idempotent}
	if !e.hasRunningAttempt(c) && len(c.attempts) < maxAttempts && retry.ShouldRetry(failure) && e.retryBudget(c.depth).Take(e.sim.now) {
		e.sim.result.Retries++
		e.startAttempt(c, false)
		return
	}
	if e.hasRunningAttempt(c) {
		return
	}
	if r.result == balancer.Lost {
		c.end(failed, -1)
		return
	}
	c.end(refused, c.depth)
}

// cancelAttempts cancels the running attempts of a call except winner, which may be nil.
func (e *entryNode) cancelAttempts(c *call, winner *callAttempt) {
	for _, t := range c.attempts {
		if t == winner || t.ended {
			continue
		}
		t.ended = true
		e.balancer.Update(e.sim.now, balancer.End{Backend: t.destination.backend.name, Result: balancer.Cancelled})
		e.sim.deliver(e.location, t.destination.backend.location, func() { t.destination.cancelAttempt(t) })
	}
}
