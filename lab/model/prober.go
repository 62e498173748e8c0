package model

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/probe"
)

const (
	probeServiceTime  = 6 * time.Millisecond // without slowdown
	probeTickInterval = 10 * time.Millisecond
)

// prober sends probes to one back end as core/coordination/probe schedules them within its budget.
type prober struct {
	sim         *simulation
	destination *destinationNode
	model       *probe.Model
	probes      map[uint64]probePeriod
}

type probePeriod struct{ start, end time.Time }

func newProber(sim *simulation, d *destinationNode) *prober {
	p := &prober{sim: sim, destination: d, model: probe.New(probe.Config{Slots: d.backend.slots}), probes: map[uint64]probePeriod{}}
	if sim.run.Policy == Pollenhill && sim.run.ChainDepth <= 1 {
		p.update(probe.Targets{Names: []string{"health", "load"}})
		sim.after(probeTickInterval, p.tick)
	}
	return p
}

func (p *prober) tick() {
	p.update(probe.Tick{})
	p.sim.after(probeTickInterval, p.tick)
}

// recordRequest reports that a request has ended, which replaces a probe of either target.
func (p *prober) recordRequest() {
	p.update(probe.Observed{Target: "health"})
	p.update(probe.Observed{Target: "load"})
}

func (p *prober) update(msg probe.Msg) {
	for _, cmd := range p.model.Update(p.sim.now, msg) {
		switch cmd := cmd.(type) {
		case probe.Start:
			p.startProbe(cmd)
		case probe.Abort:
			p.destination.updateAdmission(admission.HealthCheck{})
		}
	}
}

func (p *prober) startProbe(cmd probe.Start) {
	took := time.Duration(float64(probeServiceTime) * p.destination.backend.totalSlowdown())
	end := p.sim.now.Add(took)
	if end.After(cmd.Deadline) {
		end = cmd.Deadline
	}
	p.probes[cmd.ID] = probePeriod{p.sim.now, end}
	if end.Equal(cmd.Deadline) {
		return
	}
	p.sim.after(took, func() {
		p.update(probe.Done{ID: cmd.ID})
		p.destination.updateAdmission(admission.HealthCheck{OK: true})
	})
}

// maxProbeTime returns the longest total probe time within any one second.
func (p *prober) maxProbeTime() time.Duration {
	var longest time.Duration
	for _, s := range p.probes {
		for _, from := range []time.Time{s.start, s.end.Add(-time.Second)} {
			longest = max(longest, p.probeTimeFrom(from))
		}
	}
	return longest
}

// probeTimeFrom returns the total probe time in the second that starts at from.
func (p *prober) probeTimeFrom(from time.Time) time.Duration {
	var sum time.Duration
	to := from.Add(time.Second)
	for _, s := range p.probes {
		start, end := s.start, s.end
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		sum += max(0, end.Sub(start))
	}
	return sum
}
