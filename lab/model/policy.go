package model

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/admission"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Policy,ending -linecomment -output=policy_string.go

// Policy is how calls find a back end.
type Policy int

// Policies of a run. All but the first send straight to the queue of a back end; Bound is one queue
// with perfect knowledge of every back end.
const (
	Pollenhill       Policy = iota // pollenhill
	RoundRobin                     // round robin
	LeastOutstanding               // least outstanding
	TwoChoices                     // two choices
	PerfectKnowledge               // bound
)

// ending is how a call ended.
type ending int

const (
	answered ending = iota // answered
	refused                // refused
	failed                 // failed
	late                   // late
)

// report is a load report that a baseline uses.
type report struct{ load int }

func (p Policy) serve(w *world, e *entry, c *call) {
	switch p {
	case Pollenhill:
		e.serve(c)
	case PerfectKnowledge:
		w.after(c.deadline.Sub(w.now), func() { c.end(late, -1) })
		w.bound.serve(e, c)
	default:
		w.after(c.deadline.Sub(w.now), func() { c.end(late, -1) })
		e.plain(p, c, 0)
	}
}

// plain sends a call without admission; a refusal is tried once more elsewhere.
func (e *entry) plain(p Policy, c *call, tries int) {
	b := e.pickPlain(p, c)
	if b == nil {
		c.end(refused, -1)
		return
	}
	e.w.result.level(0).Attempts++
	if tries == 0 {
		e.w.result.level(0).Calls++
	}
	e.outstanding[b]++
	c.avoid = append(c.avoid, b.name)
	j := &job{demand: c.demand}
	j.end = func(result admission.Result, _ time.Duration) {
		load := b.inflight + len(b.queue)
		e.w.send(b.place, e.place, func() { e.plainEnd(p, c, b, result, tries, load) })
	}
	e.w.send(e.place, b.place, func() { b.submit(j) })
}

func (e *entry) plainEnd(p Policy, c *call, b *backend, result admission.Result, tries, load int) {
	e.outstanding[b]--
	e.w.after(e.w.run.ReportDelay, func() { e.seen[b] = report{load: load} })
	switch {
	case result == admission.Good:
		c.end(answered, -1)
	case result == admission.Shed && tries == 0:
		e.w.result.Retries++
		e.plain(p, c, 1)
	case result == admission.Shed:
		c.end(refused, -1)
	default:
		c.end(failed, -1)
	}
}

func (e *entry) pickPlain(p Policy, c *call) *backend {
	var open []*backend
	for _, t := range e.known {
		serving := t.State == admission.Cold || t.State == admission.Ready
		if serving && t.Zone != e.out && !lo.Contains(c.avoid, t.Backend) {
			open = append(open, e.w.destOf(t.Backend).b)
		}
	}
	if len(open) == 0 {
		return nil
	}
	r := e.w.rules
	switch p {
	case RoundRobin:
		e.turn++
		return open[e.turn%len(open)]
	case LeastOutstanding:
		return lo.MinBy(shuffle(r, open), func(a, b *backend) bool { return e.outstanding[a] < e.outstanding[b] })
	}
	a, b := open[r.IntN(len(open))], open[r.IntN(len(open))]
	if e.load(b) < e.load(a) {
		return b
	}
	return a
}

// load is the report plus what was sent from here, as far as a baseline with two choices knows.
func (e *entry) load(b *backend) int {
	return max(e.seen[b].load, e.outstanding[b])
}

// bound is one queue with perfect knowledge: it knows the state and speed of every back end now, and
// uses a slow one only if waiting for another would take longer.
type bound struct {
	w     *world
	queue []waiting
}

type waiting struct {
	e *entry
	c *call
}

func (q *bound) serve(e *entry, c *call) {
	q.queue = append(q.queue, waiting{e, c})
	q.pump()
}

func (q *bound) pump() {
	for len(q.queue) > 0 {
		head := q.queue[0]
		b := q.pick(head.e)
		if b == nil {
			return
		}
		q.queue = q.queue[1:]
		if head.c.done {
			continue
		}
		q.send(head.e, head.c, b)
	}
}

func (q *bound) send(e *entry, c *call, b *backend) {
	q.w.result.level(0).Calls++
	q.w.result.level(0).Attempts++
	hop := q.w.dep.delay(e.place, b.place)
	// The request travels while it waits, so that a hop never keeps a slot idle.
	travel := max(0, hop-q.w.now.Sub(c.began))
	j := &job{demand: c.demand}
	j.end = func(result admission.Result, _ time.Duration) {
		q.w.after(hop+travel, func() {
			if result == admission.Good {
				c.end(answered, -1)
				return
			}
			c.end(failed, -1)
		})
		q.w.after(0, q.pump)
	}
	b.begin(j)
}

// pick returns the free back end that finishes the next request first, or nil if waiting is better.
func (q *bound) pick(e *entry) *backend {
	var best *backend
	cost, rate, fastest := math.Inf(1), 0.0, math.Inf(1)
	for _, b := range q.w.backends {
		if b.refusing || b.failfast || b.place.zone == q.w.zoneOut {
			continue
		}
		limit := b.slots
		if b.cold {
			limit = coldCap
		}
		speed := b.speed() * meanDemand.Seconds()
		rate += float64(limit) / speed
		fastest = min(fastest, speed)
		total := speed + 2*q.w.dep.delay(e.place, b.place).Seconds()
		if b.inflight < limit && total < cost {
			best, cost = b, total
		}
	}
	wait := float64(len(q.queue)) / rate
	if best != nil && cost > wait+fastest+2*inRegion.Seconds() && best.speed() > 1.5*fastest/meanDemand.Seconds() {
		return nil
	}
	return best
}

// shuffle returns the back ends in a random order that repeats with the seed.
func shuffle(r *rand.Rand, bs []*backend) []*backend {
	r.Shuffle(len(bs), func(i, j int) { bs[i], bs[j] = bs[j], bs[i] })
	return bs
}
