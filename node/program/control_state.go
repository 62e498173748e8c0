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

// followControl applies every change of rules and members until ctx ends, and logs which control process is followed.
func (n *Node) followControl(ctx context.Context) {
	server := ""
	for {
		changed := n.controlClient.Changed()
		n.applyControlState()
		if current := n.controlClient.State().Server; current != server {
			server = current
			n.events.Emit(event.ControlProcessFollowed, zap.String("server", server))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// applyControlState gives the newest rules and members to the engine and the other parts of the node.
func (n *Node) applyControlState() {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	state := n.controlClient.State()
	targets := n.balancerTargets(state.Members)
	set := n.updateRules(state.Revision, state.RulesText)
	n.engine.Apply(engine.Update{Targets: targets, Rules: set})
	n.updateSubscriptions(state.Members)
	n.allowances.limiter.SetNodes(len(targets))
	n.updateObserver()
	if len(state.Members) > 0 {
		n.membersKnown.Store(true)
	}
	if set != nil {
		// The rules may change the health check and the connections of the back end, so that its announcement must be renewed.
		go n.backend.RefreshAnnouncement()
	}
	n.closeRemovedPeers(targets)
}

// updateRules puts rules in force if their revision is newer and returns them, otherwise nil. If they cannot be parsed, the
// rules that are in force stay.
func (n *Node) updateRules(revision uint64, text string) *rule.Set {
	old := n.activeRules.Load()
	if revision <= old.set.Revision {
		return nil
	}
	set, err := rule.Parse(text)
	if err != nil {
		n.events.Emit(event.RulesApplied, zap.Uint64("revision", old.set.Revision), zap.Uint64("unreadable", revision), zap.Error(err))
		return nil
	}
	set.Revision = revision
	n.allowances.setAccounts(set.Accounts)
	n.activeRules.Store(&activeRules{set: set, text: text, appliedAt: time.Now()})
	n.events.Emit(event.RulesApplied, zap.Uint64("revision", revision), zap.Uint64("number", set.ChangeNumber))
	return set
}

// closeRemovedPeers closes the connections to nodes without a target.
func (n *Node) closeRemovedPeers(targets []balancer.Target) {
	addresses := map[netip.AddrPort]bool{}
	for _, t := range targets {
		addresses[t.PeerAddress] = true
	}
	n.peerClient.RetainPeers(addresses)
}

// rulesRevision returns the revision of the rules in force, 0 before the first rules.
func (n *Node) rulesRevision() uint64 {
	return n.activeRules.Load().set.Revision
}

// onPeerRevision fetches the rules of a node that sent an attempt if their revision is newer.
func (n *Node) onPeerRevision(node string, revision uint64) {
	if revision <= n.rulesRevision() {
		return
	}
	n.peerClient.HearRevision(revision)
	if address, ok := peer.FindAddress(n.balancerTargets(n.controlClient.State().Members), node); ok {
		n.peerClient.ObserveRevision(address, revision)
	}
}
