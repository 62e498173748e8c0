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
	"pollenhill.example/node/transport/caller"
	client "pollenhill.example/node/transport/control"
)

// ControlClient is what a node needs of the control processes.
type ControlClient interface {
	caller.Claims
	Run(ctx context.Context) error
	Announce(m *control.Member)
	State() *follow.State
	Changed() <-chan struct{}
	OfferRules(revision uint64, text string)
}

func newControl(cfg Settings, source *mtls.Credentials) ControlClient {
	return client.New(client.Config{
		Dial:    source.WrapDialer(tcp.Dialer{Bind: cfg.Bind, Timeout: client.RequestTimeout, FirstTryTimeout: client.FirstDialTimeout}).DialContext,
		Node:    cfg.Name,
		Zone:    cfg.Zone,
		Region:  cfg.Region,
		Bind:    cfg.Bind,
		Servers: servers(cfg),
	})
}

// servers returns the control processes of the settings; the name of a seed is its address.
func servers(cfg Settings) []client.Server {
	list := lo.Map(cfg.ControlProcesses, func(c ControlProcess, _ int) client.Server {
		return client.Server{Name: c.Name, Address: c.Address, Region: c.Region}
	})
	for _, seed := range cfg.Seeds {
		if address, err := netip.ParseAddrPort(seed); err == nil { // checked by Load
			list = append(list, client.Server{Name: seed, Address: address, Region: cfg.Region})
		}
	}
	return list
}

// member describes this node and its back end to the control processes.
func (p *Node) member(gone bool) *control.Member {
	m := &control.Member{
		Node:        p.cfg.Name,
		Address:     p.cfg.PeerAddress.String(),
		Zone:        p.cfg.Zone,
		Region:      p.cfg.Region,
		Incarnation: p.incarnation,
		Gone:        gone,
	}
	if p.cfg.HintsAddress.IsValid() {
		m.Hints = p.cfg.HintsAddress.String()
	}
	a, state := p.backend.CurrentAnnouncement()
	if state == admission.Absent {
		return m
	}
	if p.ending.Load() {
		state = admission.Leaving
	}
	m.Backends = []*control.Backend{{
		Name:        a.Name,
		Service:     a.Service,
		Address:     a.Address.String(),
		Slots:       uint32(a.Slots),
		Connections: uint32(a.Connections),
		State:       control.State(state),
	}}
	return m
}

// targets turns members into what the choice of destinations needs; the local back end is known best here.
func (p *Node) targets(members []*control.Member) []balancer.Target {
	others := lo.Filter(members, func(m *control.Member, _ int) bool { return m.GetNode() != p.cfg.Name && !m.GetGone() })
	return lo.FlatMap(append(others, p.member(false)), func(m *control.Member, _ int) []balancer.Target { return targetsOf(m) })
}

func targetsOf(m *control.Member) []balancer.Target {
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
		}
	})
}

// prefix starts the IDs under which calls of this node incarnation claim keys.
func (p *Node) prefix() string {
	return p.cfg.Name + "/" + strconv.FormatUint(p.incarnation, 10) + "/call-"
}
