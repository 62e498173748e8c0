package program

import (
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/protocol/control"
)

// recentCallWindow is how long a node subscribes to the load reports of a service after its last call. At the target size a
// node knows the members of 110 services but calls only a few of them; the reports of all services would exceed the
// budget for control traffic.
const recentCallWindow = 30 * time.Second

// recentServices holds the services that callers of this node have called lately; it is safe for concurrent use.
type recentServices struct {
	mu       sync.Mutex
	lastCall map[string]time.Time // by service
}

// recordCall records a call and reports whether the service had no call within recentCallWindow before.
func (s *recentServices) recordCall(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastCall == nil {
		s.lastCall = map[string]time.Time{}
	}
	at, known := s.lastCall[service]
	s.lastCall[service] = now
	return !known || now.Sub(at) > recentCallWindow
}

// includesMember reports whether a member has a back end of a service that was called within recentCallWindow.
func (s *recentServices) includesMember(now time.Time, m *control.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.SomeBy(m.GetBackends(), func(b *control.Backend) bool {
		at, known := s.lastCall[b.GetService()]
		return known && now.Sub(at) <= recentCallWindow
	})
}

// onCallStart subscribes to the load reports of a service at its first call.
func (n *Node) onCallStart(service string) {
	if n.hints != nil && n.recentServices.recordCall(time.Now(), service) {
		n.updateSubscriptions(n.controlClient.State().Members)
	}
}

// updateSubscriptions subscribes to the load reports of the other nodes whose back ends serve a recently called service.
func (n *Node) updateSubscriptions(members []*control.Member) {
	if n.hints == nil {
		return
	}
	var addresses []netip.AddrPort
	now := time.Now()
	for _, m := range members {
		address, err := netip.ParseAddrPort(m.GetHints())
		if err == nil && m.GetNode() != n.cfg.Name && !m.GetGone() && n.recentServices.includesMember(now, m) {
			addresses = append(addresses, address)
		}
	}
	n.hints.SetSubscriptions(addresses)
}
