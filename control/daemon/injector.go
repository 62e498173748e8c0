package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"pollenhill.example/control/coordination/allowance"
	"pollenhill.example/control/coordination/directory"
	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/control/coordination/watch"
	"pollenhill.example/control/transport/adminapi"
	"pollenhill.example/control/transport/node"
	"pollenhill.example/control/transport/peer"
	"pollenhill.example/core/coordination/pause"
	"pollenhill.example/core/protocol/control/controlconnect"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/core/transport/mtls"
)

// newInjector registers the constructors of all parts; a part is created when it is first invoked.
func newInjector(s Settings) do.Injector {
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, pause.NewDetector())
	do.Provide(i, newTLSCredentials)
	do.Provide(i, newEventLog)
	do.Provide(i, newListener)
	do.Provide(i, newClients)
	do.Provide(i, newGroup)
	do.Provide(i, newHub)
	do.Provide(i, newDirectory)
	do.Provide(i, newLedger)
	do.Provide(i, newRollouts)
	do.Provide(i, newServer)
	do.Provide(i, newRuleFile)
	return i
}

// newTLSCredentials returns the TLS credentials of this process, or nil if the settings name no TLS files.
func newTLSCredentials(i do.Injector) (*mtls.Credentials, error) {
	s := do.MustInvoke[Settings](i)
	if s.TLS == nil {
		return nil, nil
	}
	credentials, err := mtls.LoadCredentials(*s.TLS)
	return credentials, errors.Wrap(err, "tls")
}

func newEventLog(i do.Injector) (*event.Log, error) {
	s := do.MustInvoke[Settings](i)
	// The event file is not closed, so that events are written until the process ends.
	log, _, err := event.Open(s.Name, lo.CoalesceOrEmpty(s.EventFile, s.LogFile))
	if credentials := do.MustInvoke[*mtls.Credentials](i); credentials != nil && err == nil {
		credentials.LogTo(log, time.Now)
	}
	return log, err
}

func newListener(i do.Injector) (net.Listener, error) {
	s := do.MustInvoke[Settings](i)
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return do.MustInvoke[*mtls.Credentials](i).WrapListener(l, mtls.ALPNHTTP2, mtls.ALPNHTTP1), nil
}

func newClients(i do.Injector) (*peer.Clients, error) {
	s := do.MustInvoke[Settings](i)
	peers := lo.Map(s.Peers, func(p Peer, _ int) peer.Peer { return peer.Peer{Name: p.Name, Address: p.Address} })
	return peer.NewClients(peer.Config{Name: s.Name, Bind: s.Bind, Peers: peers, TLS: do.MustInvoke[*mtls.Credentials](i)}), nil
}

func newGroup(i do.Injector) (*raftgroup.Group, error) {
	s := do.MustInvoke[Settings](i)
	clients, err := do.Invoke[*peer.Clients](i)
	if err != nil {
		return nil, err
	}
	peers := lo.Map(s.Peers, func(p Peer, _ int) raftgroup.Peer {
		return raftgroup.Peer{Name: p.Name, Address: p.Address, Region: p.Region}
	})
	return raftgroup.Open(raftgroup.Config{
		Name: s.Name, DataDir: s.DataDir, Peers: peers, Join: s.Join, MaxVoters: s.MaxVoters,
		Replica: replica.Config{ValidateRules: checkRuleText},
		Send:    clients.SendRaft,
		Forward: clients.Forward,
	})
}

// checkRuleText checks a submitted rule file; every member of the group applies the same check.
func checkRuleText(text string) error {
	_, err := rule.Parse(text)
	return err
}

func newHub(do.Injector) (*watch.Hub, error) { return watch.NewHub(), nil }

func newDirectory(i do.Injector) (*directory.Directory, error) {
	s := do.MustInvoke[Settings](i)
	clients, err := do.Invoke[*peer.Clients](i)
	if err != nil {
		return nil, err
	}
	hub, err := do.Invoke[*watch.Hub](i)
	if err != nil {
		return nil, err
	}
	return directory.New(directory.Config{
		Name: s.Name, Peers: lo.Without(lo.Map(s.Peers, func(p Peer, _ int) string { return p.Name }), s.Name),
		Exchange: clients.Exchange, OnChange: hub.UpdateMembers, OnReady: hub.MarkComplete,
	}), nil
}

func newLedger(i do.Injector) (*allowance.Ledger, error) {
	return allowance.New(allowance.Config{Name: do.MustInvoke[Settings](i).Name}, time.Now()), nil
}

func newServer(i do.Injector) (*http.Server, error) {
	g, err := do.Invoke[*raftgroup.Group](i)
	if err != nil {
		return nil, err
	}
	d, err := do.Invoke[*directory.Directory](i)
	if err != nil {
		return nil, err
	}
	hub, err := do.Invoke[*watch.Hub](i)
	if err != nil {
		return nil, err
	}
	rollouts, err := do.Invoke[*rollouts](i)
	if err != nil {
		return nil, err
	}
	// Compression would save 145 of the 169 KB of a node's first state but nearly double the CPU time for it, which
	// matters when a third of the nodes connects to this process at once.
	noCompression := connect.WithCompression("gzip", nil, nil)
	ledger, pauses := do.MustInvoke[*allowance.Ledger](i), do.MustInvoke[*pause.Detector](i)
	mux := http.NewServeMux()
	mux.Handle(controlconnect.NewControlHandler(&node.Handler{Group: g, Directory: d, Hub: hub, Ledger: ledger, Pauses: pauses, Observers: rollouts}, noCompression))
	admin := &adminapi.Handler{
		Group: g, Origin: do.MustInvoke[Settings](i).Name, Pauses: pauses, Events: do.MustInvoke[*event.Log](i),
		Versions: func(ctx context.Context, service string) []string { return servingVersions(ctx, d, service) },
	}
	admin.Register(mux)
	mux.Handle(controlconnect.NewPeerHandler(&peer.Handler{Group: g, Directory: d, Ledger: ledger, Observers: rollouts}, noCompression))
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           mux,
		ConnContext:       adminapi.WithConn,
		Protocols:         p,
		ReadHeaderTimeout: 5 * time.Second,
		// Pings end the streams of nodes that disappeared without closing their connections.
		HTTP2: &http.HTTP2Config{SendPingTimeout: 5 * time.Second, PingTimeout: 2 * time.Second, MaxConcurrentStreams: 1000},
	}, nil
}

// serve runs the server until ctx ends, which also ends its streams, and then waits up to shutdownTimeout for the
// calls in progress.
func serve(ctx context.Context, srv *http.Server, l net.Listener) error {
	srv.BaseContext = func(net.Listener) context.Context { return ctx }
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if srv.Shutdown(shutdownCtx) != nil {
		return srv.Close()
	}
	return nil
}
