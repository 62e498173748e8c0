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
	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/engine"
	"pollenhill.example/node/coordination/observer"
	"pollenhill.example/node/coordination/shutdown"
	"pollenhill.example/node/transport/backend"
	"pollenhill.example/node/transport/caller"
	"pollenhill.example/node/transport/hints"
	"pollenhill.example/node/transport/localapi"
	"pollenhill.example/node/transport/peer"
)

// Node is a node process: its servers, its back end and its connections to other nodes and control processes.
type Node struct {
	settingsPath   string // empty: the settings file is not read again
	cfg            Settings
	incarnation    uint64
	injector       *do.RootScope
	engine         *engine.Engine
	observer       *observer.Model
	backend        *backend.Backend
	peerClient     *peer.Client
	peerServer     *peer.Server
	callerServer   *caller.Server
	localServer    *localapi.Server
	controlClient  ControlClient
	events         *event.Log
	tlsCredentials *mtls.Credentials // nil: connections without TLS
	metrics        *metrics
	hints          *hints.Endpoint // nil if the settings have no address for hints
	recentServices recentServices
	allowances     *allowances
	responseMemory *semaphore.Weighted // memory budget in bytes for response bodies that are received before they are passed on
	rolloutChanged wakeup
	activeRules    atomic.Pointer[activeRules]
	shuttingDown   atomic.Bool // every response closes its connection, so that callers move to other nodes
	backendLeaving atomic.Bool // while shutting down: the back end gets no new attempts through this node
	membersKnown   atomic.Bool // the control processes have sent a member
	applyMu        sync.Mutex  // serializes applyControlState
}

// activeRules holds the newest rules that could be parsed.
type activeRules struct {
	set       *rule.Set
	text      string    // as received; other nodes may fetch it
	appliedAt time.Time // when this node put them in force
}

// Config holds the settings of a Node and what it uses from outside.
type Config struct {
	Settings      Settings
	Events        *event.Log
	ControlClient ControlClient // nil: New makes one from the settings
	SettingsPath  string        // file that is read again when it changes; empty: none
}

// Run serves until ctx ends or a server fails, then shuts down and returns after the last request in flight or after the
// shutdown timeout. If a listener cannot be opened, it starts nothing and returns the error.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.openListeners(ctx)
	if err != nil {
		return err
	}
	debug.SetGCPercent(n.cfg.Limits.GCPercent)
	engineCtx, stopEngine := context.WithCancel(context.Background())
	var engineDone, backgroundDone sync.WaitGroup
	engineDone.Go(func() { n.engine.Run(engineCtx) })
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	backgroundDone.Go(func() { _ = n.controlClient.Run(backgroundCtx) })
	backgroundDone.Go(func() { n.followControl(backgroundCtx) })
	backgroundDone.Go(func() { n.watchSettingsFile(backgroundCtx) })
	backgroundDone.Go(func() { n.reportUsage(backgroundCtx) })
	backgroundDone.Go(func() { n.backend.DiscoverInstance(backgroundCtx) })
	backgroundDone.Go(func() { n.backend.PollLoad(backgroundCtx) })
	backgroundDone.Go(func() { n.reportObservations(backgroundCtx) })
	if n.hints != nil {
		backgroundDone.Go(func() { n.hints.Run(backgroundCtx) })
	}
	n.announceMember()
	serveErrs := n.startServers(listeners)
	n.events.Emit(event.NodeStarted, zap.String("zone", n.cfg.Zone), zap.Uint64("incarnation", n.incarnation))
	select {
	case <-ctx.Done():
	case err = <-serveErrs:
	}
	n.shutdown()
	stopBackground()
	backgroundDone.Wait()
	stopEngine()
	engineDone.Wait()
	n.events.Emit(event.NodeStopped)
	return errors.CombineErrors(err, n.close())
}

// openListeners opens the TCP listeners of the settings. If one fails, it closes the others and returns the error.
func (n *Node) openListeners(ctx context.Context) ([]net.Listener, error) {
	var listeners []net.Listener
	addresses := []netip.AddrPort{n.cfg.CallerAddress, n.cfg.PeerAddress, n.cfg.LocalAddress}
	if n.cfg.ReadyAddress.IsValid() {
		addresses = append(addresses, n.cfg.ReadyAddress)
	}
	for _, address := range addresses {
		ln, err := tcp.Listen(ctx, address, func(err error) { n.logAcceptError(address, err) })
		if err != nil {
			for _, ln := range listeners {
				_ = ln.Close()
			}
			return nil, err
		}
		listeners = append(listeners, ln)
	}
	return listeners, nil
}

// logAcceptError logs that a connection could not be accepted. The listener tries again after a pause.
func (n *Node) logAcceptError(address netip.AddrPort, err error) {
	n.events.Emit(event.AcceptFailed, zap.Stringer("listener", address), zap.Error(err))
}

// startServers serves on the listeners, which are in the order of openListeners. The channel receives the errors of servers
// that fail.
func (n *Node) startServers(listeners []net.Listener) <-chan error {
	serveErrs := make(chan error, len(listeners))
	servers := []func(net.Listener) error{n.callerServer.Serve, n.peerServer.Serve, n.localServer.Serve, n.localServer.ServeReady}
	for i, serve := range servers[:len(listeners)] {
		go func() {
			if err := serve(listeners[i]); err != nil {
				serveErrs <- errors.Wrapf(err, "serve %s", listeners[i].Addr())
			}
		}()
	}
	return serveErrs
}

// finalAnswerTime is the time between the end of the calls in flight and that of the process: calls whose outcome is unknown wait
// for the results of their cancels, and then the answers are written.
const finalAnswerTime = 2 * call.CancelGrace

// shutdown refuses new work and waits for the requests in flight, without a limit unless the settings have a shutdown timeout
// or a kill delay. With a limit, requests get their final answers before it.
func (n *Node) shutdown() {
	n.events.Emit(event.NodeStopping)
	started := time.Now()
	plan := shutdown.New(shutdown.Config{
		BackendLeaveDelay:  time.Duration(n.cfg.Limits.BackendLeaveDelay),
		ListenerCloseDelay: time.Duration(n.cfg.Limits.ListenerCloseDelay),
		Timeout:            time.Duration(n.cfg.Limits.ShutdownTimeout),
		KillDelay:          time.Duration(n.cfg.Limits.KillDelay),
		AnswerTime:         finalAnswerTime,
	})
	n.shuttingDown.Store(true)
	n.callerServer.DrainConnections()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if plan.End > 0 {
		n.engine.UpdateCall(call.EndBy{At: started.Add(plan.EndCalls)})
		defer time.AfterFunc(plan.End, cancel).Stop()
	}
	// The back end still gets attempts. Without this delay it would idle while callers move to other nodes.
	<-time.After(plan.LeaveBackend)
	n.leaveBackend()
	// Listeners stay open for a while, so that attempts that other nodes have already sent are refused as not run.
	<-time.After(plan.CloseListeners - plan.LeaveBackend)
	var wg sync.WaitGroup
	wg.Go(func() { n.logShutdownError("callers", n.callerServer.Shutdown(ctx)) })
	wg.Go(func() { n.logShutdownError("nodes", n.peerServer.Shutdown(ctx)) })
	wg.Wait()
	n.logShutdownError("back end", n.localServer.Shutdown(ctx))
	n.controlClient.Announce(n.localMember(true))
}

// leaveBackend ends new attempts at the back end and tells the other nodes.
func (n *Node) leaveBackend() {
	n.backendLeaving.Store(true)
	n.engine.UpdateDestination(destination.Leave{})
	n.peerServer.RefuseUploads()
	n.announceMember()
	n.applyControlState()
}

// logShutdownError logs that a listener still had requests in flight at the shutdown timeout, or could not be closed.
func (n *Node) logShutdownError(listener string, err error) {
	if err != nil {
		n.events.Emit(event.NodeStopping, zap.String("listener", listener), zap.Error(err))
	}
}

func (n *Node) close() error {
	n.peerClient.Close()
	n.backend.Close()
	return n.metrics.close()
}

// announceMember sends the state of this node and its back end to the control processes.
func (n *Node) announceMember() {
	n.controlClient.Announce(n.localMember(false))
}
