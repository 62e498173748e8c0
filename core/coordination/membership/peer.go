package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/protocol/control"
)

// peer is what this process knows of another control process.
type peer struct {
	due    map[string]time.Time // nodes to send, with the earliest time
	known  map[string]known     // what the other has, by node
	sent   map[string]known     // what the unanswered Send carries
	full   bool                 // send everything with the next Send
	busy   bool                 // a Reply is due
	failed bool                 // the last Send had no Reply: ask with an empty one first
	synced bool                 // the other sent everything since this process started
	heard  time.Time            // last deltas from the other
	hears  []string             // control processes that the other hears from
}

type known struct {
	version version
	print   uint64
}

func newPeer() *peer {
	return &peer{due: map[string]time.Time{}, known: map[string]known{}, sent: map[string]known{}}
}

// mark plans the sending of a node; an earlier plan stays.
func (p *peer) mark(node string, due time.Time) {
	if old, ok := p.due[node]; !ok || due.Before(old) {
		p.due[node] = due
	}
}

func (p *peer) forget(node string) {
	delete(p.due, node)
	delete(p.known, node)
}

// learn notes that the other has a version; older news changes nothing.
func (p *peer) learn(node string, k known) {
	if old, ok := p.known[node]; !ok || k.version.compare(old.version) > 0 {
		p.known[node] = k
	}
}

// exchange merges deltas of another control process.
func (m *Model) exchange(now time.Time, req *control.ExchangeRequest) []Cmd {
	p, ok := m.peers[req.GetFrom()]
	if !ok {
		p = newPeer() // a process unknown to the settings: merge, send nothing
	}
	p.heard = now
	p.hears = req.GetHeard()
	for _, in := range req.GetMembers() {
		m.accept(now, in, req.GetFrom())
		e := newEntry(in)
		p.learn(in.GetNode(), known{version: e.version, print: e.print})
	}
	resp := &control.ExchangeResponse{}
	for _, r := range req.GetRenewals() {
		if !m.renew(now, r, req.GetFrom()) {
			resp.Missing = append(resp.Missing, r.GetNode())
			continue
		}
		p.learn(r.GetNode(), known{version: version{r.GetIncarnation(), r.GetSequence()}, print: r.GetPrint()})
	}
	p.synced = p.synced || req.GetFull()
	resp.Full = ok && !p.synced
	resp.Heard = m.heard(now)
	cmds := []Cmd{Respond{Response: resp}}
	if req.GetFull() && !m.ready {
		cmds = append(cmds, m.becomeReady()...)
	}
	return cmds
}

// reply notes what the other control process has now.
func (m *Model) reply(now time.Time, msg SendResult) {
	p, ok := m.peers[msg.Peer]
	if !ok || !p.busy {
		return
	}
	p.busy = false
	if msg.Response == nil {
		p.failed = true
		p.full = true
		clear(p.known)
		return
	}
	p.failed = false
	for node, k := range p.sent {
		p.learn(node, k)
	}
	for _, node := range msg.Response.GetMissing() {
		delete(p.known, node)
		p.mark(node, now)
	}
	if msg.Response.GetFull() {
		p.full = true
		clear(p.known) // the other may have restarted
	}
	p.hears = msg.Response.GetHeard()
}

// heard returns the control processes that sent deltas lately.
func (m *Model) heard(now time.Time) []string {
	names := lo.Keys(lo.PickBy(m.peers, func(_ string, p *peer) bool {
		return !p.heard.IsZero() && now.Sub(p.heard) < hearing
	}))
	slices.Sort(names)
	return names
}

func (m *Model) send(now time.Time) []Cmd {
	var cmds []Cmd
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		if req := m.request(now, m.peers[name]); req != nil {
			cmds = append(cmds, Send{Peer: name, Request: req})
		}
	}
	return cmds
}

// request builds the next exchange with a peer, or nil if there is nothing to send.
func (m *Model) request(now time.Time, p *peer) *control.ExchangeRequest {
	if p.busy {
		return nil
	}
	req := &control.ExchangeRequest{From: m.cfg.Name, Heard: m.heard(now)}
	clear(p.sent)
	switch {
	case p.failed:
	case p.full && m.ready:
		req.Full = true
		p.full = false
		m.pack(req, p, slices.Sorted(maps.Keys(m.entries)))
		clear(p.due)
	default:
		m.pack(req, p, p.take(now))
		if len(req.Members)+len(req.Renewals) == 0 {
			return nil
		}
	}
	p.busy = true
	return req
}

// take removes the nodes that are due.
func (p *peer) take(now time.Time) []string {
	var nodes []string
	for node, due := range p.due {
		if !now.Before(due) {
			nodes = append(nodes, node)
			delete(p.due, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// pack adds nodes to a request, as renewals where the peer has the content.
func (m *Model) pack(req *control.ExchangeRequest, p *peer, nodes []string) {
	for _, node := range nodes {
		e := m.entries[node]
		if e == nil || e.member == nil && !e.gone {
			continue
		}
		has, ok := p.known[node]
		switch {
		case ok && has.version.compare(e.version) >= 0:
			continue
		case e.via != "" && slices.Contains(p.hears, e.via) && !req.GetFull():
			continue
		case ok && has.print == e.print:
			req.Renewals = append(req.Renewals, e.renewal(node))
		default:
			req.Members = append(req.Members, e.current(node))
		}
		p.sent[node] = known{version: e.version, print: e.print}
	}
}
