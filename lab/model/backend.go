package model

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pollenhill.example/core/coordination/admission"
)

// The service demand of a request is 2 ms plus an exponentially distributed part with a mean of 8 ms. It is drawn
// once per request, so every back end with the same slowdown takes the same time for it.
const (
	minDemand       = 2 * time.Millisecond
	meanExtraDemand = 8 * time.Millisecond
	meanDemand      = minDemand + meanExtraDemand
)

const (
	maxConnections    = 240
	coldSlots         = 2
	warmupRequests    = 40 // completed requests that end a cold start
	coldSlowdown      = 4.0
	coldFailureDelay  = 5 * time.Millisecond // after which a request above coldSlots fails
	failFastDelay     = time.Millisecond     // after which a back end that fails fast answers with an error
	noiseSlowdown     = 2.0
	meanNoiseInterval = time.Second
	meanNoiseDuration = 20 * time.Millisecond
	connectDelay      = time.Millisecond // to open a connection to the back end
)

// job is one request that a back end handles.
type job struct {
	demand        time.Duration // service time without slowdown
	onEnd         func(admission.Result, time.Duration)
	start         time.Time
	overColdLimit bool             // started while a cold back end already had coldSlots in flight
	callNextLevel func(func(bool)) // calls the next level of a chain and passes on whether it was answered; nil at the last level
	ended         bool
	seq           uint64 // order of the start
}

// backend is a queueing model of a back end with parallel slots. The slowdown at the start of a request applies to all
// of it.
type backend struct {
	sim                *simulation
	id                 int
	name               string
	level              int
	location           location
	slots              int
	announcedState     admission.State // last state announced to the nodes
	inColdStart        bool            // actual state, which may differ from announcedState
	completedSinceCold int             // successful requests since the cold start began
	slowdown           float64         // factor on the service time, set by faults
	noiseSlowdown      float64         // factor on the service time, set by a noisy neighbour
	failFast           bool
	refusing           bool // accepts no new requests while drained
	inflight           int
	queue              []*job
	running            map[*job]bool
	connections        int  // connections from the destination node
	coldDetectable     bool // the node has seen a sign of the cold start: a reset or a completed request
	coldSince          time.Time

	overColdLimit           int       // requests started above coldSlots in a cold start
	overDetectableColdLimit int       // of these, started while coldDetectable
	lateStartsInRemovedZone int       // requests started later than zoneOutLimit after the zone was taken out
	removedAt               time.Time // when the zone was taken out, zero while in service
}

// totalSlowdown returns the current factor on the service time from all causes.
func (b *backend) totalSlowdown() float64 {
	if b.inColdStart {
		return b.slowdown * b.noiseSlowdown * coldSlowdown
	}
	return b.slowdown * b.noiseSlowdown
}

// submit queues a request at the back end itself. The baselines use it, since they have no admission control.
func (b *backend) submit(j *job) {
	switch {
	case b.refusing, b.inflight+len(b.queue) >= maxConnections:
		b.sim.after(0, func() { j.onEnd(admission.Shed, 0) })
	case b.inflight >= b.slots:
		b.queue = append(b.queue, j)
	default:
		b.startJob(j)
	}
}

func (b *backend) startJob(j *job) {
	b.inflight++
	b.running[j] = true
	b.sim.startedJobs++
	j.seq = b.sim.startedJobs
	j.start = b.sim.now
	if !b.removedAt.IsZero() && b.sim.now.Sub(b.removedAt) > zoneOutLimit {
		b.lateStartsInRemovedZone++
	}
	b.sim.after(b.connectionDelay(), func() { b.scheduleCompletion(j) })
	if b.inColdStart && b.inflight > coldSlots {
		j.overColdLimit = true
		b.overColdLimit++
		if b.coldDetectable {
			b.overDetectableColdLimit++
		}
	}
}

// connectionDelay returns the time to open a connection if none is idle, and counts it as open.
func (b *backend) connectionDelay() time.Duration {
	if b.inflight <= b.connections {
		return 0
	}
	b.connections++
	return connectDelay
}

func (b *backend) scheduleCompletion(j *job) {
	switch {
	case j.overColdLimit:
		b.sim.after(coldFailureDelay, func() { b.finishJob(j, admission.Failed) })
	case b.failFast:
		b.sim.after(failFastDelay, func() { b.finishJob(j, admission.Failed) })
	default:
		b.sim.after(time.Duration(float64(j.demand)*b.totalSlowdown()), func() { b.completeJob(j) })
	}
}

// completeJob finishes a job, after the call to the next level of a chain where there is one.
func (b *backend) completeJob(j *job) {
	if j.callNextLevel == nil {
		b.finishJob(j, admission.Good)
		return
	}
	j.callNextLevel(func(ok bool) {
		if ok {
			b.finishJob(j, admission.Good)
			return
		}
		// A failure at a deeper level of the chain is no evidence against this back end.
		b.finishJob(j, admission.Aborted)
	})
}

func (b *backend) finishJob(j *job, result admission.Result) {
	if j.ended {
		return
	}
	j.ended = true
	b.inflight--
	delete(b.running, j)
	if b.inColdStart {
		b.coldDetectable = b.coldDetectable || !j.start.Before(b.coldSince)
		b.updateColdStart(result)
	}
	j.onEnd(result, b.sim.now.Sub(j.start))
	if len(b.queue) > 0 && b.inflight < b.slots {
		head := b.queue[0]
		b.queue = b.queue[1:]
		b.startJob(head)
	}
}

// updateColdStart counts a finished request and ends the cold start after warmupRequests successful ones.
func (b *backend) updateColdStart(result admission.Result) {
	if result == admission.Good {
		b.completedSinceCold++
	}
	if b.completedSinceCold < warmupRequests {
		return
	}
	b.inColdStart = false
	if b.announcedState == admission.Cold {
		b.announce(admission.Ready)
	}
}

// announce reports a state to the local node at once and to the other nodes after announcementDelay.
func (b *backend) announce(state admission.State) {
	b.announcedState = state
	b.sim.handleAnnouncement(b)
}

// enterColdStart begins a cold start without an announcement.
func (b *backend) enterColdStart() {
	b.inColdStart = true
	b.completedSinceCold = 0
	b.coldDetectable = false
	b.coldSince = b.sim.now
}

// restart resets every connection and begins a cold start, without an announcement.
func (b *backend) restart() {
	b.enterColdStart()
	b.coldDetectable = true
	b.connections = 0
	b.sim.reportConnectionsClosed(b)
	waiting := b.queue
	b.queue = nil
	for _, j := range b.runningJobs() {
		b.finishJob(j, admission.Reset)
	}
	for _, j := range waiting {
		j.onEnd(admission.Reset, 0)
	}
}

// runningJobs returns the running jobs in the order of their start, so that equal seeds give equal runs.
func (b *backend) runningJobs() []*job {
	js := make([]*job, 0, len(b.running))
	for j := range b.running {
		js = append(js, j)
	}
	slices.SortFunc(js, func(a, c *job) int { return cmp.Compare(a.seq, c.seq) })
	return js
}

// scheduleNoise doubles the service time for random periods, as a noisy neighbour on the same physical server does.
func (b *backend) scheduleNoise() {
	r := b.sim.noiseRands[b.id]
	b.sim.after(exponentialDuration(r.Float64(), meanNoiseInterval), func() {
		b.noiseSlowdown = noiseSlowdown
		b.sim.after(exponentialDuration(r.Float64(), meanNoiseDuration), func() {
			b.noiseSlowdown = 1
			b.scheduleNoise()
		})
	})
}

// exponentialDuration converts u, uniform in [0, 1), to an exponentially distributed duration.
func exponentialDuration(u float64, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-u) * float64(mean))
}
