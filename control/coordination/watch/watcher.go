package watch

import (
	"maps"
	"slices"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/subset"
	"pollenhill.example/core/protocol/control"
)

// Watcher is one stream to a node; Take and Close are for one goroutine.
type Watcher struct {
	hub   *Hub
	node  string
	place subset.Locality
	wake  chan struct{}

	// Owned by the goroutine of the stream, so that choosing subsets does not hold up the hub.
	revision uint64              // rules that the node has
	picks    map[string][]string // nodes of the subset by service, sorted

	// Guarded by the mutex of the hub.
	changed map[string][]string // changed nodes with the services they had or have
	moved   map[string]struct{} // services whose lists changed
	full    bool                // the next members replace everything
}

// Watch starts the stream of a node, without a node that of a reader of rules; end it with Close.
func (h *Hub) Watch(req *control.WatchRequest) *Watcher {
	w := &Watcher{
		hub:      h,
		node:     req.GetNode(),
		place:    subset.Locality{Zone: req.GetZone(), Region: req.GetRegion()},
		wake:     make(chan struct{}, 1),
		revision: req.GetRevision(),
		picks:    map[string][]string{},
		changed:  map[string][]string{},
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.node == "" {
		h.readers[w] = struct{}{}
	} else {
		h.watchers[w] = struct{}{}
		w.moved = lo.Keyify(lo.Keys(h.services))
		w.full = h.ready
	}
	w.signal()
	return w
}

// Close ends the stream.
func (w *Watcher) Close() {
	w.hub.mu.Lock()
	defer w.hub.mu.Unlock()
	delete(w.hub.watchers, w)
	delete(w.hub.readers, w)
}

// Pending returns a channel that receives when Take may have something new.
func (w *Watcher) Pending() <-chan struct{} { return w.wake }

// TakePending returns the messages due for the node, rules first.
func (w *Watcher) TakePending() []*control.WatchResponse {
	var out []*control.WatchResponse
	work, rules := w.work()
	if rules != nil {
		w.revision = rules.GetRevision()
		out = append(out, &control.WatchResponse{Event: &control.WatchResponse_Rules{Rules: rules}})
	}
	if m := w.members(work); m != nil {
		out = append(out, &control.WatchResponse{Event: &control.WatchResponse_Members{Members: m}})
	}
	return out
}

// work is what one Take has to look at.
type work struct {
	changed map[string][]string
	moved   map[string][]subset.Member // new lists by service
	full    bool
}

// work takes everything pending.
func (w *Watcher) work() (work, *control.Rules) {
	w.hub.mu.Lock()
	defer w.hub.mu.Unlock()
	k := work{changed: w.changed, full: w.full}
	k.moved = lo.MapEntries(w.moved, func(s string, _ struct{}) (string, []subset.Member) { return s, w.hub.services[s] })
	w.changed = map[string][]string{}
	w.moved = map[string]struct{}{}
	w.full = false
	return k, w.hub.history.rules(w.revision)
}

// members updates the subsets and returns the message for the node, or nil if nothing changed for it.
func (w *Watcher) members(k work) *control.Members {
	nodes := map[string]struct{}{}
	w.collect(nodes, k)
	for service, list := range k.moved {
		w.repick(nodes, service, list)
	}
	w.collect(nodes, k)
	if k.full {
		nodes = lo.Keyify(slices.Concat(lo.Values(w.picks)...))
	}
	if len(nodes) == 0 && !k.full {
		return nil
	}
	return w.message(slices.Sorted(maps.Keys(nodes)), k.full)
}

// collect adds the changed nodes that are in the subset.
func (w *Watcher) collect(nodes map[string]struct{}, k work) {
	for node, services := range k.changed {
		if w.has(node, services) {
			nodes[node] = struct{}{}
		}
	}
}

// repick chooses the subset of a service again and adds the differences to nodes.
func (w *Watcher) repick(nodes map[string]struct{}, service string, list []subset.Member) {
	picked := subset.Pick(w.node, w.place, list, subset.Size)
	gone, added := lo.Difference(w.picks[service], picked)
	for _, node := range slices.Concat(gone, added) {
		nodes[node] = struct{}{}
	}
	if len(picked) == 0 {
		delete(w.picks, service)
		return
	}
	w.picks[service] = picked
}

func (w *Watcher) message(nodes []string, full bool) *control.Members {
	w.hub.mu.Lock()
	defer w.hub.mu.Unlock()
	msg := &control.Members{Full: full}
	for _, node := range nodes {
		m := w.hub.members[node]
		// A node that changed since work is decided about by the next Take, unless it is gone.
		_, again := w.changed[node]
		if m != nil && (again || w.has(node, services(m))) {
			msg.Set = append(msg.Set, m)
		} else {
			msg.Gone = append(msg.Gone, node)
		}
	}
	return msg
}

// has reports whether the node is in the subset of any of the services.
func (w *Watcher) has(node string, services []string) bool {
	return lo.SomeBy(services, func(s string) bool {
		_, ok := slices.BinarySearch(w.picks[s], node)
		return ok
	})
}

func (w *Watcher) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
