package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/protocol/control"
)

// peer is the state of the exchange with another control process.
type peer struct {
	dueNodes       map[string]time.Time    // nodes to send, and from when
	known          map[string]knownVersion // versions that the peer has, by node
	inFlight       map[string]knownVersion // versions in the unanswered Send, by node
	sendFull       bool                    // the next Send carries all members
	awaitingResult bool                    // a Send has no SendResult yet
	lastSendFailed bool                    // no response to the last Send: the next one is empty, to test the connection
	receivedFull   bool                    // the peer has sent all its members since this process started
	lastHeard      time.Time               // when the last deltas of the peer arrived
	hearsFrom      []string                // control processes that the peer hears from
}

// knownVersion is the version of a node that a peer has.
type knownVersion struct {
	version     version
	fingerprint uint64
}

func newPeer() *peer {
	return &peer{dueNodes: map[string]time.Time{}, known: map[string]knownVersion{}, inFlight: map[string]knownVersion{}}
}

// markDue schedules the sending of a node; an earlier time remains.
func (p *peer) markDue(node string, due time.Time) {
	if old, ok := p.dueNodes[node]; !ok || due.Before(old) {
		p.dueNodes[node] = due
	}
}

func (p *peer) removeNode(node string) {
	delete(p.dueNodes, node)
	delete(p.known, node)
}

// recordKnown records that the peer has a version, unless a newer one is recorded.
func (p *peer) recordKnown(node string, k knownVersion) {
	if old, ok := p.known[node]; !ok || k.version.compare(old.version) > 0 {
		p.known[node] = k
	}
}

// handleExchange merges deltas of another control process and responds to it.
func (m *Model) handleExchange(now time.Time, req *control.ExchangeRequest) []Cmd {
	p, ok := m.peers[req.GetFrom()]
	if !ok {
		p = newPeer() // not in the settings: its deltas are merged, but it is sent nothing
	}
	p.lastHeard = now
	p.hearsFrom = req.GetHeard()
	for _, in := range req.GetMembers() {
		m.mergeMember(now, in, req.GetFrom())
		e := newEntry(in)
		p.recordKnown(in.GetNode(), knownVersion{version: e.version, fingerprint: e.fingerprint})
	}
	resp := &control.ExchangeResponse{}
	for _, r := range req.GetRenewals() {
		if !m.mergeRenewal(now, r, req.GetFrom()) {
			resp.Missing = append(resp.Missing, r.GetNode())
			continue
		}
		p.recordKnown(r.GetNode(), knownVersion{version: version{r.GetIncarnation(), r.GetSequence()}, fingerprint: r.GetPrint()})
	}
	p.receivedFull = p.receivedFull || req.GetFull()
	resp.Full = ok && !p.receivedFull
	resp.Heard = m.heardPeers(now)
	cmds := []Cmd{Respond{Response: resp}}
	if req.GetFull() && !m.ready {
		cmds = append(cmds, m.becomeReady()...)
	}
	return cmds
}

// handleSendResult records what the other control process has now, and what it asks for.
func (m *Model) handleSendResult(now time.Time, msg SendResult) {
	p, ok := m.peers[msg.Peer]
	if !ok || !p.awaitingResult {
		return
	}
	p.awaitingResult = false
	if msg.Response == nil {
		p.lastSendFailed = true
		p.sendFull = true
		clear(p.known)
		return
	}
	p.lastSendFailed = false
	for node, k := range p.inFlight {
		p.recordKnown(node, k)
	}
	for _, node := range msg.Response.GetMissing() {
		delete(p.known, node)
		p.markDue(node, now)
	}
	if msg.Response.GetFull() {
		p.sendFull = true
		clear(p.known) // the peer may have restarted
	}
	p.hearsFrom = msg.Response.GetHeard()
}

// heardPeers returns the control processes that sent deltas within heardTimeout, sorted by name.
func (m *Model) heardPeers(now time.Time) []string {
	names := lo.Keys(lo.PickBy(m.peers, func(_ string, p *peer) bool {
		return !p.lastHeard.IsZero() && now.Sub(p.lastHeard) < heardTimeout
	}))
	slices.Sort(names)
	return names
}

func (m *Model) sendToPeers(now time.Time) []Cmd {
	var cmds []Cmd
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		if req := m.buildRequest(now, m.peers[name]); req != nil {
			cmds = append(cmds, Send{Peer: name, Request: req})
		}
	}
	return cmds
}

// buildRequest returns the next request to a peer, or nil if there is nothing to send or the last Send has no result yet.
func (m *Model) buildRequest(now time.Time, p *peer) *control.ExchangeRequest {
	if p.awaitingResult {
		return nil
	}
	req := &control.ExchangeRequest{From: m.cfg.Name, Heard: m.heardPeers(now)}
	clear(p.inFlight)
	switch {
	case p.lastSendFailed:
	case p.sendFull && m.ready:
		req.Full = true
		p.sendFull = false
		m.addToRequest(req, p, slices.Sorted(maps.Keys(m.entries)))
		clear(p.dueNodes)
	default:
		m.addToRequest(req, p, p.takeDue(now))
		if len(req.Members)+len(req.Renewals) == 0 {
			return nil
		}
	}
	p.awaitingResult = true
	return req
}

// takeDue removes and returns the nodes that are due, sorted by name.
func (p *peer) takeDue(now time.Time) []string {
	var nodes []string
	for node, due := range p.dueNodes {
		if !now.Before(due) {
			nodes = append(nodes, node)
			delete(p.dueNodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// addToRequest adds nodes to a request: as renewals if the peer has the content, else as full members. It leaves out versions
// that the peer has or that it gets from their source itself, and tombstones of expired leases.
func (m *Model) addToRequest(req *control.ExchangeRequest, p *peer, nodes []string) {
	for _, node := range nodes {
		e := m.entries[node]
		if e == nil || e.member == nil && !e.announcedGone {
			continue
		}
		has, ok := p.known[node]
		switch {
		case ok && has.version.compare(e.version) >= 0:
			continue
		case e.source != "" && slices.Contains(p.hearsFrom, e.source) && !req.GetFull():
			continue
		case ok && has.fingerprint == e.fingerprint:
			req.Renewals = append(req.Renewals, e.renewal(node))
		default:
			req.Members = append(req.Members, e.currentMember(node))
		}
		p.inFlight[node] = knownVersion{version: e.version, fingerprint: e.fingerprint}
	}
}
