package model

import (
	"time"

	"pollenhill.example/core/coordination/admission"
)

// Times within a run.
const (
	warmUp  = 2 * time.Second
	faultAt = 5 * time.Second
	second  = 7 * time.Second // of a second fault, or the end of a silent one
	backAt  = 9 * time.Second
	runEnd  = 13 * time.Second
)

const (
	stragglerSlow = 5.0
	drainTime     = 3 * time.Second
)

// FaultScenario is a named schedule of faults; the zero value has none.
type FaultScenario struct {
	Name  string
	apply func(*world)
	liar  bool
	move  bool // a zone move
}

// FaultScenarios lists the schedules of the tables.
func FaultScenarios() []FaultScenario {
	return []FaultScenario{
		{Name: "none"},
		{Name: "straggler", apply: straggler},
		{Name: "silent restart", apply: func(w *world) { w.at(faultAt, w.backends[0].restart) }},
		{Name: "silent cold", apply: func(w *world) { w.at(faultAt, w.backends[0].turnCold) }},
		{Name: "announced cold", apply: announcedCold},
		{Name: "fail fast", apply: failFast},
		{Name: "lying reports", apply: straggler, liar: true},
		{Name: "drain", apply: drain},
		{Name: "zone out and back", apply: func(w *world) { zoneMove(w, false) }, move: true},
		{Name: "zone back cold", apply: func(w *world) { zoneMove(w, true) }, move: true},
		{Name: "second fault", apply: func(w *world) {
			straggler(w)
			w.at(second, w.backends[len(w.backends)-1].restart)
		}},
		{Name: "region cut", apply: func(w *world) { w.at(faultAt, func() { w.cut = true }) }},
	}
}

// FaultScenarioNamed returns the schedule of that name, or one without faults.
func FaultScenarioNamed(name string) FaultScenario {
	for _, f := range FaultScenarios() {
		if f.Name == name {
			return f
		}
	}
	return FaultScenario{Name: "none"}
}

// lies says whether the reports of a back end are false: the straggler claims to be idle and fast.
func (f FaultScenario) lies(w *world, b *backend) bool {
	return f.liar && b.id == 0 && !w.now.Before(w.result.fault)
}

func (w *world) at(d time.Duration, run func()) { w.after(d, run) }

func straggler(w *world) {
	w.at(faultAt, func() { w.backends[0].slow = stragglerSlow })
}

// announcedCold is a restart that says so.
func announcedCold(w *world) {
	b := w.backends[0]
	w.at(faultAt, func() {
		b.announce(admission.Cold)
		b.restart()
	})
}

func failFast(w *world) {
	b := w.backends[0]
	w.at(faultAt, func() { b.failfast = true })
	w.at(backAt, func() { b.failfast = false })
}

func drain(w *world) {
	b := w.backends[0]
	w.at(faultAt, func() {
		b.announce(admission.Draining)
		b.refusing = true
	})
	w.at(faultAt+drainTime, func() {
		b.refusing = false
		b.announce(admission.Ready)
	})
}

// zoneMove takes the first zone out and back; cold says that its back ends were restarted meanwhile.
func zoneMove(w *world, cold bool) {
	zone := w.backends[0].place.zone
	w.at(faultAt, func() {
		w.zoneOut = zone
		w.outZone(zone, true)
	})
	w.at(backAt, func() {
		w.zoneOut = ""
		for _, b := range w.backends {
			if cold && b.place.zone == zone {
				b.turnCold()
				b.announce(admission.Cold)
			}
		}
		w.outZone(zone, false)
	})
}
