package watch

import (
	"maps"
	"slices"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/subset"
	"pollenhill.example/core/protocol/control"
)

// Watcher is one stream to a node.
type Watcher struct {
	hub      *Hub
	node     string
	place    subset.Place
	revision uint64              // rules that the node has
	picks    map[string][]string // nodes of the subset by service, sorted
	pending  map[string]struct{} // nodes whose state the stream has to tell
	full     bool                // the next members replace everything
	wake     chan struct{}
}

// Watch starts the stream of a node; end it with Close.
func (h *Hub) Watch(req *control.WatchRequest) *Watcher {
	w := &Watcher{
		hub:      h,
		node:     req.GetNode(),
		place:    subset.Place{Zone: req.GetZone(), Region: req.GetRegion()},
		revision: req.GetRevision(),
		picks:    map[string][]string{},
		pending:  map[string]struct{}{},
		wake:     make(chan struct{}, 1),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for service := range h.services {
		w.repick(service)
	}
	w.full = h.ready
	h.watchers[w] = struct{}{}
	w.signal()
	return w
}

// Close ends the stream.
func (w *Watcher) Close() {
	w.hub.mu.Lock()
	defer w.hub.mu.Unlock()
	delete(w.hub.watchers, w)
}

// Wake returns a channel that receives when Take has something new.
func (w *Watcher) Wake() <-chan struct{} { return w.wake }

// Take returns the messages due for the node, rules first.
func (w *Watcher) Take() []*control.WatchResponse {
	w.hub.mu.Lock()
	defer w.hub.mu.Unlock()
	var out []*control.WatchResponse
	if r := w.hub.history.rules(w.revision); r != nil {
		w.revision = r.GetRevision()
		out = append(out, &control.WatchResponse{Event: &control.WatchResponse_Rules{Rules: r}})
	}
	if m := w.members(); m != nil {
		out = append(out, &control.WatchResponse{Event: &control.WatchResponse_Members{Members: m}})
	}
	return out
}

func (w *Watcher) members() *control.Members {
	if !w.full && len(w.pending) == 0 {
		return nil
	}
	m := &control.Members{Full: w.full}
	nodes := w.pending
	if w.full {
		nodes = lo.Keyify(slices.Concat(lo.Values(w.picks)...))
	}
	for _, node := range slices.Sorted(maps.Keys(nodes)) {
		if in := w.hub.members[node]; in != nil && w.has(node, in) {
			m.Set = append(m.Set, in)
		} else {
			m.Gone = append(m.Gone, node)
		}
	}
	w.full = false
	clear(w.pending)
	return m
}

// has reports whether the node is in the subset of any service of its member m.
func (w *Watcher) has(node string, m *control.Member) bool {
	return lo.SomeBy(services(m), func(s string) bool {
		_, ok := slices.BinarySearch(w.picks[s], node)
		return ok
	})
}

// touch marks a changed member that the node knows.
func (w *Watcher) touch(node string, old *control.Member) {
	if old != nil && w.has(node, old) {
		w.pending[node] = struct{}{}
	}
}

// repick chooses the subset of a service again and marks the differences.
func (w *Watcher) repick(service string) {
	old := w.picks[service]
	picked := subset.Pick(w.node, w.place, w.hub.services[service], subset.Size)
	gone, added := lo.Difference(old, picked)
	for _, node := range slices.Concat(gone, added) {
		w.pending[node] = struct{}{}
	}
	if len(picked) == 0 {
		delete(w.picks, service)
		return
	}
	w.picks[service] = picked
}

func (w *Watcher) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
