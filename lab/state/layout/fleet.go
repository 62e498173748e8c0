package layout

import (
	"fmt"
	"net/netip"
	"path/filepath"

	"github.com/samber/lo"
)

// Fleet is a set of zones with VMs and control processes.
type Fleet struct {
	Dir      string
	Zones    []Zone
	Services []string // VM i of a zone runs a back end of service i modulo their number
	PerZone  int      // VMs in each zone
	Controls int      // control processes, spread over the zones in turn
	Backend  Backend
}

// Zone is one availability zone.
type Zone struct {
	Name   string
	Region string
}

// Backend sets the size and behaviour of every stand-in.
type Backend struct {
	Slots       int
	Connections int
	Cold        int    // requests at once in cold start
	Warm        int    // completed requests that end a cold start
	Mean        string // mean service time
	Probe       string // time of one probe
}

// VM is one VM with its node and its back end.
type VM struct {
	Name    string // name of the back end
	Zone    Zone
	Service string
	IP      netip.Addr
}

// Control is one control process.
type Control struct {
	Name    string
	Zone    Zone
	Address netip.AddrPort
}

// VMs returns every VM; zone z holds the addresses 127.1.z.0/24.
func (f Fleet) VMs() []VM {
	return lo.FlatMap(f.Zones, func(zone Zone, z int) []VM {
		return lo.Times(f.PerZone, func(i int) VM {
			service := f.Services[i%len(f.Services)]
			return VM{
				Name:    fmt.Sprintf("%s-%s-%d", service, zone.Name, i+1),
				Zone:    zone,
				Service: service,
				IP:      netip.AddrFrom4([4]byte{127, 1, byte(z + 1), byte(i + 1)}),
			}
		})
	})
}

// ControlList returns every control process; they use the addresses 127.1.200.0/24.
func (f Fleet) ControlList() []Control {
	return lo.Times(f.Controls, func(i int) Control {
		return Control{
			Name:    fmt.Sprintf("control-%d", i+1),
			Zone:    f.Zones[i%len(f.Zones)],
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 200, byte(i + 1)}), 7000),
		}
	})
}

// Node returns the name of the node of the VM.
func (v VM) Node() string { return "node-" + v.Name }

// Standin returns the name of the stand-in's settings.
func (v VM) Standin() string { return "standin-" + v.Name }

// Caller returns the address for callers.
func (v VM) Caller() netip.AddrPort { return netip.AddrPortFrom(v.IP, 8080) }

// Peer returns the address for other nodes.
func (v VM) Peer() netip.AddrPort { return netip.AddrPortFrom(v.IP, 8081) }

// Local returns the address for the back end, metrics and status.
func (v VM) Local() netip.AddrPort { return netip.AddrPortFrom(v.IP, 8082) }

// Address returns the address of the back end.
func (v VM) Address() netip.AddrPort { return netip.AddrPortFrom(v.IP, 9000) }

// Admin returns the address of the stand-in's counts and faults.
func (v VM) Admin() netip.AddrPort { return netip.AddrPortFrom(v.IP, 9001) }

// Rules returns the rule file of a control process.
func (f Fleet) Rules(control string) string { return filepath.Join(f.Dir, control+".rules") }

// Events returns the event file of a process.
func (f Fleet) Events(process string) string { return filepath.Join(f.Dir, process+".events") }
