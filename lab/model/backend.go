package model

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pollenhill.example/core/coordination/admission"
)

// The service time of a request is 2 ms plus an exponential part of 8 ms; it belongs to the request,
// so another server at the same speed takes as long.
const (
	leastDemand = 2 * time.Millisecond
	restDemand  = 8 * time.Millisecond
	meanDemand  = leastDemand + restDemand
)

const (
	connections = 240
	coldCap     = 2
	coldWork    = 40 // requests that warm a cold back end up
	coldSlow    = 4.0
	coldFail    = 5 * time.Millisecond // after which a request above the cold cap fails
	fastFail    = time.Millisecond
	noiseSlow   = 2.0
	noiseGap    = time.Second
	noiseLength = 20 * time.Millisecond
	connectTime = time.Millisecond
)

// job is one request at a back end.
type job struct {
	demand time.Duration
	end    func(admission.Result, time.Duration)
	began  time.Time
	over   bool
	next   func(func(bool)) // call to the next level of a chain, nil at the end
	ended  bool
	seq    uint64
}

// backend is a queue model: slots in parallel, each at the speed of the moment a request starts.
type backend struct {
	w         *world
	id        int
	name      string
	service   int
	place     place
	slots     int
	state     admission.State // announced
	cold      bool            // true state
	warmed    int
	slow      float64
	noise     float64
	failfast  bool
	refusing  bool // takes no new requests: drained or switched off
	inflight  int
	queue     []*job
	running   map[*job]bool
	open      int // connections from the destination node
	evident   bool
	coldSince time.Time

	over  int // requests above the cold cap
	known int // of these, after the first sign that the node could see
	tail  int // requests started in an outed zone after the limit of 3 s
	outAt time.Time
}

func (b *backend) speed() float64 {
	if b.cold {
		return b.slow * b.noise * coldSlow
	}
	return b.slow * b.noise
}

// submit queues a request at the back end itself, as servers without admission in front do.
func (b *backend) submit(j *job) {
	switch {
	case b.refusing, b.inflight+len(b.queue) >= connections:
		b.w.after(0, func() { j.end(admission.Shed, 0) })
	case b.inflight >= b.slots:
		b.queue = append(b.queue, j)
	default:
		b.begin(j)
	}
}

func (b *backend) begin(j *job) {
	b.inflight++
	b.running[j] = true
	b.w.started++
	j.seq = b.w.started
	j.began = b.w.now
	if !b.outAt.IsZero() && b.w.now.Sub(b.outAt) > outLimit {
		b.tail++
	}
	b.w.after(b.connect(), func() { b.work(j) })
	if b.cold && b.inflight > coldCap {
		j.over = true
		b.over++
		if b.evident {
			b.known++
		}
	}
}

// connect is the cost of a new connection when none is idle.
func (b *backend) connect() time.Duration {
	if b.inflight <= b.open {
		return 0
	}
	b.open++
	return connectTime
}

func (b *backend) work(j *job) {
	switch {
	case j.over:
		b.w.after(coldFail, func() { b.finish(j, admission.Failed) })
	case b.failfast:
		b.w.after(fastFail, func() { b.finish(j, admission.Failed) })
	default:
		b.w.after(time.Duration(float64(j.demand)*b.speed()), func() { b.call(j) })
	}
}

func (b *backend) call(j *job) {
	if j.next == nil {
		b.finish(j, admission.Good)
		return
	}
	j.next(func(ok bool) {
		if ok {
			b.finish(j, admission.Good)
			return
		}
		// A refusal further down says nothing about this back end.
		b.finish(j, admission.Aborted)
	})
}

func (b *backend) finish(j *job, result admission.Result) {
	if j.ended {
		return
	}
	j.ended = true
	b.inflight--
	delete(b.running, j)
	if b.cold {
		b.evident = b.evident || !j.began.Before(b.coldSince)
		b.warm(result)
	}
	j.end(result, b.w.now.Sub(j.began))
	if len(b.queue) > 0 && b.inflight < b.slots {
		head := b.queue[0]
		b.queue = b.queue[1:]
		b.begin(head)
	}
}

func (b *backend) warm(result admission.Result) {
	if result == admission.Good {
		b.warmed++
	}
	if b.warmed < coldWork {
		return
	}
	b.cold = false
	if b.state == admission.Cold {
		b.announce(admission.Ready)
	}
}

// announce tells the local node at once and the other nodes after the delay of the directory.
func (b *backend) announce(state admission.State) {
	b.state = state
	b.w.announced(b)
}

// turnCold turns the back end cold; it says nothing.
func (b *backend) turnCold() {
	b.cold = true
	b.warmed = 0
	b.evident = false
	b.coldSince = b.w.now
}

// restart resets every connection and comes back cold, without an announcement.
func (b *backend) restart() {
	b.turnCold()
	b.evident = true
	b.open = 0
	b.w.closed(b)
	waiting := b.queue
	b.queue = nil
	for _, j := range b.jobs() {
		b.finish(j, admission.Reset)
	}
	for _, j := range waiting {
		j.end(admission.Reset, 0)
	}
}

// jobs returns the running jobs in the order of their start, so that runs repeat exactly.
func (b *backend) jobs() []*job {
	js := make([]*job, 0, len(b.running))
	for j := range b.running {
		js = append(js, j)
	}
	slices.SortFunc(js, func(a, c *job) int { return cmp.Compare(a.seq, c.seq) })
	return js
}

// disturb lets a noisy neighbour take half of the speed now and then.
func (b *backend) disturb() {
	r := b.w.noise[b.id]
	b.w.after(exponential(r.Float64(), noiseGap), func() {
		b.noise = noiseSlow
		b.w.after(exponential(r.Float64(), noiseLength), func() {
			b.noise = 1
			b.disturb()
		})
	})
}

func exponential(u float64, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-u) * float64(mean))
}
