package demo

import (
	"fmt"
	"net/netip"
	"path/filepath"

	"github.com/samber/lo"
)

const (
	controlAddress = "127.1.0.1:7000"
	callerAddress  = "127.1.9.1" // source address of the callers
	bookingHost    = "booking.example"
	slots          = 12
	connections    = 240
	cold           = 2 // requests at once that a stand-in bears in cold start
	warm           = 40
	mean           = "10ms"
	probe          = "6ms"
)

// zones of the demo; two nodes run in each, the first beside a booking, the second beside a records back end.
var zones = []string{"oslo-a", "oslo-b", "oslo-c"}

var services = []string{"booking", "records"}

// vm is one VM of the demo with its node and its back end.
type vm struct {
	name    string
	zone    string
	service string
	ip      netip.Addr
}

func vms() []vm {
	return lo.FlatMap(zones, func(zone string, z int) []vm {
		return lo.Map(services, func(service string, i int) vm {
			return vm{
				name:    fmt.Sprintf("%s-%s", service, zone),
				zone:    zone,
				service: service,
				ip:      netip.AddrFrom4([4]byte{127, 1, byte(z + 1), byte(i + 1)}),
			}
		})
	})
}

func (v vm) address(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.ip, port) }
func (v vm) caller() netip.AddrPort             { return v.address(8080) }
func (v vm) peer() netip.AddrPort               { return v.address(8081) }
func (v vm) local() netip.AddrPort              { return v.address(8082) }
func (v vm) backend() netip.AddrPort            { return v.address(9000) }
func (v vm) admin() netip.AddrPort              { return v.address(9001) }

// rulesFile is the file that the operators of the demo edit.
func rulesFile(dir string) string {
	return filepath.Join(dir, "rules.txt")
}
