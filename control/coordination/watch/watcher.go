package watch

import (
	"maps"
	"slices"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/subset"
	"pollenhill.example/core/protocol/control"
)

// Watcher collects the messages for one stream to a node; one goroutine calls TakePending and Close.
type Watcher struct {
	hub      *Hub
	node     string // empty for a reader of rules
	locality subset.Locality
	pending  chan struct{}

	// Owned by the goroutine of the stream, so that choosing subsets does not block the hub.
	sentRevision uint64              // revision of the rules that the node has
	subsets      map[string][]string // sorted nodes of the chosen subset, by service

	// Guarded by the mutex of the hub.
	changedNodes    map[string][]string // services that changed nodes had or have, by node
	changedServices map[string]struct{} // services whose lists of nodes changed
	sendFull        bool                // the next members message replaces all members of the node
}

// Watch registers a watcher for the node of req, or a reader of rules if req names no node; Close removes it.
func (h *Hub) Watch(req *control.WatchRequest) *Watcher {
	w := &Watcher{
		hub:          h,
		node:         req.GetNode(),
		locality:     subset.Locality{Zone: req.GetZone(), Region: req.GetRegion()},
		pending:      make(chan struct{}, 1),
		sentRevision: req.GetRevision(),
		subsets:      map[string][]string{},
		changedNodes: map[string][]string{},
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.node == "" {
		h.ruleReaders[w] = struct{}{}
	} else {
		h.watchers[w] = struct{}{}
		w.changedServices = lo.Keyify(lo.Keys(h.services))
		w.sendFull = h.complete
	}
	w.notify()
	return w
}

// Close removes the watcher from the hub.
func (w *Watcher) Close() {
	w.hub.mu.Lock()
	defer w.hub.mu.Unlock()
	delete(w.hub.watchers, w)
	delete(w.hub.ruleReaders, w)
}

// Pending returns a channel that receives a value when TakePending may return messages.
func (w *Watcher) Pending() <-chan struct{} { return w.pending }

// TakePending returns the messages due for the node, rules first, and counts them as sent.
func (w *Watcher) TakePending() []*control.WatchResponse {
	var messages []*control.WatchResponse
	changes, rules := w.takeChanges()
	if rules != nil {
		w.sentRevision = rules.GetRevision()
		messages = append(messages, &control.WatchResponse{Event: &control.WatchResponse_Rules{Rules: rules}})
	}
	if m := w.updateMembers(changes); m != nil {
		messages = append(messages, &control.WatchResponse{Event: &control.WatchResponse_Members{Members: m}})
	}
	return messages
}

// pendingChanges holds the changes of members since the last call of TakePending.
type pendingChanges struct {
	nodes    map[string][]string        // services that changed nodes had or have, by node
	services map[string][]subset.Member // new lists of nodes, by service
	full     bool
}

// takeChanges returns and resets the pending changes of members, and returns the message with newer rules or nil.
func (w *Watcher) takeChanges() (pendingChanges, *control.Rules) {
	w.hub.mu.Lock()
	defer w.hub.mu.Unlock()
	c := pendingChanges{nodes: w.changedNodes, full: w.sendFull}
	c.services = lo.MapEntries(w.changedServices, func(s string, _ struct{}) (string, []subset.Member) { return s, w.hub.services[s] })
	w.changedNodes = map[string][]string{}
	w.changedServices = map[string]struct{}{}
	w.sendFull = false
	return c, w.hub.rulesFor(w.sentRevision)
}

// updateMembers updates the subsets and returns the message for the node, or nil if nothing changed for it.
func (w *Watcher) updateMembers(c pendingChanges) *control.Members {
	nodes := map[string]struct{}{}
	w.addChangedInSubset(nodes, c)
	for service, list := range c.services {
		w.updateSubset(nodes, service, list)
	}
	w.addChangedInSubset(nodes, c)
	if c.full {
		nodes = lo.Keyify(slices.Concat(lo.Values(w.subsets)...))
	}
	if len(nodes) == 0 && !c.full {
		return nil
	}
	return w.membersMessage(slices.Sorted(maps.Keys(nodes)), c.full)
}

// addChangedInSubset adds the changed nodes that are in the subset of one of their services to nodes.
func (w *Watcher) addChangedInSubset(nodes map[string]struct{}, c pendingChanges) {
	for node, services := range c.nodes {
		if w.inSubset(node, services) {
			nodes[node] = struct{}{}
		}
	}
}

// updateSubset chooses the subset of a service again and adds the nodes that joined or left it to nodes.
func (w *Watcher) updateSubset(nodes map[string]struct{}, service string, list []subset.Member) {
	picked := subset.Pick(w.node, w.locality, list, subset.Size)
	removed, added := lo.Difference(w.subsets[service], picked)
	for _, node := range slices.Concat(removed, added) {
		nodes[node] = struct{}{}
	}
	if len(picked) == 0 {
		delete(w.subsets, service)
		return
	}
	w.subsets[service] = picked
}

// membersMessage returns a message that sets each of the nodes that is in a subset and removes the others.
func (w *Watcher) membersMessage(nodes []string, full bool) *control.Members {
	w.hub.mu.Lock()
	defer w.hub.mu.Unlock()
	msg := &control.Members{Full: full}
	for _, node := range nodes {
		m := w.hub.members[node]
		// The next TakePending decides about a node that has changed since takeChanges, unless it was removed.
		_, changedAgain := w.changedNodes[node]
		if m != nil && (changedAgain || w.inSubset(node, serviceNames(m))) {
			msg.Set = append(msg.Set, m)
		} else {
			msg.Gone = append(msg.Gone, node)
		}
	}
	return msg
}

// inSubset reports whether the node is in the subset of any of the services.
func (w *Watcher) inSubset(node string, services []string) bool {
	return lo.SomeBy(services, func(s string) bool {
		_, ok := slices.BinarySearch(w.subsets[s], node)
		return ok
	})
}

func (w *Watcher) notify() {
	select {
	case w.pending <- struct{}{}:
	default:
	}
}
