package layout

import (
	"fmt"
	"net/netip"
	"path/filepath"

	"github.com/samber/lo"
)

// Fleet describes a set of zones with VMs and control processes.
type Fleet struct {
	Dir          string // of settings, rule, event and process ID files
	Zones        []Zone
	Services     []string // assigned to the VMs of a zone in turn
	VMsPerZone   int      // VMs in each zone
	ControlCount int      // control processes, assigned to the zones in turn
	Backend      BackendSettings
}

// Zone is one availability zone.
type Zone struct {
	Name   string
	Region string
}

// BackendSettings configures the stand-in back ends, which are all the same.
type BackendSettings struct {
	Slots           int // concurrency limit
	Connections     int
	ColdSlots       int    // concurrency limit in a cold start
	WarmupRequests  int    // completed requests that end a cold start
	MeanServiceTime string // duration, such as "10ms"
	ProbeTime       string // duration of one probe
}

// VM is a VM with a node and a back end.
type VM struct {
	BackendName string
	Zone        Zone
	Service     string
	IP          netip.Addr
}

// ControlProcess holds the name, zone and address of a control process.
type ControlProcess struct {
	Name    string
	Zone    Zone
	Address netip.AddrPort
}

// VMs returns every VM; those in the zone with number z, from 1, have addresses in 127.1.z.0/24.
func (f Fleet) VMs() []VM {
	return lo.FlatMap(f.Zones, func(zone Zone, z int) []VM {
		return lo.Times(f.VMsPerZone, func(i int) VM {
			service := f.Services[i%len(f.Services)]
			return VM{
				BackendName: fmt.Sprintf("%s-%s-%d", service, zone.Name, i+1),
				Zone:        zone,
				Service:     service,
				IP:          netip.AddrFrom4([4]byte{127, 1, byte(z + 1), byte(i + 1)}),
			}
		})
	})
}

// ControlProcesses returns every control process; their addresses are in 127.1.200.0/24.
func (f Fleet) ControlProcesses() []ControlProcess {
	return lo.Times(f.ControlCount, func(i int) ControlProcess {
		return ControlProcess{
			Name:    fmt.Sprintf("control-%d", i+1),
			Zone:    f.Zones[i%len(f.Zones)],
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 200, byte(i + 1)}), 7000),
		}
	})
}

// NodeName returns the process name of the node.
func (v VM) NodeName() string { return "node-" + v.BackendName }

// StandinName returns the process name of the stand-in back end.
func (v VM) StandinName() string { return "standin-" + v.BackendName }

// CallerAddress returns the address at which the node listens for callers.
func (v VM) CallerAddress() netip.AddrPort { return netip.AddrPortFrom(v.IP, 8080) }

// PeerAddress returns the address at which the node listens for other nodes.
func (v VM) PeerAddress() netip.AddrPort { return netip.AddrPortFrom(v.IP, 8081) }

// LocalAddress returns the address at which the node serves its back end, metrics and status.
func (v VM) LocalAddress() netip.AddrPort { return netip.AddrPortFrom(v.IP, 8082) }

// BackendAddress returns the address of the back end.
func (v VM) BackendAddress() netip.AddrPort { return netip.AddrPortFrom(v.IP, 9000) }

// AdminAddress returns the address at which the stand-in serves its counters and takes faults to inject.
func (v VM) AdminAddress() netip.AddrPort { return netip.AddrPortFrom(v.IP, 9001) }

// RuleFile returns the path of the rule file of a control process.
func (f Fleet) RuleFile(control string) string { return filepath.Join(f.Dir, control+".rules") }

// EventFile returns the path of the event file of a process.
func (f Fleet) EventFile(process string) string { return filepath.Join(f.Dir, process+".events") }
