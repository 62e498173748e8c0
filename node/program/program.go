package program

import (
	"context"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/engine"
	"pollenhill.example/node/transport/backend"
	"pollenhill.example/node/transport/caller"
	"pollenhill.example/node/transport/hints"
	"pollenhill.example/node/transport/localapi"
	"pollenhill.example/node/transport/peer"
)

// Node is one node.
type Node struct {
	path        string // of the settings file
	cfg         Settings
	incarnation uint64
	injector    *do.RootScope
	engine      *engine.Engine
	backend     *backend.Backend
	client      *peer.Client
	peer        *peer.Server
	caller      *caller.Server
	local       *localapi.Server
	control     ControlClient
	events      *event.Log
	tls         *mtls.Credentials // nil: plain connections
	metrics     *metrics
	hints       *hints.Endpoint // nil without an address for hints
	interest    interest
	rules       atomic.Pointer[inForce]
	leaving     atomic.Bool // callers move to other nodes
	ending      atomic.Bool // the back end gets nothing new through this node
	targeted    atomic.Bool // some back end has been known
	applying    sync.Mutex
}

// inForce is the newest rules text that could be parsed.
type inForce struct {
	set   *rule.Set
	text  string
	since time.Time
}

// Config says what a Program is made of.
type Config struct {
	Settings      Settings
	Events        *event.Log
	ControlClient ControlClient // nil for the client that the settings describe
	SettingsPath  string        // of the settings file, read again when it changes; empty: never
}

// Run runs a node until ctx ends and returns after the last request in flight.
// It starts nothing if one of its listeners cannot be opened.
func (p *Node) Run(ctx context.Context) error {
	listeners, err := p.listen(ctx)
	if err != nil {
		return err
	}
	debug.SetGCPercent(p.cfg.Limits.GCPercent)
	engineCtx, stopEngine := context.WithCancel(context.Background())
	var engineDone, controlDone sync.WaitGroup
	engineDone.Go(func() { p.engine.Run(engineCtx) })
	controlCtx, stopControl := context.WithCancel(context.Background())
	controlDone.Go(func() { _ = p.control.Run(controlCtx) })
	controlDone.Go(func() { p.follow(controlCtx) })
	controlDone.Go(func() { p.reload(controlCtx) })
	controlDone.Go(func() { p.backend.DiscoverInstance(controlCtx) })
	controlDone.Go(func() { p.backend.PollLoad(controlCtx) })
	if p.hints != nil {
		controlDone.Go(func() { p.hints.Run(controlCtx) })
	}
	p.announce()
	failed := p.serve(listeners)
	p.events.Emit(event.NodeStarted, zap.String("zone", p.cfg.Zone), zap.Uint64("incarnation", p.incarnation))
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	p.shutdown()
	stopControl()
	controlDone.Wait()
	stopEngine()
	engineDone.Wait()
	p.events.Emit(event.NodeStopped)
	return errors.CombineErrors(err, p.close())
}

// listen opens all listeners or none.
func (p *Node) listen(ctx context.Context) ([]net.Listener, error) {
	var open []net.Listener
	addresses := []netip.AddrPort{p.cfg.CallerAddress, p.cfg.PeerAddress, p.cfg.LocalAddress}
	if p.cfg.ReadyAddress.IsValid() {
		addresses = append(addresses, p.cfg.ReadyAddress)
	}
	for _, address := range addresses {
		ln, err := tcp.Listen(ctx, address, func(err error) { p.unaccepted(address, err) })
		if err != nil {
			for _, ln := range open {
				_ = ln.Close()
			}
			return nil, err
		}
		open = append(open, ln)
	}
	return open, nil
}

// unaccepted logs a connection that could not be accepted; the listener goes on after a pause.
func (p *Node) unaccepted(address netip.AddrPort, err error) {
	p.events.Emit(event.AcceptFailed, zap.Stringer("listener", address), zap.Error(err))
}

// serve starts the three servers in the order of listen.
func (p *Node) serve(listeners []net.Listener) <-chan error {
	failed := make(chan error, len(listeners))
	servers := []func(net.Listener) error{p.caller.Serve, p.peer.Serve, p.local.Serve, p.local.ServeReady}
	for i, serve := range servers[:len(listeners)] {
		go func() {
			if err := serve(listeners[i]); err != nil {
				failed <- errors.Wrapf(err, "serve %s", listeners[i].Addr())
			}
		}()
	}
	return failed
}

// shutdown refuses new work and waits for everything in flight, however long its callers take.
func (p *Node) shutdown() {
	p.events.Emit(event.NodeStopping)
	p.leaving.Store(true)
	p.caller.DrainConnections()
	// The back end runs on; it would idle while callers move to other nodes.
	<-time.After(time.Duration(p.cfg.Limits.BackendLeaveDelay))
	p.ending.Store(true)
	p.engine.UpdateDestination(destination.Leave{})
	p.announce()
	p.apply()
	// Listeners stay open for a moment, so that attempts already on their way are refused as not run.
	ctx, cancel := p.grace()
	defer cancel()
	<-time.After(time.Duration(p.cfg.Limits.ListenerCloseDelay - p.cfg.Limits.BackendLeaveDelay))
	var wg sync.WaitGroup
	wg.Go(func() { p.ended("callers", p.caller.Shutdown(ctx)) })
	wg.Go(func() { p.ended("nodes", p.peer.Shutdown(ctx)) })
	wg.Wait()
	p.ended("back end", p.local.Shutdown(ctx))
	p.control.Announce(p.member(true))
}

// grace returns the context of a shutdown.
func (p *Node) grace() (context.Context, context.CancelFunc) {
	if p.cfg.Limits.ShutdownTimeout == 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), time.Duration(p.cfg.Limits.ShutdownTimeout))
}

// ended logs a listener that still had requests in flight at the end of the grace.
func (p *Node) ended(listener string, err error) {
	if err != nil {
		p.events.Emit(event.NodeStopping, zap.String("listener", listener), zap.Error(err))
	}
}

func (p *Node) close() error {
	p.client.Close()
	p.backend.Close()
	return p.metrics.close()
}

// announce tells the control processes the state of this node.
func (p *Node) announce() {
	p.control.Announce(p.member(false))
}
