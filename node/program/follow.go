package program

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/engine"
	"pollenhill.example/node/transport/peer"
)

// follow applies every change of rules and members until ctx ends.
func (p *Node) follow(ctx context.Context) {
	server := ""
	for {
		changed := p.control.Changed()
		p.apply()
		if now := p.control.State().Server; now != server {
			server = now
			p.events.Emit(event.ControlProcessFollowed, zap.String("server", server))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// apply hands the newest rules and members to the control goroutine.
func (p *Node) apply() {
	p.applying.Lock()
	defer p.applying.Unlock()
	state := p.control.State()
	targets := p.targets(state.Members)
	set := p.parse(state.Revision, state.RulesText)
	p.engine.Apply(engine.Update{Targets: targets, Rules: set})
	p.subscribe(state.Members)
	if len(state.Members) > 0 {
		p.targeted.Store(true)
	}
	if set != nil {
		// The rules may say more about the back end; its announcement applies again.
		go p.backend.RefreshAnnouncement()
	}
	p.keep(targets)
}

// parse puts newer rules in force; rules that cannot be parsed leave the last good ones in force.
func (p *Node) parse(revision uint64, text string) *rule.Set {
	old := p.rules.Load()
	if revision <= old.set.Revision {
		return nil
	}
	set, err := rule.Parse(text)
	if err != nil {
		p.events.Emit(event.RulesApplied, zap.Uint64("revision", old.set.Revision), zap.Uint64("unreadable", revision), zap.Error(err))
		return nil
	}
	set.Revision = revision
	p.rules.Store(&inForce{set: set, text: text, since: time.Now()})
	p.events.Emit(event.RulesApplied, zap.Uint64("revision", revision), zap.Uint64("number", set.ChangeNumber))
	return set
}

// keep closes connections to nodes that are no members any more.
func (p *Node) keep(targets []balancer.Target) {
	addresses := map[netip.AddrPort]bool{}
	for _, t := range targets {
		addresses[t.PeerAddress] = true
	}
	p.client.RetainPeers(addresses)
}

func (p *Node) revision() uint64 {
	return p.rules.Load().set.Revision
}

// seen fetches newer rules from the node that sent an attempt.
func (p *Node) seen(node string, revision uint64) {
	if revision <= p.revision() {
		return
	}
	if address, ok := peer.FindAddress(p.targets(p.control.State().Members), node); ok {
		p.client.ObserveRevision(address, revision)
	}
}
