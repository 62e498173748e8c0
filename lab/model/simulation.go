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
	zoneOutLimit      = 3 * time.Second        // after which a zone that was taken out must get no new work
	announcementDelay = 250 * time.Millisecond // from an announcement of a back end to its arrival at the entry nodes
	maxRuleDelay      = time.Second            // longest time from the acceptance of a rule change to its arrival at a node
	callTimeout       = 2 * time.Second
	maxAttempts       = 3

	bottleneckDemand = 2 * meanDemand // mean service demand at the bottleneck level of a chain
	chainSlots       = 96             // at the other levels of a chain, which mostly wait for the bottleneck
)

// Random streams of a run. Each has its own generator, so that draws from one stream do not change the values of the
// others.
const (
	arrivalStream = iota + 1
	demandStream
	policyStream
	ruleStream
	noiseStream // first of the streams of the back ends, one for each
)

// RunConfig configures one simulation run.
type RunConfig struct {
	Deployment      Deployment
	Policy          Policy
	OfferedLoad     float64       // offered calls over the capacity of all back ends
	ReportDelay     time.Duration // added to the age of every load report
	Seed            uint64
	Fault           FaultScenario
	ChainDepth      int // levels of the call chain; up to 1 means a single service
	BottleneckLevel int // overloaded level of a chain, from 1
}

// simulation is the state of one run of a deployment in virtual time.
type simulation struct {
	eventLoop
	run                  RunConfig
	deployment           Deployment
	backends             []*backend
	entries              []*entryNode
	destinations         []*destinationNode
	destinationByBackend map[string]*destinationNode
	result               *Result
	ruleSet              *rule.Set
	arrivalRand          *rand.Rand
	demandRand           *rand.Rand
	ruleRand             *rand.Rand
	noiseRands           []*rand.Rand // by back end
	startedJobs          uint64
	offeredCalls         uint64
	regionsPartitioned   bool   // messages between regions are lost
	removedZone          string // zone that is out of service, empty for none
	centralQueue         *centralQueue
}

func newRand(seed, n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }

func newSimulation(run RunConfig) *simulation {
	sim := &simulation{
		run: run, deployment: run.Deployment, destinationByBackend: map[string]*destinationNode{},
		result:      newResult(),
		ruleSet:     &rule.Set{Zones: map[string]rule.Zone{}},
		arrivalRand: newRand(run.Seed, arrivalStream),
		demandRand:  newRand(run.Seed, demandStream),
		ruleRand:    newRand(run.Seed, ruleStream),
	}
	sim.now = time.Unix(1_000_000, 0)
	sim.centralQueue = &centralQueue{sim: sim}
	for level := range max(1, run.ChainDepth) {
		for i := range sim.deployment.Backends {
			sim.addBackend(level, i)
		}
	}
	for i := range sim.deployment.EntryNodes {
		sim.entries = append(sim.entries, newEntryNode(sim, i, sim.deployment.location(i)))
	}
	sim.publishTargets()
	return sim
}

func (sim *simulation) addBackend(level, i int) {
	b := &backend{
		sim: sim, id: len(sim.backends), name: fmt.Sprintf("s%d-%d", level, i), level: level,
		location: sim.deployment.location(i), slots: sim.slotsAt(level), slowdown: 1, noiseSlowdown: 1,
		announcedState: admission.Ready, running: map[*job]bool{},
	}
	sim.backends = append(sim.backends, b)
	sim.noiseRands = append(sim.noiseRands, newRand(sim.run.Seed, noiseStream+uint64(b.id)))
	d := newDestinationNode(sim, b)
	sim.destinations = append(sim.destinations, d)
	sim.destinationByBackend[b.name] = d
	b.scheduleNoise()
}

// slotsAt returns the concurrency limit of back ends at a level. The levels of a chain other than the bottleneck get
// chainSlots, because their requests mostly wait for other levels.
func (sim *simulation) slotsAt(level int) int {
	if sim.run.ChainDepth > 1 && level+1 != sim.run.BottleneckLevel {
		return chainSlots
	}
	return sim.deployment.Slots
}

func serviceName(level int) string { return "s" + strconv.Itoa(level) }

// publishTargets sends the announced states of all back ends to the entry nodes.
func (sim *simulation) publishTargets() {
	targets := make([]balancer.Target, 0, len(sim.backends))
	for _, b := range sim.backends {
		targets = append(targets, balancer.Target{
			Backend: b.name, Service: serviceName(b.level), Node: b.name,
			Zone: b.location.zone, Region: b.location.region, Slots: b.slots, State: b.announcedState,
		})
	}
	for _, e := range sim.allEntries() {
		e.setTargets(targets)
	}
}

// allEntries returns all entry nodes, including those through which the back ends of a chain call the next level.
func (sim *simulation) allEntries() []*entryNode {
	all := append([]*entryNode(nil), sim.entries...)
	for _, d := range sim.destinations {
		if d.localEntry != nil {
			all = append(all, d.localEntry)
		}
	}
	return all
}

func (sim *simulation) destinationOf(name string) *destinationNode {
	return sim.destinationByBackend[name]
}

// hasFreeSlot reports whether a back end that accepts requests has a free slot.
func (sim *simulation) hasFreeSlot() bool {
	for _, d := range sim.destinations {
		if !d.backend.refusing && !d.backend.failFast && d.backend.inflight < d.admission.View().Limit {
			return true
		}
	}
	return false
}

func (sim *simulation) handleAnnouncement(b *backend) {
	sim.destinations[b.id].updateAdmission(admission.BackendState{State: b.announcedState})
	sim.after(announcementDelay, sim.publishTargets)
}

func (sim *simulation) reportConnectionsClosed(b *backend) {
	sim.destinations[b.id].updateAdmission(admission.ConnectionsClosed{Count: maxConnections, All: true})
}

// setZoneOut takes a zone out of service or back; each node receives the rule within maxRuleDelay.
func (sim *simulation) setZoneOut(zone string, out bool) {
	set := &rule.Set{Zones: map[string]rule.Zone{zone: {Name: zone, Out: out}}}
	for _, e := range sim.allEntries() {
		sim.after(sim.randomRuleDelay(), func() {
			e.balancer.Update(sim.now, balancer.Rules{Set: set})
			e.removedZone = removedZoneName(zone, out)
		})
	}
	for _, d := range sim.destinations {
		if d.backend.location.zone != zone {
			continue
		}
		reason := refusal.None
		d.backend.removedAt = time.Time{}
		if out {
			reason = refusal.ZoneOutOfService
			d.backend.removedAt = sim.now
		}
		sim.after(sim.randomRuleDelay(), func() { d.setOutReason(reason) })
	}
}

// removedZoneName returns zone if it is out of service, otherwise an empty string.
func removedZoneName(zone string, out bool) string {
	if out {
		return zone
	}
	return ""
}

func (sim *simulation) randomRuleDelay() time.Duration {
	return time.Duration(sim.ruleRand.Float64() * float64(maxRuleDelay))
}

// deliver runs the receipt of a message after the network latency, or drops a message between partitioned regions.
func (sim *simulation) deliver(from, to location, run func()) {
	if sim.regionsPartitioned && from.region != to.region {
		return
	}
	sim.after(sim.deployment.latency(from, to), run)
}

// generateCalls offers calls as a Poisson process until end. Its rate is multiplied by a random factor from 0.5 to 1.5,
// which changes every 5 to 20 ms.
func (sim *simulation) generateCalls(end time.Time) {
	rate := sim.callRate()
	factor, nextChange := 1.0, sim.now
	var next func()
	next = func() {
		if !sim.now.Before(end) {
			return
		}
		if !sim.now.Before(nextChange) {
			factor = 0.5 + sim.arrivalRand.Float64()
			nextChange = sim.now.Add(time.Duration((5 + 15*sim.arrivalRand.Float64()) * float64(time.Millisecond)))
		}
		sim.offerCall()
		sim.after(exponentialDuration(sim.arrivalRand.Float64(), time.Duration(float64(time.Second)/(rate*factor))), next)
	}
	sim.after(0, next)
}

// callRate returns the mean offered calls per second.
func (sim *simulation) callRate() float64 {
	rate := sim.run.OfferedLoad * sim.deployment.capacity()
	if sim.run.ChainDepth > 1 {
		rate *= float64(meanDemand) / float64(bottleneckDemand)
	}
	return rate
}

// offerCall starts one call: one in ten is a reservation, with high priority and not idempotent; two in ten have low
// priority.
func (sim *simulation) offerCall() {
	sim.offeredCalls++
	c := &call{
		id: sim.offeredCalls, start: sim.now, deadline: sim.now.Add(callTimeout), demand: sim.randomDemand(),
		priority: rule.PriorityNormal, idempotent: true, sim: sim,
	}
	switch kind := sim.demandRand.Float64(); {
	case kind < 0.1:
		c.priority, c.idempotent = rule.PriorityHigh, false
	case kind < 0.3:
		c.priority = rule.PriorityLow
	}
	sim.result.recordOffered(c)
	e := sim.entries[sim.arrivalRand.IntN(len(sim.entries))]
	sim.run.Policy.startCall(sim, e, c)
}

// randomDemand draws the service demand of a request. In a chain it is divided by ten, and destinationNode.startAttempt
// raises it at the bottleneck level.
func (sim *simulation) randomDemand() time.Duration {
	d := minDemand + exponentialDuration(sim.demandRand.Float64(), meanExtraDemand)
	if sim.run.ChainDepth > 1 {
		return d / 10
	}
	return d
}
