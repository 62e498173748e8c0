package model

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

const (
	outLimit  = 3 * time.Second        // after which a zone that is out gets no new work
	directory = 250 * time.Millisecond // from an announcement to the entry nodes
	ruleDelay = time.Second            // longest from an accepted change to a node
	deadline  = 2 * time.Second
	maxTries  = 3
)

// Random streams of a run; each has its own generator, so that one policy's draws do not move another's.
const (
	arrivalStream = iota + 1
	demandStream
	policyStream
	ruleStream
	noiseStream // one for each back end follows
)

// RunConfig describes one run.
type RunConfig struct {
	Deployment      Deployment
	Policy          Policy
	OfferedLoad     float64       // offered calls over the capacity of all upstreams
	ReportDelay     time.Duration // added to the age of every report of load
	Seed            uint64
	Fault           FaultScenario
	ChainDepth      int // levels of the call chain, 1 for a plain call
	BottleneckLevel int // level of a chain whose service is overloaded
}

// world is one deployment in virtual time.
type world struct {
	loop
	run      RunConfig
	dep      Deployment
	backends []*backend
	entries  []*entry
	dests    []*dest
	byName   map[string]*dest
	result   *Result
	set      *rule.Set
	arrivals *rand.Rand
	demands  *rand.Rand
	rules    *rand.Rand
	noise    []*rand.Rand
	started  uint64
	calls    uint64
	cut      bool // regions do not reach each other
	zoneOut  string
	bound    *bound
}

func stream(seed, n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }

func newWorld(run RunConfig) *world {
	w := &world{
		run: run, dep: run.Deployment, byName: map[string]*dest{},
		result:   newResult(),
		set:      &rule.Set{Zones: map[string]rule.Zone{}},
		arrivals: stream(run.Seed, arrivalStream),
		demands:  stream(run.Seed, demandStream),
		rules:    stream(run.Seed, ruleStream),
	}
	w.now = time.Unix(1_000_000, 0)
	w.bound = &bound{w: w}
	for level := range max(1, run.ChainDepth) {
		for i := range w.dep.Backends {
			w.addBackend(level, i)
		}
	}
	for i := range w.dep.EntryNodes {
		w.entries = append(w.entries, newEntry(w, i, w.dep.place(i)))
	}
	w.publish()
	return w
}

func (w *world) addBackend(level, i int) {
	b := &backend{
		w: w, id: len(w.backends), name: fmt.Sprintf("s%d-%d", level, i), service: level,
		place: w.dep.place(i), slots: w.slots(level), slow: 1, noise: 1,
		state: admission.Ready, running: map[*job]bool{},
	}
	w.backends = append(w.backends, b)
	w.noise = append(w.noise, stream(w.run.Seed, noiseStream+uint64(b.id)))
	d := newDest(w, b)
	w.dests = append(w.dests, d)
	w.byName[b.name] = d
	b.disturb()
}

// slots gives the levels of a chain that wait for others all connections as slots.
func (w *world) slots(level int) int {
	if w.run.ChainDepth > 1 && level+1 != w.run.BottleneckLevel {
		return chainSlots
	}
	return w.dep.Slots
}

func serviceName(level int) string { return "s" + strconv.Itoa(level) }

// publish sends the announced states to the entry nodes.
func (w *world) publish() {
	targets := make([]balancer.Target, 0, len(w.backends))
	for _, b := range w.backends {
		targets = append(targets, balancer.Target{
			Backend: b.name, Service: serviceName(b.service), Node: b.name,
			Zone: b.place.zone, Region: b.place.region, Slots: b.slots, State: b.state,
		})
	}
	for _, e := range w.allEntries() {
		e.members(targets)
	}
}

// allEntries includes the local nodes through which the back ends of a chain call the next level.
func (w *world) allEntries() []*entry {
	all := append([]*entry(nil), w.entries...)
	for _, d := range w.dests {
		if d.local != nil {
			all = append(all, d.local)
		}
	}
	return all
}

func (w *world) destOf(name string) *dest { return w.byName[name] }

// free says whether a back end in service has a free slot.
func (w *world) free() bool {
	for _, d := range w.dests {
		if !d.b.refusing && !d.b.failfast && d.b.inflight < d.adm.View().Limit {
			return true
		}
	}
	return false
}

func (w *world) announced(b *backend) {
	w.dests[b.id].send(admission.BackendState{State: b.state})
	w.after(directory, w.publish)
}

func (w *world) closed(b *backend) {
	w.dests[b.id].send(admission.ConnectionsClosed{Count: connections, All: true})
}

// outZone takes a zone out or back in; each node learns of it within ruleDelay.
func (w *world) outZone(zone string, out bool) {
	set := &rule.Set{Zones: map[string]rule.Zone{zone: {Name: zone, Out: out}}}
	for _, e := range w.allEntries() {
		w.after(w.ruleLag(), func() { e.choice.Update(w.now, balancer.Rules{Set: set}); e.out = outOf(zone, out) })
	}
	for _, d := range w.dests {
		if d.b.place.zone != zone {
			continue
		}
		reason := refusal.None
		d.b.outAt = time.Time{}
		if out {
			reason = refusal.ZoneOutOfService
			d.b.outAt = w.now
		}
		w.after(w.ruleLag(), func() { d.limit(reason) })
	}
}

func outOf(zone string, out bool) string {
	if out {
		return zone
	}
	return ""
}

func (w *world) ruleLag() time.Duration {
	return time.Duration(w.rules.Float64() * float64(ruleDelay))
}

// send delivers a message between two places, or loses it while regions are cut off.
func (w *world) send(from, to place, run func()) {
	if w.cut && from.region != to.region {
		return
	}
	w.after(w.dep.delay(from, to), run)
}

// arrive sends calls at a rate that shifts between half and one and a half times the load every 5 to
// 20 ms.
func (w *world) arrive(end time.Time) {
	rate := w.rate()
	factor, shift := 1.0, w.now
	var next func()
	next = func() {
		if !w.now.Before(end) {
			return
		}
		if !w.now.Before(shift) {
			factor = 0.5 + w.arrivals.Float64()
			shift = w.now.Add(time.Duration((5 + 15*w.arrivals.Float64()) * float64(time.Millisecond)))
		}
		w.offer()
		w.after(exponential(w.arrivals.Float64(), time.Duration(float64(time.Second)/(rate*factor))), next)
	}
	w.after(0, next)
}

func (w *world) rate() float64 {
	rate := w.run.OfferedLoad * w.dep.capacity()
	if w.run.ChainDepth > 1 {
		rate *= float64(meanDemand) / float64(narrowDemand)
	}
	return rate
}

// offer sends one call: one in ten is a reservation of high priority, two in ten are of low priority.
func (w *world) offer() {
	w.calls++
	c := &call{
		id: w.calls, began: w.now, deadline: w.now.Add(deadline), demand: w.demand(),
		level: rule.PriorityNormal, idempotent: true, w: w,
	}
	switch kind := w.demands.Float64(); {
	case kind < 0.1:
		c.level, c.idempotent = rule.PriorityHigh, false
	case kind < 0.3:
		c.level = rule.PriorityLow
	}
	w.result.offered(c)
	e := w.entries[w.arrivals.IntN(len(w.entries))]
	w.run.Policy.serve(w, e, c)
}

func (w *world) demand() time.Duration {
	d := leastDemand + exponential(w.demands.Float64(), restDemand)
	if w.run.ChainDepth > 1 {
		return d / 10
	}
	return d
}

const chainSlots = 96 // of the levels of a chain that mostly wait for the narrow one

const narrowDemand = 2 * meanDemand // mean service time at the narrow level of a chain
