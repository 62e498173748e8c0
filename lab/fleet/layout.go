package fleet

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/lab/state/layout"
)

// Config sets the number of processes and the steps of a measurement.
type Config struct {
	Dir              string // of settings, rule, event and process ID files
	ControlProcesses int
	NodesPerZone     int
	Services         int // in the rule file
	IdleDuration     time.Duration
	RuleChanges      int
	ChangeInterval   time.Duration
	LeaderFault      string // "kill" or "freeze" stops the leader halfway through the changes, "none" does not
	Output           io.Writer
}

func (cfg Config) fleet() layout.Fleet {
	return layout.Fleet{
		Dir: cfg.Dir,
		Zones: lo.Times(5, func(i int) layout.Zone {
			return layout.Zone{Name: fmt.Sprintf("zone-%d", i+1), Region: fmt.Sprintf("region-%d", i/2+1)}
		}),
		Services:     lo.Times(cfg.Services, serviceName),
		VMsPerZone:   cfg.NodesPerZone,
		ControlCount: cfg.ControlProcesses,
		Backend:      layout.BackendSettings{Slots: 12, Connections: 240, ColdSlots: 2, WarmupRequests: 0, MeanServiceTime: "10ms", ProbeTime: "6ms"},
	}
}

func serviceName(i int) string { return fmt.Sprintf("s%d", i+1) }

// ruleBody returns the rules below the header. The deadline of every service depends on the change number, so that every
// change has an effect.
func (cfg Config) ruleBody(changeNumber int) string {
	var b strings.Builder
	for i := range cfg.Services {
		name := serviceName(i)
		fmt.Fprintf(&b, "service %s host=%s.example path=/ # kari: service of the measurement\n", name, name)
		fmt.Fprintf(&b, "limit %s slots=12 connections=240 queue=24 # ola: size of a VM\n", name)
		fmt.Fprintf(&b, "deadline %s %ds # kari: varies\n", name, 1+changeNumber%50)
	}
	return b.String()
}

// Prepare writes the settings of every process and the first rule file.
func Prepare(cfg Config) error {
	f := cfg.fleet()
	if err := f.WriteSettings(); err != nil {
		return err
	}
	return f.ReplaceRuleFile("control-1", 1, "ola: first day", cfg.ruleBody(1))
}
