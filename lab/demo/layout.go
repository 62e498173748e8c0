package demo

import (
	"github.com/samber/lo"

	"pollenhill.example/lab/state/layout"
)

const (
	editedControl = "control-1" // control process whose rule file is edited
	callerAddress = "127.1.9.1" // source address of the callers
	bookingHost   = "booking.example"
	backendSlots  = 12       // concurrency limit of each back end
	movedZone     = "oslo-b" // zone that moveZone takes out of service
)

// fleet returns 3 zones with one booking and one records back end each, and 1 control process, or 3 if faults are injected,
// since some of the faults stop control processes.
func (cfg Config) fleet() layout.Fleet {
	return layout.Fleet{
		Dir:          cfg.Dir,
		Zones:        []layout.Zone{{Name: "oslo-a", Region: "oslo"}, {Name: movedZone, Region: "oslo"}, {Name: "oslo-c", Region: "oslo"}},
		Services:     []string{"booking", "records"},
		VMsPerZone:   2,
		ControlCount: lo.Ternary(cfg.InjectFaults, 3, 1),
		Backend:      layout.BackendSettings{Slots: backendSlots, Connections: 240, ColdSlots: 2, WarmupRequests: 40, MeanServiceTime: "10ms", ProbeTime: "6ms"},
	}
}

// Prepare writes the settings of every process and the first rule file.
func Prepare(cfg Config) error {
	f := cfg.fleet()
	if err := f.WriteSettings(); err != nil {
		return err
	}
	return f.ReplaceRuleFile(editedControl, 1, "ola: first day", serviceRules)
}

const serviceRules = `service booking host=booking.example path=/ # kari: boat booking
service records host=booking.example path=/book # kari: logbooks to download
limit booking slots=12 connections=240 queue=24 # ola: size of a VM
limit records slots=12 connections=240 queue=24 # ola: size of a VM
deadline booking 2s # kari: rowers wait outside
deadline records 20s # kari: large files
cold booking 2 # ola: what a new server can handle
cold records 2 # ola: what a new server can handle
probe booking 1% # ola: agreed budget
probe records 1% # ola: agreed budget
`

const zoneOutRule = "out zone " + movedZone + " # kari: rewiring tonight\n"
