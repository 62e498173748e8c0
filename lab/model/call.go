package model

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/coordination/retry"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// call is one call at one entry node.
type call struct {
	w          *world
	id         uint64
	began      time.Time
	deadline   time.Time
	demand     time.Duration
	level      rule.Priority
	idempotent bool
	depth      int
	done       bool
	up         func(ok bool, refused int) // end of a call inside a chain; refused is the level or -1
	attempts   []*try
	avoid      []string
}

// end finishes the call once.
func (c *call) end(o ending, level int) {
	if c.done {
		return
	}
	c.done = true
	if c.depth == 0 {
		c.w.result.ended(c, o, c.w.now)
	}
	if c.up != nil {
		c.up(o == answered, level)
	}
}

// try is one attempt at one destination.
type try struct {
	id    attempt.ID
	c     *call
	e     *entry
	d     *dest
	began time.Time
	job   *job
	ended bool // at the entry node
	hedge bool
	lower int // level below that refused, -1 for none
	below *call
}

// reply is what a destination node answers.
type reply struct {
	result balancer.Result
	reason refusal.Reason
	hint   hint.Hint
	at     time.Time // when the hint was true
}

// entry is the entry side of one node.
type entry struct {
	w      *world
	id     string
	place  place
	choice *balancer.Model
	budget map[int]*retry.Budget
	next   uint64
	out    string // zone that the rules take out

	// state of the baselines
	turn        int
	outstanding map[*backend]int
	seen        map[*backend]report
	known       []balancer.Target
}

func newEntry(w *world, i int, at place) *entry {
	return &entry{
		w: w, id: string(rune('A'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676)), place: at,
		choice: balancer.New(balancer.Config{
			Zone: at.zone, Region: at.region, InterZoneLatency: w.dep.InterZoneLatency, Rand: stream(w.run.Seed, policyStream<<32+uint64(i)),
		}),
		budget:      map[int]*retry.Budget{},
		outstanding: map[*backend]int{},
		seen:        map[*backend]report{},
	}
}

func (e *entry) members(targets []balancer.Target) {
	e.choice.Update(e.w.now, balancer.Targets{List: targets})
	e.known = targets
}

func (e *entry) budgetFor(depth int) *retry.Budget {
	if e.budget[depth] == nil {
		e.budget[depth] = retry.New(retry.Config{
			Ratio: float64(rule.DefaultRetryRatio), Burst: 10, HedgeRatio: float64(rule.DefaultHedgeRatio), HedgeQuantile: float64(rule.DefaultHedgeQuantile),
		})
	}
	return e.budget[depth]
}

// serve runs a call through the models of core.
func (e *entry) serve(c *call) {
	e.budgetFor(c.depth).RecordCall(e.w.now)
	e.w.result.level(c.depth).Calls++
	e.w.after(c.deadline.Sub(e.w.now), func() { e.expire(c) })
	e.attempt(c, false)
}

func (e *entry) expire(c *call) {
	if c.done {
		return
	}
	c.end(late, -1)
	e.cancel(c, nil)
}

func (e *entry) attempt(c *call, hedge bool) {
	target, ok := e.choice.Pick(e.w.now, balancer.Query{Service: serviceName(c.depth), Exclude: c.avoid, SpareCapacityOnly: hedge})
	if !ok {
		if !hedge {
			c.end(refused, c.depth)
		}
		return
	}
	if hedge && !e.budgetFor(c.depth).TakeHedge(e.w.now) {
		return
	}
	if hedge {
		e.w.result.Hedges++
	}
	e.next++
	t := &try{
		id: attempt.ID{Node: e.id, Incarnation: 1, Sequence: e.next},
		c:  c, e: e, d: e.w.destOf(target.Backend), began: e.w.now, hedge: hedge, lower: -1,
	}
	c.attempts = append(c.attempts, t)
	c.avoid = append(c.avoid, target.Backend)
	e.w.result.level(c.depth).Attempts++
	e.choice.Update(e.w.now, balancer.Begin{Backend: target.Backend})
	e.w.send(e.place, t.d.b.place, func() { t.d.arrive(t) })
	e.planHedge(c)
}

// planHedge starts a second attempt if the first takes longer than the observed quantile.
func (e *entry) planHedge(c *call) {
	budget := e.budgetFor(c.depth)
	delay, ok := budget.HedgeDelay(e.w.now)
	if !ok || len(c.attempts) > 1 || !retry.MayHedge(c.depth, c.idempotent) {
		return
	}
	e.w.after(delay, func() {
		if !c.done && len(c.attempts) == 1 {
			e.attempt(c, true)
		}
	})
}

// finish handles the answer of a destination.
func (e *entry) finish(t *try, r reply) {
	if t.ended {
		return
	}
	t.ended = true
	now := e.w.now
	latency := now.Sub(t.began)
	h := r.hint
	e.choice.Update(now, balancer.End{Backend: t.d.b.name, Result: r.result, Latency: latency})
	e.w.after(e.w.run.ReportDelay, func() {
		e.choice.Update(e.w.now, balancer.LoadReport{Backend: t.d.b.name, Hint: h, Age: e.w.run.ReportDelay})
	})
	budget := e.budgetFor(t.c.depth)
	full := r.result == balancer.Refused && retry.IsOverload(r.reason)
	budget.RecordResult(now, full && e.choice.Overloaded(serviceName(t.c.depth)))
	if t.c.done {
		return
	}
	switch r.result {
	case balancer.Succeeded:
		budget.RecordLatency(now, latency)
		t.c.end(answered, -1)
		e.cancel(t.c, t)
	case balancer.Failed, balancer.Cancelled:
		e.failed(t)
	default:
		e.again(t, r)
	}
}

// failed passes on a failure; a refusal further down the chain is not retried at this level.
func (e *entry) failed(t *try) {
	if e.open(t.c) {
		return
	}
	if t.lower >= 0 {
		t.c.end(refused, t.lower)
		return
	}
	t.c.end(failed, -1)
}

// open says whether another attempt of the call is still running.
func (e *entry) open(c *call) bool {
	for _, t := range c.attempts {
		if !t.ended {
			return true
		}
	}
	return false
}

func (e *entry) again(t *try, r reply) {
	c := t.c
	outcome := attempt.NotRun
	if r.result == balancer.Lost {
		outcome = attempt.Unknown
	}
	failure := retry.Failure{Outcome: outcome, Reason: r.reason, FailureDepth: c.depth, Depth: c.depth, Idempotent: c.idempotent}
	if !e.open(c) && len(c.attempts) < maxTries && retry.ShouldRetry(failure) && e.budgetFor(c.depth).Take(e.w.now) {
		e.w.result.Retries++
		e.attempt(c, false)
		return
	}
	if e.open(c) {
		return
	}
	if r.result == balancer.Lost {
		c.end(failed, -1)
		return
	}
	c.end(refused, c.depth)
}

// cancel stops the open attempts of a call but for the winner.
func (e *entry) cancel(c *call, winner *try) {
	for _, t := range c.attempts {
		if t == winner || t.ended {
			continue
		}
		t.ended = true
		e.choice.Update(e.w.now, balancer.End{Backend: t.d.b.name, Result: balancer.Cancelled})
		e.w.send(e.place, t.d.b.place, func() { t.d.cancel(t) })
	}
}

// dest is the destination side of one node.
type dest struct {
	w     *world
	b     *backend
	adm   *admission.Model
	tries map[attempt.ID]*try
	local *entry // through which the back end calls the next level
	probe *prober
}

func newDest(w *world, b *backend) *dest {
	d := &dest{w: w, b: b, tries: map[attempt.ID]*try{}}
	d.adm = admission.New(d.limits(refusal.None))
	d.probe = newProber(w, d)
	if w.run.ChainDepth > b.service+1 {
		d.local = newEntry(w, 1000+b.id, b.place)
	}
	d.send(admission.BackendState{State: b.state})
	return d
}

func (d *dest) limits(reason refusal.Reason) admission.Limits {
	return admission.Limits{
		Slots: d.b.slots, QueueLength: rule.DefaultQueueLength, ColdSlots: coldCap, OutReason: reason, Connections: connections,
	}
}

func (d *dest) limit(reason refusal.Reason) { d.send(d.limits(reason)) }

func (d *dest) arrive(t *try) {
	d.tries[t.id] = t
	d.send(admission.Arrive{ID: t.id, Deadline: t.c.deadline, Priority: t.c.level})
	d.w.after(t.c.deadline.Sub(d.w.now), func() {
		if d.tries[t.id] != nil {
			d.send(admission.Tick{})
		}
	})
}

func (d *dest) cancel(t *try) {
	d.send(admission.Cancel{ID: t.id})
}

func (d *dest) send(msg admission.Msg) {
	for _, cmd := range d.adm.Update(d.w.now, msg) {
		d.effect(cmd)
	}
}

func (d *dest) effect(cmd admission.Cmd) {
	switch cmd := cmd.(type) {
	case admission.Start:
		d.start(d.tries[cmd.ID])
	case admission.Refuse:
		t := d.tries[cmd.ID]
		delete(d.tries, cmd.ID)
		if t != nil {
			d.answer(t, balancer.Refused, cmd.Reason)
		}
	case admission.Running:
		d.abort(d.tries[cmd.ID])
	case admission.OpenConnections:
		d.b.open = min(connections, d.b.open+cmd.Count)
	}
}

func (d *dest) abort(t *try) {
	if t == nil || t.job == nil {
		return
	}
	if t.below != nil && !t.below.done {
		t.below.done = true
		d.local.cancel(t.below, nil)
	}
	d.b.finish(t.job, admission.Aborted)
}

func (d *dest) start(t *try) {
	t.job = &job{demand: t.c.demand}
	if d.local != nil {
		t.job.next = func(done func(bool)) { d.down(t, done) }
	}
	if d.w.run.ChainDepth > 1 && d.b.service+1 == d.w.run.BottleneckLevel {
		t.job.demand = t.c.demand * 10 * time.Duration(narrowDemand) / time.Duration(meanDemand)
	}
	t.job.end = func(result admission.Result, latency time.Duration) {
		delete(d.tries, t.id)
		d.answer(t, results[result], refusal.None)
		d.send(admission.Done{ID: t.id, Result: result, Latency: latency})
		d.probe.evidence()
	}
	d.b.begin(t.job)
}

// down calls the next level of the chain through the local node.
func (d *dest) down(t *try, done func(bool)) {
	if t.c.done {
		done(false)
		return
	}
	c := &call{
		w: d.w, id: t.c.id, began: d.w.now, deadline: t.c.deadline, demand: d.w.demand(),
		level: t.c.level, idempotent: t.c.idempotent, depth: t.c.depth + 1,
	}
	c.up = func(ok bool, level int) {
		t.lower = level
		done(ok)
	}
	t.below = c
	d.local.serve(c)
}

var results = map[admission.Result]balancer.Result{
	admission.Good:    balancer.Succeeded,
	admission.Shed:    balancer.Refused,
	admission.Failed:  balancer.Failed,
	admission.Reset:   balancer.Lost,
	admission.Aborted: balancer.Cancelled,
}

// answer sends the reply with the hint of this moment; a lying node claims an idle back end.
func (d *dest) answer(t *try, result balancer.Result, reason refusal.Reason) {
	h := d.adm.View().Hint
	if d.w.run.Fault.lies(d.w, d.b) {
		h = hint.Hint{Limit: d.b.slots, ServiceTime: time.Microsecond}
	}
	r := reply{result: result, reason: reason, hint: h, at: d.w.now}
	d.w.send(d.b.place, t.e.place, func() { t.e.finish(t, r) })
}
