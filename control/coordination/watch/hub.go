package watch

import (
	"slices"
	"strings"
	"sync"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/membership"
	"pollenhill.example/core/coordination/subset"
	"pollenhill.example/core/protocol/control"
)

// Hub keeps what every watching node has to be told; it is safe for concurrent use.
type Hub struct {
	mu       sync.Mutex
	members  map[string]*control.Member
	services map[string][]subset.Member // sorted by node; slices are replaced, never changed
	watchers map[*Watcher]struct{}
	readers  map[*Watcher]struct{} // get rules only
	ready    bool                  // the members are complete, so that they may replace what a node knows
	history  history
}

// NewHub returns a Hub without members, rules and watchers.
func NewHub() *Hub {
	return &Hub{
		members:  map[string]*control.Member{},
		services: map[string][]subset.Member{},
		watchers: map[*Watcher]struct{}{},
		readers:  map[*Watcher]struct{}{},
	}
}

// SetRules publishes the rules in force; older or equal revisions are ignored.
func (h *Hub) SetRules(revision, number uint64, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.history.add(version{revision: revision, number: number, text: text}) {
		return
	}
	for _, set := range []map[*Watcher]struct{}{h.watchers, h.readers} {
		for w := range set {
			w.signal()
		}
	}
}

// MarkComplete publishes that the members are complete.
func (h *Hub) MarkComplete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = true
	for w := range h.watchers {
		w.full = true
		w.signal()
	}
}

// UpdateMembers publishes changed members.
func (h *Hub) UpdateMembers(change membership.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range change.Updated {
		h.set(m.GetNode(), m)
	}
	for _, node := range change.Removed {
		h.set(node, nil)
	}
	for w := range h.watchers {
		w.signal()
	}
}

// WatcherCount returns the number of watching nodes.
func (h *Hub) WatcherCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.watchers)
}

// set replaces one member, or removes it if m is nil.
func (h *Hub) set(node string, m *control.Member) {
	old := h.members[node]
	if m == nil {
		delete(h.members, node)
	} else {
		h.members[node] = m
	}
	before, after := services(old), services(m)
	touched := lo.Union(before, after)
	for w := range h.watchers {
		w.changed[node] = lo.Union(w.changed[node], touched)
	}
	same := old != nil && m != nil && place(old) == place(m)
	for _, s := range touched {
		if same && slices.Contains(before, s) && slices.Contains(after, s) {
			continue
		}
		h.list(s, node, m, slices.Contains(after, s))
		for w := range h.watchers {
			w.moved[s] = struct{}{}
		}
	}
}

// list replaces or removes a node in the list of a service.
func (h *Hub) list(service, node string, m *control.Member, in bool) {
	old := h.services[service]
	at, found := slices.BinarySearchFunc(old, node, func(a subset.Member, n string) int { return strings.Compare(a.Node, n) })
	list := slices.Clone(old)
	if found {
		list = slices.Delete(list, at, at+1)
	}
	if in {
		list = slices.Insert(list, at, subset.Member{Node: node, Locality: place(m)})
	}
	if len(list) == 0 {
		delete(h.services, service)
		return
	}
	h.services[service] = list
}

// services returns the names of the services of a member.
func services(m *control.Member) []string {
	return lo.Uniq(lo.Map(m.GetBackends(), func(b *control.Backend, _ int) string { return b.GetService() }))
}

func place(m *control.Member) subset.Locality {
	return subset.Locality{Zone: m.GetZone(), Region: m.GetRegion()}
}
