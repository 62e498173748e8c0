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

// fakeControlProcess serves the control protocol on in-memory connections; it is also their net.Listener.
type fakeControlProcess struct {
	controlconnect.UnimplementedControlHandler
	name   string
	region string
	addr   netip.AddrPort
	conns  chan net.Conn
	server *http.Server
	once   sync.Once

	mu            sync.Mutex
	silent        bool // drops all bytes in both directions, as a network partition does
	bytesPerTick  int  // of the link to the node, by linkTick; 0 for no limit
	down          bool // refuses connections
	current       bool // value in heartbeats and answers
	rules         *control.Rules
	streams       map[chan *control.WatchResponse]context.CancelFunc // streams of nodes
	requests      []*control.WatchRequest                            // of nodes
	announcements []*control.Member
	claims        int
	claimError    connect.Code // error of claim calls, 0 for none
}

func newFakeControlProcess(name, region string, port uint16) *fakeControlProcess {
	f := &fakeControlProcess{
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

// Accept returns the server end of a dialed connection.
func (f *fakeControlProcess) Accept() (net.Conn, error) {
	c, ok := <-f.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close ends Accept; no dial may follow.
func (f *fakeControlProcess) Close() error {
	f.once.Do(func() { close(f.conns) })
	return nil
}

// Addr returns the address that the client dials.
func (f *fakeControlProcess) Addr() net.Addr { return net.TCPAddrFromAddrPort(f.addr) }

func (f *fakeControlProcess) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeControlProcess) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

// stop ends the streams and makes the process refuse connections until down is reset.
func (f *fakeControlProcess) stop() {
	f.update(func() {
		f.down = true
		for _, cancel := range f.streams {
			cancel()
		}
	})
}

// push sends a message on the streams of all nodes.
func (f *fakeControlProcess) push(msg *control.WatchResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.streams {
		s <- proto.CloneOf(msg)
	}
}

// silenceableConn drops the bytes written while its control process is silent.
type silenceableConn struct {
	net.Conn
	process *fakeControlProcess
}

func (c silenceableConn) Write(b []byte) (int, error) {
	if c.process.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// linkTick is the time in which a slow link carries bytesPerTick.
const linkTick = 10 * time.Millisecond

// slowConn is the end of a control process of a link with limited bandwidth.
type slowConn struct{ silenceableConn }

func (c slowConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		piece := b[written:]
		if limit := c.process.limit(); limit > 0 {
			piece = piece[:min(limit, len(piece))]
			sleep(linkTick)
		}
		n, err := c.silenceableConn.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (f *fakeControlProcess) limit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytesPerTick
}

func (f *fakeControlProcess) dial(ctx context.Context) (net.Conn, error) {
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
	clientConn, serverConn := net.Pipe()
	select {
	case f.conns <- slowConn{silenceableConn{serverConn, f}}:
		return silenceableConn{clientConn, f}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

var errDown = connect.NewError(connect.CodeUnavailable, errors.New("down"))

func (f *fakeControlProcess) Announce(_ context.Context, req *connect.Request[control.AnnounceRequest]) (*connect.Response[control.AnnounceResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errDown
	}
	if m := req.Msg.GetMember(); m != nil {
		f.announcements = append(f.announcements, m)
	}
	return connect.NewResponse(&control.AnnounceResponse{Current: f.current, Revision: f.rules.GetRevision()}), nil
}

func (f *fakeControlProcess) Watch(ctx context.Context, req *connect.Request[control.WatchRequest], out *connect.ServerStream[control.WatchResponse]) error {
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
	defer f.update(func() { delete(f.streams, in) })
	if rules.GetRevision() > req.Msg.GetRevision() {
		if err := out.Send(&control.WatchResponse{Event: &control.WatchResponse_Rules{Rules: rules}}); err != nil {
			return err
		}
	}
	return f.sendHeartbeats(ctx, in, out)
}

// heartbeatInterval is the pause between the heartbeats of a fakeControlProcess.
const heartbeatInterval = 200 * time.Millisecond

// sendHeartbeats sends heartbeats and the messages from in until ctx ends.
func (f *fakeControlProcess) sendHeartbeats(ctx context.Context, in chan *control.WatchResponse, out *connect.ServerStream[control.WatchResponse]) error {
	ticker := time.NewTicker(heartbeatInterval)
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

func (f *fakeControlProcess) Claim(context.Context, *connect.Request[control.ClaimRequest]) (*connect.Response[control.ClaimResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims++
	if f.claimError != 0 {
		return nil, connect.NewError(f.claimError, errors.New("no leader"))
	}
	return connect.NewResponse(&control.ClaimResponse{Verdict: control.Verdict_VERDICT_GRANTED}), nil
}

// Usage returns the reported accounts as the totals.
func (f *fakeControlProcess) Usage(_ context.Context, req *connect.Request[control.UsageRequest]) (*connect.Response[control.UsageResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return connect.NewResponse(&control.UsageResponse{Current: f.current, Nodes: 1, Accounts: req.Msg.GetAccounts()}), nil
}

// harness is a client with two control processes in its region and one in another, inside a synctest bubble.
type harness struct {
	client    *client.Client
	processes []*fakeControlProcess
	stop      func()
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{processes: []*fakeControlProcess{
		newFakeControlProcess("h1", "home", 1), newFakeControlProcess("h2", "home", 2), newFakeControlProcess("f1", "far", 3),
	}}
	cfg := client.Config{Node: "n", Zone: "z", Region: "home", JitterSeed: 1, Dial: h.dial}
	for _, f := range h.processes {
		cfg.Servers = append(cfg.Servers, client.Server{Name: f.name, Address: f.addr, Region: f.region})
		go func() { _ = f.server.Serve(f) }()
	}
	h.client = client.New(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.client.Run(ctx)
	}()
	h.stop = func() {
		cancel()
		<-done
		for _, f := range h.processes {
			// The server may write the last frame of a connection yet; on a slow link it would sleep when the test has ended.
			f.update(func() { f.silent, f.bytesPerTick = false, 0 })
			_ = f.server.Close()
		}
	}
	return h
}

func (h *harness) dial(ctx context.Context, _, address string) (net.Conn, error) {
	for _, f := range h.processes {
		if f.addr.String() == address {
			return f.dial(ctx)
		}
	}
	return nil, errors.Newf("dial %s: no control process has this address", address)
}

// followed returns the control process that the client follows.
func (h *harness) followed(t *testing.T) *fakeControlProcess {
	t.Helper()
	for _, f := range h.processes {
		if f.name == h.client.State().Server {
			return f
		}
	}
	t.Fatalf("client follows %q", h.client.State().Server)
	return nil
}

// sleep lets virtual time pass.
func sleep(d time.Duration) { <-time.After(d) }

func rulesText(revision uint64) string {
	return "first\n" + "revision " + string(rune('a'+revision)) + "\nlast\n"
}

func fullRules(revision uint64) *control.Rules {
	return &control.Rules{Revision: revision, Text: rulesText(revision), Hash: rule.Hash(rulesText(revision))}
}

func rulesDelta(base, revision uint64) *control.WatchResponse {
	edits := []*control.Edit{{Start: 1, Count: 1, Lines: []string{"revision " + string(rune('a'+revision)) + "\n"}}}
	r := &control.Rules{Revision: revision, Base: base, Edits: edits, Hash: rule.Hash(rulesText(revision))}
	return &control.WatchResponse{Event: &control.WatchResponse_Rules{Rules: r}}
}
