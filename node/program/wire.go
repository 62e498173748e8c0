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
	"pollenhill.example/node/coordination/observer"
	"pollenhill.example/node/coordination/parent"
	"pollenhill.example/node/protocol/loadreport"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/backend"
	"pollenhill.example/node/transport/caller"
	"pollenhill.example/node/transport/hints"
	"pollenhill.example/node/transport/localapi"
	"pollenhill.example/node/transport/peer"
)

// dialTimeout bounds the time for opening a connection, which takes about 1 ms on these networks.
const dialTimeout = time.Second

// firstDialTimeout bounds the first try to open a connection; later tries within dialTimeout may take longer.
const firstDialTimeout = 50 * time.Millisecond

// New builds a Node. It opens the UDP socket for hints if the settings have an address for it; nothing else runs, and no other
// address is used, before Run.
func New(cfg Config) (*Node, error) {
	cfg.Settings.Limits = cfg.Settings.Limits.withDefaults()
	n := &Node{settingsPath: cfg.SettingsPath, cfg: cfg.Settings, incarnation: uint64(time.Now().UnixNano()), events: cfg.Events, controlClient: cfg.ControlClient, observer: observer.New(), rolloutChanged: newWakeup()}
	n.responseMemory = semaphore.NewWeighted(int64(n.cfg.Limits.ResponseMemory))
	n.allowances = newAllowances(n)
	var err error
	if n.tlsCredentials, err = loadTLSCredentials(cfg); err != nil {
		return nil, err
	}
	if n.controlClient == nil {
		n.controlClient = newControlClient(cfg.Settings, n.tlsCredentials)
	}
	n.activeRules.Store(&activeRules{set: &rule.Set{}, appliedAt: time.Now()})
	i := do.New()
	n.injector = i
	do.ProvideValue(i, n)
	do.ProvideValue(i, semaphore.NewWeighted(int64(n.cfg.Limits.BodyMemory)))
	do.ProvideValue(i, &parent.Table{})
	do.Provide(i, newEngine)
	do.Provide(i, newBackend)
	do.Provide(i, newPeerClient)
	do.Provide(i, newPeerServer)
	do.Provide(i, newCallerServer)
	do.Provide(i, newLocalServer)
	do.Provide(i, newMetrics)
	do.Provide(i, newHintsEndpoint)
	return n, n.buildComponents()
}

// buildComponents builds all components, so that a missing dependency is reported before the node starts.
func (n *Node) buildComponents() error {
	var err error
	if n.engine, err = do.Invoke[*engine.Engine](n.injector); err != nil {
		return err
	}
	if n.backend, err = do.Invoke[*backend.Backend](n.injector); err != nil {
		return err
	}
	if n.peerClient, err = do.Invoke[*peer.Client](n.injector); err != nil {
		return err
	}
	if n.metrics, err = do.Invoke[*metrics](n.injector); err != nil {
		return err
	}
	if n.peerServer, err = do.Invoke[*peer.Server](n.injector); err != nil {
		return err
	}
	if n.callerServer, err = do.Invoke[*caller.Server](n.injector); err != nil {
		return err
	}
	if n.localServer, err = do.Invoke[*localapi.Server](n.injector); err != nil || !n.cfg.HintsAddress.IsValid() {
		return err
	}
	n.hints, err = do.Invoke[*hints.Endpoint](n.injector)
	return err
}

func newHintsEndpoint(i do.Injector) (*hints.Endpoint, error) {
	n := do.MustInvoke[*Node](i)
	return hints.New(hints.Config{
		Node:          n.cfg.Name,
		Incarnation:   n.incarnation,
		ListenAddress: n.cfg.HintsAddress,
		LocalReport:   n.localReport,
		OnReport: func(d loadreport.Datagram) {
			n.engine.ReportHint(balancer.LoadReport{Backend: d.Backend, Hint: d.Hint})
		},
		Events: n.events,
	})
}

// localReport returns the load report about the local back end that goes to other nodes; false without a back end or while
// the node shuts down.
func (n *Node) localReport() (loadreport.Datagram, bool) {
	a, state := n.backend.CurrentAnnouncement()
	if state == admission.Absent || n.backendLeaving.Load() {
		return loadreport.Datagram{}, false
	}
	return loadreport.Datagram{Backend: a.Name, Hint: n.engine.View().Admission.Hint}, true
}

// onSlowdownChanged sends a load report to other nodes at once, without waiting for the next interval.
func (n *Node) onSlowdownChanged() {
	if n.hints != nil {
		n.hints.TriggerPublish()
	}
}

func (n *Node) newDialer() tcp.Dialer {
	return tcp.Dialer{Bind: n.cfg.Bind, Timeout: dialTimeout, FirstTryTimeout: firstDialTimeout}
}

func newEngine(i do.Injector) (*engine.Engine, error) {
	n := do.MustInvoke[*Node](i)
	return engine.New(engine.Config{
		Call: call.New(call.Config{
			Node:        n.cfg.Name,
			Incarnation: n.incarnation,
			ExtraRatio:  n.cfg.Limits.ExtraAttemptRatio,
			Balancer: balancer.New(balancer.Config{
				Zone:   n.cfg.Zone,
				Region: n.cfg.Region,
				Rand:   rand.New(rand.NewPCG(rand.Uint64(), n.incarnation)),
			}),
		}),
		Destination:     destination.New(destination.Config{Zone: n.cfg.Zone, Incarnation: n.incarnation}),
		OpenConnections: func(count int) { n.backend.OpenConnections(count) },
		CheckSpeed:      func() { n.backend.CheckSpeed() },
		Probe:           func(cmd destination.Probe) { n.backend.Probe(cmd) },
		SlowdownChanged: n.onSlowdownChanged,
	}), nil
}

func newBackend(i do.Injector) (*backend.Backend, error) {
	n := do.MustInvoke[*Node](i)
	return backend.New(backend.Config{
		Node:            n.cfg.Name,
		Zone:            n.cfg.Zone,
		Dialer:          n.newDialer(),
		IdleTimeout:     time.Duration(n.cfg.Limits.OutboundIdleTimeout),
		BodyReadTimeout: time.Duration(n.cfg.Limits.StallTimeout),
		Engine:          do.MustInvoke[*engine.Engine](i),
		Events:          n.events,

		Headers:          n.cfg.Headers,
		MaxBufferedBytes: n.cfg.Limits.MaxBufferedBytes,
		BufferMemory:     n.responseMemory,
		Service:          n.cfg.Backend.Service,
		Address:          n.cfg.Backend.Address,
		CancelByClose:    n.cfg.Backend.CancelByClose,
		History:          n.controlClient,
		Observer:         n.observer,
		PoolSettings:     n.poolSettings,
		AccountsInForce:  func() bool { return n.activeRules.Load().set.RequiresKeys() },
		RanksByCost:      func() bool { return n.activeRules.Load().set.RanksByCost() },
		Parents:          do.MustInvoke[*parent.Table](i),
		OnAnnouncementChange: func() {
			n.announceMember()
			n.applyControlState()
		},
	}), nil
}

// localDestination carries out attempts at the back end of this node.
type localDestination struct {
	*backend.Backend
	engine *engine.Engine
}

// Cancel stops an attempt and returns what is known about it.
func (d localDestination) Cancel(ctx context.Context, msg destination.Cancel) destination.CancelOutcome {
	return d.engine.CancelAttempt(ctx, msg)
}

func newLocalDestination(i do.Injector) localDestination {
	return localDestination{Backend: do.MustInvoke[*backend.Backend](i), engine: do.MustInvoke[*engine.Engine](i)}
}

func newPeerClient(i do.Injector) (*peer.Client, error) {
	n := do.MustInvoke[*Node](i)
	return peer.NewClient(peer.ClientConfig{
		Node:             n.cfg.Name,
		Dialer:           n.tlsCredentials.WrapDialer(n.newDialer()),
		MaxConnections:   n.cfg.Limits.MaxPeerConnections,
		IdleTimeout:      time.Duration(n.cfg.Limits.OutboundIdleTimeout) / 2, // half, so that this node closes a connection before the peer does
		MaxBufferedBytes: n.cfg.Limits.MaxBufferedBytes,
		BufferMemory:     n.responseMemory,
		BodyReadTimeout:  time.Duration(n.cfg.Limits.StallTimeout),
		Destination:      newLocalDestination(i),
		RulesRevision:    n.rulesRevision,
		RulesConfirmed:   func() bool { return n.controlClient.State().Confirmed },
		OfferRules:       n.controlClient.OfferRules,
		Clock:            n.events.Clock(),
	}), nil
}

func newPeerServer(i do.Injector) (*peer.Server, error) {
	n := do.MustInvoke[*Node](i)
	e := do.MustInvoke[*engine.Engine](i)
	return peer.NewServer(peer.ServerConfig{
		Node:        n.cfg.Name,
		Destination: newLocalDestination(i),
		LocalHint:   func() hint.Hint { return e.View().Admission.Hint },
		Rules: func() (uint64, string) {
			r := n.activeRules.Load()
			return r.set.Revision, r.text
		},
		OnPeerRevision: n.onPeerRevision,
		RefuseEarly:    n.refuseEarly,
		Events:         n.events,
		Clock:          n.events.Clock(),
		MaxHeaderBytes: n.cfg.Limits.MaxHeaderBytes + message.MaxAttemptHeaderSize,
		MaxBodyBytes:   n.cfg.Limits.MaxBodyBytes,
		BodyMemory:     do.MustInvoke[*semaphore.Weighted](i),
		ReadTimeout:    time.Duration(n.cfg.Limits.ReadTimeout),
		IdleTimeout:    time.Duration(n.cfg.Limits.IdleTimeout),
		WriteTimeout:   time.Duration(n.cfg.Limits.StallTimeout),
		TLS:            n.tlsCredentials,
	}), nil
}

func newCallerServer(i do.Injector) (*caller.Server, error) {
	n := do.MustInvoke[*Node](i)
	return caller.New(caller.Config{
		Node:             n.cfg.Name,
		ClaimOwnerPrefix: n.claimOwnerPrefix(),
		Engine:           do.MustInvoke[*engine.Engine](i),
		Sender:           do.MustInvoke[*peer.Client](i),
		Claims:           n.controlClient,
		Allowances:       n.allowances,
		Rules:            func() *rule.Set { return n.activeRules.Load().set },
		RulesOutdated:    func() bool { return n.peerClient.RulesOutdated() },
		OnCallDone:       do.MustInvoke[*metrics](i).recordCall,
		Events:           n.events,
		OnCallStart:      n.onCallStart,
		OnKeyRefused:     do.MustInvoke[*metrics](i).recordRefusedKey,
		Parents:          do.MustInvoke[*parent.Table](i),
		MaxCalls:         n.cfg.Limits.MaxCalls,
		MaxPipelined:     n.cfg.Limits.MaxPipelined,
		MaxReadAhead:     n.cfg.Limits.MaxReadAhead,
		MaxHeaderBytes:   n.cfg.Limits.MaxHeaderBytes,
		MaxBodyBytes:     n.cfg.Limits.MaxBodyBytes,
		BodyMemory:       do.MustInvoke[*semaphore.Weighted](i),
		ReadTimeout:      time.Duration(n.cfg.Limits.ReadTimeout),
		IdleTimeout:      time.Duration(n.cfg.Limits.IdleTimeout),
		WriteTimeout:     time.Duration(n.cfg.Limits.StallTimeout),
		Headers:          n.cfg.Headers,
		LocalService:     n.cfg.Backend.Service,
		Guarantee503:     n.cfg.Limits.Guarantee503,
	}), nil
}

// poolSettings returns the health check path of a service and the most connections to one of its back ends; zero values if
// the rules have no pool for it.
func (n *Node) poolSettings(service string) (path string, connections int) {
	pool, _ := n.activeRules.Load().set.Pool(service)
	return pool.HealthPath, pool.MaxConnections
}

// isReady reports whether the node takes callers: it knows rules with a route and a member, and is not shutting down.
func (n *Node) isReady() bool {
	return !n.shuttingDown.Load() && n.activeRules.Load().set.HasRoutes() && n.membersKnown.Load()
}

func newLocalServer(i do.Injector) (*localapi.Server, error) {
	n := do.MustInvoke[*Node](i)
	return localapi.New(localapi.Config{
		Zone:         n.cfg.Zone,
		OnAnnounce:   n.backend.Announce,
		OnHeartbeat:  n.backend.Heartbeat,
		OnDeregister: n.backend.Deregister,
		Ready:        n.isReady,
		Status:       func() any { return n.status() },
		Metrics:      do.MustInvoke[*metrics](i).registry,
		ReadTimeout:  time.Duration(n.cfg.Limits.ReadTimeout),
		IdleTimeout:  time.Duration(n.cfg.Limits.IdleTimeout),
	}), nil
}
