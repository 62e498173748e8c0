package model

import (
	"time"

	"pollenhill.example/core/coordination/admission"
)

// Times since the start of a run.
const (
	warmUpEnd        = 2 * time.Second
	faultStart       = 5 * time.Second
	secondFaultStart = 7 * time.Second // in the scenario with two faults
	faultEnd         = 9 * time.Second
	runEnd           = 13 * time.Second
)

const (
	stragglerSlowdown = 5.0
	drainDuration     = 3 * time.Second
)

// FaultScenario is a named schedule of faults; the zero value has no faults.
type FaultScenario struct {
	Name             string
	apply            func(*simulation) // schedules the faults, nil without faults
	falseLoadReports bool              // the first back end reports no load
	movesZone        bool              // takes a zone out of service and back
}

// FaultScenarios lists every scenario in the order of the tables, the one without faults first.
func FaultScenarios() []FaultScenario {
	return []FaultScenario{
		{Name: "none"},
		{Name: "straggler", apply: scheduleStraggler},
		{Name: "silent restart", apply: func(sim *simulation) { sim.scheduleAt(faultStart, sim.backends[0].restart) }},
		{Name: "silent cold", apply: func(sim *simulation) { sim.scheduleAt(faultStart, sim.backends[0].enterColdStart) }},
		{Name: "announced cold", apply: scheduleAnnouncedRestart},
		{Name: "fail fast", apply: scheduleFailFast},
		{Name: "lying reports", apply: scheduleStraggler, falseLoadReports: true},
		{Name: "drain", apply: scheduleDrain},
		{Name: "zone out and back", apply: func(sim *simulation) { scheduleZoneMove(sim, false) }, movesZone: true},
		{Name: "zone back cold", apply: func(sim *simulation) { scheduleZoneMove(sim, true) }, movesZone: true},
		{Name: "second fault", apply: func(sim *simulation) {
			scheduleStraggler(sim)
			sim.scheduleAt(secondFaultStart, sim.backends[len(sim.backends)-1].restart)
		}},
		{Name: "region cut", apply: func(sim *simulation) { sim.scheduleAt(faultStart, func() { sim.regionsPartitioned = true }) }},
	}
}

// FaultScenarioNamed returns the scenario with that name, or one without faults.
func FaultScenarioNamed(name string) FaultScenario {
	for _, f := range FaultScenarios() {
		if f.Name == name {
			return f
		}
	}
	return FaultScenario{Name: "none"}
}

// hasFalseReport reports whether the load reports of a back end are false now. Only the straggler sends false ones,
// which claim that it is idle and fast.
func (f FaultScenario) hasFalseReport(sim *simulation, b *backend) bool {
	return f.falseLoadReports && b.id == 0 && !sim.now.Before(sim.result.faultStart)
}

// scheduleAt runs an event at an offset from the start; it works only before the first event has run.
func (sim *simulation) scheduleAt(d time.Duration, run func()) { sim.after(d, run) }

func scheduleStraggler(sim *simulation) {
	sim.scheduleAt(faultStart, func() { sim.backends[0].slowdown = stragglerSlowdown })
}

// scheduleAnnouncedRestart restarts a back end that announces its cold start.
func scheduleAnnouncedRestart(sim *simulation) {
	b := sim.backends[0]
	sim.scheduleAt(faultStart, func() {
		b.announce(admission.Cold)
		b.restart()
	})
}

func scheduleFailFast(sim *simulation) {
	b := sim.backends[0]
	sim.scheduleAt(faultStart, func() { b.failFast = true })
	sim.scheduleAt(faultEnd, func() { b.failFast = false })
}

func scheduleDrain(sim *simulation) {
	b := sim.backends[0]
	sim.scheduleAt(faultStart, func() {
		b.announce(admission.Draining)
		b.refusing = true
	})
	sim.scheduleAt(faultStart+drainDuration, func() {
		b.refusing = false
		b.announce(admission.Ready)
	})
}

// scheduleZoneMove takes the first zone out of service and back. If cold is set, its back ends return in cold start, as
// after a restart.
func scheduleZoneMove(sim *simulation, cold bool) {
	zone := sim.backends[0].location.zone
	sim.scheduleAt(faultStart, func() {
		sim.removedZone = zone
		sim.setZoneOut(zone, true)
	})
	sim.scheduleAt(faultEnd, func() {
		sim.removedZone = ""
		for _, b := range sim.backends {
			if cold && b.location.zone == zone {
				b.enterColdStart()
				b.announce(admission.Cold)
			}
		}
		sim.setZoneOut(zone, false)
	})
}
