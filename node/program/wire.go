package program

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samber/do/v2"
	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/engine"
	"pollenhill.example/node/protocol/loadreport"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/backend"
	"pollenhill.example/node/transport/caller"
	"pollenhill.example/node/transport/hints"
	"pollenhill.example/node/transport/localapi"
	"pollenhill.example/node/transport/peer"
)

// dialTimeout bounds the opening of a connection; on these networks it takes about 1 ms.
const dialTimeout = time.Second

// dialFirst is how long the first try to open a connection may take.
const dialFirst = 50 * time.Millisecond

// New wires a Program; nothing runs and no address is used before Run.
func New(cfg Config) (*Node, error) {
	cfg.Settings.Limits = cfg.Settings.Limits.withDefaults()
	p := &Node{path: cfg.SettingsPath, cfg: cfg.Settings, incarnation: uint64(time.Now().UnixNano()), events: cfg.Events, control: cfg.ControlClient}
	var err error
	if p.tls, err = newSource(cfg); err != nil {
		return nil, err
	}
	if p.control == nil {
		p.control = newControl(cfg.Settings, p.tls)
	}
	p.rules.Store(&inForce{set: &rule.Set{}, since: time.Now()})
	i := do.New()
	p.injector = i
	do.ProvideValue(i, p)
	do.ProvideValue(i, semaphore.NewWeighted(int64(p.cfg.Limits.BodyMemory)))
	do.Provide(i, newEngine)
	do.Provide(i, newBackend)
	do.Provide(i, newClient)
	do.Provide(i, newPeer)
	do.Provide(i, newCaller)
	do.Provide(i, newLocal)
	do.Provide(i, newMetrics)
	do.Provide(i, newHints)
	return p, p.resolve()
}

// resolve builds every part, so that a wiring error shows before the node starts.
func (p *Node) resolve() error {
	var err error
	if p.engine, err = do.Invoke[*engine.Engine](p.injector); err != nil {
		return err
	}
	if p.backend, err = do.Invoke[*backend.Backend](p.injector); err != nil {
		return err
	}
	if p.client, err = do.Invoke[*peer.Client](p.injector); err != nil {
		return err
	}
	if p.metrics, err = do.Invoke[*metrics](p.injector); err != nil {
		return err
	}
	if p.peer, err = do.Invoke[*peer.Server](p.injector); err != nil {
		return err
	}
	if p.caller, err = do.Invoke[*caller.Server](p.injector); err != nil {
		return err
	}
	if p.local, err = do.Invoke[*localapi.Server](p.injector); err != nil || !p.cfg.HintsAddress.IsValid() {
		return err
	}
	p.hints, err = do.Invoke[*hints.Endpoint](p.injector)
	return err
}

func newHints(i do.Injector) (*hints.Endpoint, error) {
	p := do.MustInvoke[*Node](i)
	return hints.New(hints.Config{
		Node:          p.cfg.Name,
		Incarnation:   p.incarnation,
		ListenAddress: p.cfg.HintsAddress,
		LocalReport:   p.report,
		OnReport: func(n loadreport.Datagram) {
			p.engine.ReportHint(balancer.LoadReport{Backend: n.Backend, Hint: n.Hint})
		},
		Events: p.events,
	})
}

// report is what this node tells others about its back end.
func (p *Node) report() (loadreport.Datagram, bool) {
	a, state := p.backend.CurrentAnnouncement()
	if state == admission.Absent || p.ending.Load() {
		return loadreport.Datagram{}, false
	}
	return loadreport.Datagram{Backend: a.Name, Hint: p.engine.View().Admission.Hint}, true
}

// paced tells other nodes at once that the back end has changed its speed.
func (p *Node) paced() {
	if p.hints != nil {
		p.hints.TriggerPublish()
	}
}

func (p *Node) dialer() tcp.Dialer {
	return tcp.Dialer{Bind: p.cfg.Bind, Timeout: dialTimeout, FirstTryTimeout: dialFirst}
}

func newEngine(i do.Injector) (*engine.Engine, error) {
	p := do.MustInvoke[*Node](i)
	return engine.New(engine.Config{
		Call: call.New(call.Config{
			Node:        p.cfg.Name,
			Incarnation: p.incarnation,
			ExtraRatio:  p.cfg.Limits.ExtraAttemptRatio,
			Balancer: balancer.New(balancer.Config{
				Zone:   p.cfg.Zone,
				Region: p.cfg.Region,
				Rand:   rand.New(rand.NewPCG(rand.Uint64(), p.incarnation)),
			}),
		}),
		Destination:     destination.New(destination.Config{Zone: p.cfg.Zone, Incarnation: p.incarnation}),
		OpenConnections: func(count int) { p.backend.OpenConnections(count) },
		CheckSpeed:      func() { p.backend.CheckSpeed() },
		Probe:           func(cmd destination.Probe) { p.backend.Probe(cmd) },
		SlowdownChanged: p.paced,
	}), nil
}

func newBackend(i do.Injector) (*backend.Backend, error) {
	p := do.MustInvoke[*Node](i)
	return backend.New(backend.Config{
		Node:            p.cfg.Name,
		Zone:            p.cfg.Zone,
		Dialer:          p.dialer(),
		IdleTimeout:     time.Duration(p.cfg.Limits.OutboundIdleTimeout),
		BodyReadTimeout: time.Duration(p.cfg.Limits.StallTimeout),
		Engine:          do.MustInvoke[*engine.Engine](i),
		Events:          p.events,

		Headers:          p.cfg.Headers,
		MaxBufferedBytes: p.cfg.Limits.MaxBufferedBytes,
		Service:          p.cfg.Backend.Service,
		Address:          p.cfg.Backend.Address,
		CancelByClose:    p.cfg.Backend.CancelByClose,
		PoolSettings:     p.health,
		OnAnnouncementChange: func() {
			p.announce()
			p.apply()
		},
	}), nil
}

// localDestination is the destination side of this node.
type localDestination struct {
	*backend.Backend
	engine *engine.Engine
}

// Cancel asks what is known about an attempt and stops it.
func (d localDestination) Cancel(ctx context.Context, msg destination.Cancel) destination.CancelOutcome {
	return d.engine.CancelAttempt(ctx, msg)
}

func newDestination(i do.Injector) localDestination {
	return localDestination{Backend: do.MustInvoke[*backend.Backend](i), engine: do.MustInvoke[*engine.Engine](i)}
}

func newClient(i do.Injector) (*peer.Client, error) {
	p := do.MustInvoke[*Node](i)
	return peer.NewClient(peer.ClientConfig{
		Node:             p.cfg.Name,
		Dialer:           p.tls.WrapDialer(p.dialer()),
		MaxConnections:   p.cfg.Limits.MaxPeerConnections,
		IdleTimeout:      time.Duration(p.cfg.Limits.OutboundIdleTimeout) / 2, // before the other node closes it
		MaxBufferedBytes: p.cfg.Limits.MaxBufferedBytes,
		BodyReadTimeout:  time.Duration(p.cfg.Limits.StallTimeout),
		Destination:      newDestination(i),
		RulesRevision:    p.revision,
		OfferRules:       p.control.OfferRules,
		Clock:            p.events.Clock(),
	}), nil
}

func newPeer(i do.Injector) (*peer.Server, error) {
	p := do.MustInvoke[*Node](i)
	e := do.MustInvoke[*engine.Engine](i)
	return peer.NewServer(peer.ServerConfig{
		Node:        p.cfg.Name,
		Destination: newDestination(i),
		LocalHint:   func() hint.Hint { return e.View().Admission.Hint },
		Rules: func() (uint64, string) {
			r := p.rules.Load()
			return r.set.Revision, r.text
		},
		OnPeerRevision: p.seen,
		Events:         p.events,
		Clock:          p.events.Clock(),
		MaxHeaderBytes: p.cfg.Limits.MaxHeaderBytes + message.MaxAttemptHeaderSize,
		MaxBodyBytes:   p.cfg.Limits.MaxBodyBytes,
		BodyMemory:     do.MustInvoke[*semaphore.Weighted](i),
		ReadTimeout:    time.Duration(p.cfg.Limits.ReadTimeout),
		IdleTimeout:    time.Duration(p.cfg.Limits.IdleTimeout),
		WriteTimeout:   time.Duration(p.cfg.Limits.StallTimeout),
		TLS:            p.tls,
	}), nil
}

func newCaller(i do.Injector) (*caller.Server, error) {
	p := do.MustInvoke[*Node](i)
	return caller.New(caller.Config{
		Node:             p.cfg.Name,
		ClaimOwnerPrefix: p.prefix(),
		Engine:           do.MustInvoke[*engine.Engine](i),
		Sender:           do.MustInvoke[*peer.Client](i),
		Claims:           p.control,
		Rules:            func() *rule.Set { return p.rules.Load().set },
		OnCallDone:       do.MustInvoke[*metrics](i).observe,
		Events:           p.events,
		OnCallStart:      p.called,
		MaxCalls:         p.cfg.Limits.MaxCalls,
		MaxPipelined:     p.cfg.Limits.MaxPipelined,
		MaxReadAhead:     p.cfg.Limits.MaxReadAhead,
		MaxHeaderBytes:   p.cfg.Limits.MaxHeaderBytes,
		MaxBodyBytes:     p.cfg.Limits.MaxBodyBytes,
		BodyMemory:       do.MustInvoke[*semaphore.Weighted](i),
		ReadTimeout:      time.Duration(p.cfg.Limits.ReadTimeout),
		IdleTimeout:      time.Duration(p.cfg.Limits.IdleTimeout),
		WriteTimeout:     time.Duration(p.cfg.Limits.StallTimeout),
		Headers:          p.cfg.Headers,
		LocalService:     p.cfg.Backend.Service,
		Guarantee503:     p.cfg.Limits.Guarantee503,
	}), nil
}

// health returns the path of the health check of a service and the connections that one back end takes.
func (p *Node) health(service string) (path string, connections int) {
	pool, _ := p.rules.Load().set.Pool(service)
	return pool.HealthPath, pool.MaxConnections
}

// ready reports whether callers are served: the rules and some back end are known, and the node is not leaving.
func (p *Node) ready() bool {
	return !p.leaving.Load() && p.revision() > 0 && p.targeted.Load()
}

func newLocal(i do.Injector) (*localapi.Server, error) {
	p := do.MustInvoke[*Node](i)
	return localapi.New(localapi.Config{
		Zone:         p.cfg.Zone,
		OnAnnounce:   p.backend.Announce,
		OnHeartbeat:  p.backend.Heartbeat,
		OnDeregister: p.backend.Deregister,
		Ready:        p.ready,
		Status:       func() any { return p.status() },
		Metrics:      do.MustInvoke[*metrics](i).registry,
		ReadTimeout:  time.Duration(p.cfg.Limits.ReadTimeout),
		IdleTimeout:  time.Duration(p.cfg.Limits.IdleTimeout),
	}), nil
}
