package program

import (
	"context"
	"net/netip"
	"strconv"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/transport/backend"
	"pollenhill.example/node/transport/caller"
	client "pollenhill.example/node/transport/control"
)

// ControlClient is the connection of a node to the control processes.
type ControlClient interface {
	caller.Claims
	backend.InstanceHistory
	Run(ctx context.Context) error           // follows a control process until ctx ends
	Announce(m *control.Member)              // replaces what the control processes know about this node
	State() *follow.State                    // newest rules and members
	Changed() <-chan struct{}                // closed at the next change of State
	OfferRules(revision uint64, text string) // takes rules from another node if they are newer
	// ReportUsage reports the use of limited accounts and returns the totals over all nodes.
	ReportUsage(ctx context.Context, req *control.UsageRequest) (*control.UsageResponse, error)

	// Observe sends what this node saw of the back end beside it during a rollout.
	Observe(ctx context.Context, o *control.Observation) error
}

func newControlClient(cfg Settings, credentials *mtls.Credentials) ControlClient {
	return client.New(client.Config{
		Dial:    credentials.WrapDialer(tcp.Dialer{Bind: cfg.Bind, Timeout: client.RequestTimeout, FirstTryTimeout: client.FirstDialTimeout}).DialContext,
		Node:    cfg.Name,
		Zone:    cfg.Zone,
		Region:  cfg.Region,
		Bind:    cfg.Bind,
		Servers: controlServers(cfg),
	})
}

// controlServers returns the control processes and the seeds of the settings. The name of a seed is its address, and its
// region is assumed to be that of the node.
func controlServers(cfg Settings) []client.Server {
	list := lo.Map(cfg.ControlProcesses, func(c ControlProcess, _ int) client.Server {
		return client.Server{Name: c.Name, Address: c.Address, Region: c.Region}
	})
	for _, seed := range cfg.Seeds {
		if address, err := netip.ParseAddrPort(seed); err == nil { // LoadSettings has checked it
			list = append(list, client.Server{Name: seed, Address: address, Region: cfg.Region})
		}
	}
	return list
}

// localMember returns the member record of this node and its back end; gone marks the node as stopped.
func (n *Node) localMember(gone bool) *control.Member {
	m := &control.Member{
		Node:        n.cfg.Name,
		Address:     n.cfg.PeerAddress.String(),
		Zone:        n.cfg.Zone,
		Region:      n.cfg.Region,
		Incarnation: n.incarnation,
		Gone:        gone,
	}
	if n.cfg.HintsAddress.IsValid() {
		m.Hints = n.cfg.HintsAddress.String()
	}
	a, state := n.backend.CurrentAnnouncement()
	if state == admission.Absent {
		return m
	}
	if n.backendLeaving.Load() {
		state = admission.Leaving
	}
	m.Backends = []*control.Backend{{
		Name:        a.Name,
		Service:     a.Service,
		Address:     a.Address.String(),
		Slots:       uint32(a.Slots),
		Connections: uint32(a.Connections),
		State:       control.State(state),
		Start:       a.StartMillis,
		Version:     a.Version,
	}}
	return m
}

// balancerTargets returns the back ends of all running members. Those of this node come from its own state, which is newer
// than what the control processes know.
func (n *Node) balancerTargets(members []*control.Member) []balancer.Target {
	others := lo.Filter(members, func(m *control.Member, _ int) bool { return m.GetNode() != n.cfg.Name && !m.GetGone() })
	return lo.FlatMap(append(others, n.localMember(false)), func(m *control.Member, _ int) []balancer.Target { return memberTargets(m) })
}

// memberTargets returns the back ends of a member, or none if its peer address is invalid.
func memberTargets(m *control.Member) []balancer.Target {
	peer, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return nil
	}
	return lo.Map(m.GetBackends(), func(b *control.Backend, _ int) balancer.Target {
		return balancer.Target{
			Backend:     b.GetName(),
			Service:     b.GetService(),
			Node:        m.GetNode(),
			PeerAddress: peer,
			Zone:        m.GetZone(),
			Region:      m.GetRegion(),
			Incarnation: m.GetIncarnation(),
			Slots:       int(b.GetSlots()),
			State:       admission.State(b.GetState()),
			StartMillis: b.GetStart(),
			Version:     b.GetVersion(),
		}
	})
}

// claimOwnerPrefix returns the prefix of the IDs under which calls of this incarnation of the node claim idempotency keys.
func (n *Node) claimOwnerPrefix() string {
	return n.cfg.Name + "/" + strconv.FormatUint(n.incarnation, 10) + "/call-"
}
