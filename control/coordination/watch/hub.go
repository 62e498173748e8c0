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

// Hub holds the rules and members of this control process and notifies the watchers of changes; it is safe for concurrent
// use.
type Hub struct {
	mu          sync.Mutex
	members     map[string]*control.Member // by node
	services    map[string][]subset.Member // by service, sorted by node; slices are replaced, never changed
	watchers    map[*Watcher]struct{}      // of nodes
	ruleReaders map[*Watcher]struct{}      // watchers that get rules only
	complete    bool                       // every member is known, so that a full message may replace those of a node
	pending     uint64                     // revision up to which there may be newer rules, 0 if none are known
	history     history
}

// NewHub returns a Hub without members, rules and watchers.
func NewHub() *Hub {
	return &Hub{
		members:     map[string]*control.Member{},
		services:    map[string][]subset.Member{},
		watchers:    map[*Watcher]struct{}{},
		ruleReaders: map[*Watcher]struct{}{},
	}
}

// SetRules sets the rules in force and notifies all watchers; a revision that is not newer is ignored.
func (h *Hub) SetRules(revision, number uint64, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.history.add(version{revision: revision, number: number, text: text}) {
		return
	}
	h.notifyAll()
}

// SetPendingRules sets the revision up to which there may be newer rules than those of the hub, 0 if none are known. Meanwhile nodes
// that have no rules get none: they would serve by rules that other nodes have replaced long ago.
func (h *Hub) SetPendingRules(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision == h.pending {
		return
	}
	h.pending = revision
	h.notifyAll()
}

// rulesFor returns the message that updates the rules of a node to the newest ones, or nil if there is none to send now; the
// caller holds mu.
func (h *Hub) rulesFor(held uint64) *control.Rules {
	if held == 0 && h.history.newest().revision < h.pending {
		return nil
	}
	return h.history.rulesSince(held)
}

// notifyAll notifies all watchers; the caller holds mu.
func (h *Hub) notifyAll() {
	for _, set := range []map[*Watcher]struct{}{h.watchers, h.ruleReaders} {
		for w := range set {
			w.notify()
		}
	}
}

// MarkComplete records that every member is known, and makes each watching node replace its members.
func (h *Hub) MarkComplete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete = true
	for w := range h.watchers {
		w.sendFull = true
		w.notify()
	}
}

// UpdateMembers applies changed and removed members and notifies the watching nodes.
func (h *Hub) UpdateMembers(change membership.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range change.Updated {
		h.setMember(m.GetNode(), m)
	}
	for _, node := range change.Removed {
		h.setMember(node, nil)
	}
	for w := range h.watchers {
		w.notify()
	}
}

// WatcherCount returns the number of watching nodes, without the readers of rules.
func (h *Hub) WatcherCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.watchers)
}

// setMember replaces the member of a node, or removes it if m is nil.
func (h *Hub) setMember(node string, m *control.Member) {
	old := h.members[node]
	if m == nil {
		delete(h.members, node)
	} else {
		h.members[node] = m
	}
	before, after := serviceNames(old), serviceNames(m)
	affected := lo.Union(before, after)
	for w := range h.watchers {
		w.changedNodes[node] = lo.Union(w.changedNodes[node], affected)
	}
	sameLocality := old != nil && m != nil && localityOf(old) == localityOf(m)
	for _, s := range affected {
		if sameLocality && slices.Contains(before, s) && slices.Contains(after, s) {
			continue
		}
		h.updateService(s, node, m, slices.Contains(after, s))
		for w := range h.watchers {
			w.changedServices[s] = struct{}{}
		}
	}
}

// updateService sets the entry of a node in the list of a service if the node serves it, and removes it otherwise.
func (h *Hub) updateService(service, node string, m *control.Member, serves bool) {
	old := h.services[service]
	at, found := slices.BinarySearchFunc(old, node, func(a subset.Member, n string) int { return strings.Compare(a.Node, n) })
	list := slices.Clone(old)
	if found {
		list = slices.Delete(list, at, at+1)
	}
	if serves {
		list = slices.Insert(list, at, subset.Member{Node: node, Locality: localityOf(m)})
	}
	if len(list) == 0 {
		delete(h.services, service)
		return
	}
	h.services[service] = list
}

// serviceNames returns the distinct services of the back ends of a member.
func serviceNames(m *control.Member) []string {
	return lo.Uniq(lo.Map(m.GetBackends(), func(b *control.Backend, _ int) string { return b.GetService() }))
}

func localityOf(m *control.Member) subset.Locality {
	return subset.Locality{Zone: m.GetZone(), Region: m.GetRegion()}
}
