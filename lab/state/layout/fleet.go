package layout

import (
	"fmt"
	"net/netip"
	"path/filepath"

	"github.com/samber/lo"
)

// Fleet is a set of zones with VMs and control processes.
type Fleet struct {
	Dir          string
	Zones        []Zone
	Services     []string // VM i of a zone runs a back end of service i modulo their number
	VMsPerZone   int      // VMs in each zone
	ControlCount int      // control processes, spread over the zones in turn
	Backend      BackendSettings
}

// Zone is one availability zone.
type Zone struct {
	Name   string
	Region string
}

// BackendSettings sets the size and behaviour of every stand-in.
type BackendSettings struct {
	Slots           int
	Connections     int
	ColdSlots       int    // requests at once in cold start
	WarmupRequests  int    // completed requests that end a cold start
	MeanServiceTime string // mean service time
	ProbeTime       string // time of one probe
}

// VM is one VM with its node and its back end.
type VM struct {
	BackendName string // name of the back end
	Zone        Zone
	Service     string
	IP          netip.Addr
}

// ControlProcess is one control process.
type ControlProcess struct {
	Name    string
	Zone    Zone
	Address netip.AddrPort
}

// VMs returns every VM; zone z holds the addresses 127.1.z.0/24.
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

// ControlProcesses returns every control process; they use the addresses 127.1.200.0/24.
func (f Fleet) ControlProcesses() []ControlProcess {
	return lo.Times(f.ControlCount, func(i int) ControlProcess {
		return ControlProcess{
			Name:    fmt.Sprintf("control-%d", i+1),
			Zone:    f.Zones[i%len(f.Zones)],
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 200, byte(i + 1)}), 7000),
		}
	})
}

// NodeName returns the name of the node of the VM.
func (v VM) NodeName() string { return "node-" + v.BackendName }

// StandinName returns the name of the stand-in's settings.
func (v VM) StandinName() string { return "standin-" + v.BackendName }

// CallerAddress returns the address for callers.
func (v VM) CallerAddress() netip.AddrPort { return netip.AddrPortFrom(v.IP, 8080) }

// PeerAddress returns the address for other nodes.
func (v VM) PeerAddress() netip.AddrPort { return netip.AddrPortFrom(v.IP, 8081) }

// LocalAddress returns the address for the back end, metrics and status.
func (v VM) LocalAddress() netip.AddrPort { return netip.AddrPortFrom(v.IP, 8082) }

// BackendAddress returns the address of the back end.
func (v VM) BackendAddress() netip.AddrPort { return netip.AddrPortFrom(v.IP, 9000) }

// AdminAddress returns the address of the stand-in's counts and faults.
func (v VM) AdminAddress() netip.AddrPort { return netip.AddrPortFrom(v.IP, 9001) }

// RuleFile returns the rule file of a control process.
func (f Fleet) RuleFile(control string) string { return filepath.Join(f.Dir, control+".rules") }

// EventFile returns the event file of a process.
func (f Fleet) EventFile(process string) string { return filepath.Join(f.Dir, process+".events") }
