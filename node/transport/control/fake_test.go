package control_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/control/controlconnect"
	"pollenhill.example/core/state/rule"
	client "pollenhill.example/node/transport/control"
)

// fake is a control process on in-memory connections.
type fake struct {
	controlconnect.UnimplementedControlHandler
	name   string
	region string
	addr   netip.AddrPort
	conns  chan net.Conn
	server *http.Server
	once   sync.Once

	mu        sync.Mutex
	silent    bool // bytes vanish in both directions, as in a silent partition
	down      bool // connections are refused
	current   bool
	rules     *control.Rules
	streams   map[chan *control.WatchResponse]context.CancelFunc
	requests  []*control.WatchRequest
	announced []*control.Member
	claims    int
	fail      connect.Code // of claim calls, 0 for none
}

func newFake(name, region string, port uint16) *fake {
	f := &fake{
		name: name, region: region, addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
		conns: make(chan net.Conn), current: true, streams: map[chan *control.WatchResponse]context.CancelFunc{},
	}
	mux := http.NewServeMux()
	mux.Handle(controlconnect.NewControlHandler(f))
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	f.server = &http.Server{Handler: mux, Protocols: p}
	return f
}

// Accept, Close and Addr make the fake a net.Listener.
func (f *fake) Accept() (net.Conn, error) {
	c, ok := <-f.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close ends Accept; no dial may follow.
func (f *fake) Close() error {
	f.once.Do(func() { close(f.conns) })
	return nil
}

// Addr returns the address that the client dials.
func (f *fake) Addr() net.Addr { return net.TCPAddrFromAddrPort(f.addr) }

func (f *fake) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fake) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

// stop refuses connections and cuts the streams; restart takes it back.
func (f *fake) stop() {
	f.set(func() {
		f.down = true
		for _, cancel := range f.streams {
			cancel()
		}
	})
}

// push sends a message on every open stream.
func (f *fake) push(msg *control.WatchResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.streams {
		s <- proto.CloneOf(msg)
	}
}

// conn drops what is written while its control process is silent.
type conn struct {
	net.Conn
	f *fake
}

func (c conn) Write(b []byte) (int, error) {
	if c.f.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (f *fake) dial(ctx context.Context) (net.Conn, error) {
	if f.isSilent() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f.mu.Lock()
	down := f.down
	f.mu.Unlock()
	if down {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case f.conns <- conn{far, f}:
		return conn{near, f}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

var errDown = connect.NewError(connect.CodeUnavailable, errors.New("down"))

func (f *fake) Announce(_ context.Context, req *connect.Request[control.AnnounceRequest]) (*connect.Response[control.AnnounceResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errDown
	}
	if m := req.Msg.GetMember(); m != nil {
		f.announced = append(f.announced, m)
	}
	return connect.NewResponse(&control.AnnounceResponse{Current: f.current, Revision: f.rules.GetRevision()}), nil
}

func (f *fake) Watch(ctx context.Context, req *connect.Request[control.WatchRequest], out *connect.ServerStream[control.WatchResponse]) error {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return errDown
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in := make(chan *control.WatchResponse, 16)
	if req.Msg.GetNode() != "" {
		f.streams[in] = cancel
		f.requests = append(f.requests, req.Msg)
	}
	rules := f.rules
	f.mu.Unlock()
	defer f.set(func() { delete(f.streams, in) })
	if rules.GetRevision() > req.Msg.GetRevision() {
		if err := out.Send(&control.WatchResponse{Event: &control.WatchResponse_Rules{Rules: rules}}); err != nil {
			return err
		}
	}
	return f.beats(ctx, in, out)
}

func (f *fake) beats(ctx context.Context, in chan *control.WatchResponse, out *connect.ServerStream[control.WatchResponse]) error {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		f.mu.Lock()
		msg := &control.WatchResponse{Event: &control.WatchResponse_Beat{Beat: &control.Beat{Current: f.current}}}
		f.mu.Unlock()
		if err := out.Send(msg); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case msg := <-in:
			if err := out.Send(msg); err != nil {
				return err
			}
		case <-ctx.Done():
			return errDown
		}
	}
}

func (f *fake) Claim(context.Context, *connect.Request[control.ClaimRequest]) (*connect.Response[control.ClaimResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims++
	if f.fail != 0 {
		return nil, connect.NewError(f.fail, errors.New("no leader"))
	}
	return connect.NewResponse(&control.ClaimResponse{Verdict: control.Verdict_VERDICT_GRANTED}), nil
}

// bench is a client with its control processes, inside a synctest bubble.
type bench struct {
	c     *client.Client
	fakes []*fake
	end   func()
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{fakes: []*fake{newFake("h1", "home", 1), newFake("h2", "home", 2), newFake("f1", "far", 3)}}
	cfg := client.Config{Node: "n", Zone: "z", Region: "home", JitterSeed: 1, Dial: b.dial}
	for _, f := range b.fakes {
		cfg.Servers = append(cfg.Servers, client.Server{Name: f.name, Address: f.addr, Region: f.region})
		go func() { _ = f.server.Serve(f) }()
	}
	b.c = client.New(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.c.Run(ctx)
	}()
	b.end = func() {
		cancel()
		<-done
		for _, f := range b.fakes {
			f.set(func() { f.silent = false })
			_ = f.server.Close()
		}
	}
	return b
}

func (b *bench) dial(ctx context.Context, _, address string) (net.Conn, error) {
	for _, f := range b.fakes {
		if f.addr.String() == address {
			return f.dial(ctx)
		}
	}
	return nil, errors.Newf("dial %s", address)
}

// followed returns the control process that the client follows.
func (b *bench) followed(t *testing.T) *fake {
	t.Helper()
	for _, f := range b.fakes {
		if f.name == b.c.State().Server {
			return f
		}
	}
	t.Fatalf("client follows %q", b.c.State().Server)
	return nil
}

// pass lets virtual time pass.
func pass(d time.Duration) { <-time.After(d) }

func text(revision uint64) string {
	return "first\n" + "revision " + string(rune('a'+revision)) + "\nlast\n"
}

func whole(revision uint64) *control.Rules {
	return &control.Rules{Revision: revision, Text: text(revision), Hash: rule.Hash(text(revision))}
}

func delta(base, revision uint64) *control.WatchResponse {
	edits := []*control.Edit{{Start: 1, Count: 1, Lines: []string{"revision " + string(rune('a'+revision)) + "\n"}}}
	r := &control.Rules{Revision: revision, Base: base, Edits: edits, Hash: rule.Hash(text(revision))}
	return &control.WatchResponse{Event: &control.WatchResponse_Rules{Rules: r}}
}
