package destination

import (
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/probe"
)

// Paths that the node reads at the back end.
const (
	PathHealth = "/health"
	PathLoad   = "/load"
)

// Probe asks for a check, whose connection must be closed at Until at the latest.
type Probe struct {
	ID       uint64
	Path     string
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

// ProbeResult is what a check showed; Silent proves nothing.
type ProbeResult int

// Findings of a check.
const (
	Inconclusive ProbeResult = iota // silent
	Healthy                         // fine
	Unhealthy                       // bad
)

// probes runs msg through the measuring budget.
func (m *Model) probes(now time.Time, msg probe.Msg) []Cmd {
	var cmds []Cmd
	for _, cmd := range m.probe.Update(now, msg) {
		// Abort needs no effect: every probe ends by itself at Until.
		if p, ok := cmd.(probe.Start); ok {
			cmds = append(cmds, Probe{ID: p.ID, Path: p.Target, Deadline: p.Deadline})
		}
	}
	return cmds
}

// budget sets the measuring budget from the rules and the targets from the announced state.
func (m *Model) budget(now time.Time) []Cmd {
	cfg := probe.Config{Slots: m.limits().Slots}
	if s, ok := m.rules.Service(m.backend.Service); ok {
		cfg.SlotTimeShare = float64(s.ProbeShare)
		if cfg.SlotTimeShare == 0 {
			cfg.SlotTimeShare = noShare
		}
	}
	cmds := m.probes(now, cfg)
	// A back end of a pool reports its load with every response, and its beats tell the rest.
	_, pool := m.rules.Pool(m.backend.Service)
	if pool || m.backend.State == admission.Absent || m.leaving {
		return append(cmds, m.probes(now, probe.Targets{})...)
	}
	return append(cmds, m.probes(now, probe.Targets{Names: []string{PathHealth, PathLoad}})...)
}

// noShare turns probing off; zero would mean the default.
const noShare = -1

func (m *Model) checked(now time.Time, msg ProbeDone) []Cmd {
	cmds := m.probes(now, probe.Done{ID: msg.ID})
	if msg.Path != PathHealth || msg.Result == Inconclusive {
		return cmds
	}
	return append(cmds, m.admit(now, admission.HealthCheck{OK: msg.Result == Healthy}, false)...)
}

// learn takes responses as evidence, which saves probes, and failures as a reason to look.
func (m *Model) learn(now time.Time, result admission.Result) []Cmd {
	switch result {
	case admission.Good:
		return m.probes(now, probe.Observed{Target: PathHealth})
	case admission.Reset, admission.Failed:
		return m.probes(now, probe.Suspected{Target: PathHealth})
	case admission.Shed, admission.Aborted:
	}
	return nil
}
