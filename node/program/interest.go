package program

import (
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/protocol/control"
)

// interestLasts is how long a node follows the load of a service after its last call: at the target size a node knows
// the members of 110 services and calls a few of them, and reports of all would cost it more than control may.
const interestLasts = 30 * time.Second

// interest holds the services that callers of this node use; it is safe for concurrent use.
type interest struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// note records a call and reports whether the service was of no interest before.
func (i *interest) note(now time.Time, service string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.last == nil {
		i.last = map[string]time.Time{}
	}
	at, known := i.last[service]
	i.last[service] = now
	return !known || now.Sub(at) > interestLasts
}

// in reports whether a member has a back end of a service that is of interest.
func (i *interest) in(now time.Time, m *control.Member) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return lo.SomeBy(m.GetBackends(), func(b *control.Backend) bool {
		at, known := i.last[b.GetService()]
		return known && now.Sub(at) <= interestLasts
	})
}

// called follows the load of a service from its first call on.
func (p *Node) called(service string) {
	if p.hints != nil && p.interest.note(time.Now(), service) {
		p.subscribe(p.control.State().Members)
	}
}

// subscribe asks the nodes whose load is of interest for it, but not this one.
func (p *Node) subscribe(members []*control.Member) {
	if p.hints == nil {
		return
	}
	var addresses []netip.AddrPort
	now := time.Now()
	for _, m := range members {
		address, err := netip.ParseAddrPort(m.GetHints())
		if err == nil && m.GetNode() != p.cfg.Name && !m.GetGone() && p.interest.in(now, m) {
			addresses = append(addresses, address)
		}
	}
	p.hints.SetSubscriptions(addresses)
}
