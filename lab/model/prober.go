package model

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/probe"
)

const (
	probeCost = 6 * time.Millisecond
	probeTick = 10 * time.Millisecond
)

// prober measures one back end within the budget of core/coordination/probe.
type prober struct {
	w     *world
	d     *dest
	m     *probe.Model
	spans map[uint64]span
}

type span struct{ start, end time.Time }

func newProber(w *world, d *dest) *prober {
	p := &prober{w: w, d: d, m: probe.New(probe.Config{Slots: d.b.slots}), spans: map[uint64]span{}}
	if w.run.Policy == Pollenhill && w.run.ChainDepth <= 1 {
		p.send(probe.Targets{Names: []string{"health", "load"}})
		w.after(probeTick, p.tick)
	}
	return p
}

func (p *prober) tick() {
	p.send(probe.Tick{})
	p.w.after(probeTick, p.tick)
}

func (p *prober) evidence() {
	p.send(probe.Observed{Target: "health"})
	p.send(probe.Observed{Target: "load"})
}

func (p *prober) send(msg probe.Msg) {
	for _, cmd := range p.m.Update(p.w.now, msg) {
		switch cmd := cmd.(type) {
		case probe.Start:
			p.start(cmd)
		case probe.Abort:
			p.d.send(admission.HealthCheck{})
		}
	}
}

func (p *prober) start(cmd probe.Start) {
	took := time.Duration(float64(probeCost) * p.d.b.speed())
	end := p.w.now.Add(took)
	if end.After(cmd.Deadline) {
		end = cmd.Deadline
	}
	p.spans[cmd.ID] = span{p.w.now, end}
	if end.Equal(cmd.Deadline) {
		return
	}
	p.w.after(took, func() {
		p.send(probe.Done{ID: cmd.ID})
		p.d.send(admission.HealthCheck{OK: true})
	})
}

// most returns the most probe time within any one second.
func (p *prober) most() time.Duration {
	var most time.Duration
	for _, s := range p.spans {
		for _, from := range []time.Time{s.start, s.end.Add(-time.Second)} {
			most = max(most, p.within(from))
		}
	}
	return most
}

func (p *prober) within(from time.Time) time.Duration {
	var sum time.Duration
	to := from.Add(time.Second)
	for _, s := range p.spans {
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
