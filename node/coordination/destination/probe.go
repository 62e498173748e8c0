package destination

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/probe"
)

// Paths that the node probes at the back end.
const (
	PathHealth = "/health"
	PathLoad   = "/load"
)

// Probe asks for a probe of the back end; its connection must be closed by Deadline.
type Probe struct {
	ID       uint64
	Path     string // PathHealth or PathLoad
	Deadline time.Time
}

func (Probe) cmd() {}

// ProbeDone reports the end of a Probe.
type ProbeDone struct {
	ID     uint64
	Path   string
	Result ProbeResult
}

func (ProbeDone) msg() {}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=ProbeResult -linecomment

// ProbeResult is the result of a probe; Inconclusive says nothing about the back end.
type ProbeResult int

// Results of a probe.
const (
	Inconclusive ProbeResult = iota // silent
	Healthy                         // fine
	Unhealthy                       // bad
)

// updateProbes passes msg to the probe model, which keeps the probing budget, and returns the probes to start.
func (m *Model) updateProbes(now time.Time, msg probe.Msg) []Cmd {
	var cmds []Cmd
	for _, cmd := range m.probe.Update(now, msg) {
		// probe.Abort needs no effect: every probe ends by itself at its deadline.
		if p, ok := cmd.(probe.Start); ok {
			cmds = append(cmds, Probe{ID: p.ID, Path: p.Target, Deadline: p.Deadline})
		}
	}
	return cmds
}

// configureProbes sets the probing budget from the rules and the probed paths from the announced state.
func (m *Model) configureProbes(now time.Time) []Cmd {
	cfg := probe.Config{Slots: m.limits().Slots}
	if s, ok := m.rules.Service(m.backend.Service); ok {
		cfg.SlotTimeShare = float64(s.ProbeShare)
		if cfg.SlotTimeShare == 0 {
			cfg.SlotTimeShare = probingOff
		}
	}
	cmds := m.updateProbes(now, cfg)
	// A back end of a pool is not probed: it reports its load with every response and its state in heartbeats.
	_, pool := m.rules.Pool(m.backend.Service)
	if pool || m.backend.State == admission.Absent || m.leaving {
		return append(cmds, m.updateProbes(now, probe.Targets{})...)
	}
	return append(cmds, m.updateProbes(now, probe.Targets{Names: []string{PathHealth, PathLoad}})...)
}

// probingOff is the share of slot time that turns probing off; zero would mean the default.
const probingOff = -1

func (m *Model) probeDone(now time.Time, msg ProbeDone) []Cmd {
	cmds := m.updateProbes(now, probe.Done{ID: msg.ID})
	if msg.Path != PathHealth || msg.Result == Inconclusive {
		return cmds
	}
	return append(cmds, m.updateAdmission(now, admission.HealthCheck{OK: msg.Result == Healthy}, false)...)
}

// recordResult tells the probe model how an attempt ended: a good response makes the next health probe unnecessary, a
// failure makes it more urgent.
func (m *Model) recordResult(now time.Time, result admission.Result) []Cmd {
	switch result {
	case admission.Good:
		return m.updateProbes(now, probe.Observed{Target: PathHealth})
	case admission.Reset, admission.Failed:
		return m.updateProbes(now, probe.Suspected{Target: PathHealth})
	case admission.Shed, admission.Aborted:
	}
	return nil
}
