package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/control/transport/peer"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/control/controlconnect"
)

// bindAddress is a loopback address that the kernel would not choose by itself.
const bindAddress = "127.9.8.7"

// fakePeer is the group and the directory of a control process.
type fakePeer struct {
	messages      chan []byte
	callerAddress atomic.Value // address of the last caller
	propose       func(command []byte) ([]byte, error)
}

func (f *fakePeer) Receive(messages [][]byte) {
	for _, m := range messages {
		f.messages <- m
	}
}

func (f *fakePeer) ProposeForwarded(_ context.Context, command []byte) ([]byte, error) {
	return f.propose(command)
}

func (f *fakePeer) Exchange(_ context.Context, req *control.ExchangeRequest) (*control.ExchangeResponse, error) {
	return &control.ExchangeResponse{Missing: []string{req.GetFrom()}}, nil
}

// connectToFake returns the clients of c1 and the fake that serves as c2.
func connectToFake(t *testing.T) (*peer.Clients, *fakePeer) {
	t.Helper()
	f := &fakePeer{messages: make(chan []byte, 1000)}
	mux := http.NewServeMux()
	mux.Handle(controlconnect.NewPeerHandler(&peer.Handler{Group: f, Directory: f}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	handle := func(w http.ResponseWriter, r *http.Request) {
		f.callerAddress.Store(r.RemoteAddr)
		mux.ServeHTTP(w, r)
	}
	srv := &http.Server{Handler: http.HandlerFunc(handle), Protocols: p}
	done := make(chan struct{})
	go func() { defer close(done); _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close(); <-done })
	return newClients(t, l.Addr().(*net.TCPAddr).AddrPort()), f
}

func newClients(t *testing.T, at netip.AddrPort) *peer.Clients {
	t.Helper()
	c := peer.NewClients(peer.Config{
		Name: "c1", Bind: netip.MustParseAddr(bindAddress),
		Peers: []peer.Peer{{Name: "c1", Address: at}, {Name: "c2", Address: at}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

// Guards against Raft messages that overtake each other on a healthy connection.
func TestRaftMessagesKeepOrder(t *testing.T) {
	c, f := connectToFake(t)
	const n = 200
	for i := range n {
		c.SendRaft("c2", [][]byte{[]byte(strconv.Itoa(i))})
	}
	limit := time.After(20 * time.Second)
	for i := range n {
		select {
		case got := <-f.messages:
			if string(got) != strconv.Itoa(i) {
				t.Fatalf("message %d is %s", i, got)
			}
		case <-limit:
			t.Fatalf("only %d messages", i)
		}
	}
}

// Guards against a sender that blocks because a peer accepts connections but never responds.
func TestSendRaftDoesNotBlock(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := newClients(t, l.Addr().(*net.TCPAddr).AddrPort())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10_000 {
			c.SendRaft("c2", [][]byte{make([]byte, 100)})
			c.SendRaft("unknown", [][]byte{make([]byte, 100)})
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("SendRaft blocks")
	}
}

// Guards against a forwarded command that is reported as not proposed although it may have been.
func TestForward(t *testing.T) {
	tests := []struct {
		name      string
		err       error
		notLeader bool
		unknown   bool
	}{
		{"committed", nil, false, false},
		{"not the leader", &raftgroup.NotLeaderError{Leader: "c3"}, true, false},
		{"outcome unknown", raftgroup.ErrOutcomeUnknown, false, true},
		{"closed", raftgroup.ErrClosed, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, f := connectToFake(t)
			f.propose = func(command []byte) ([]byte, error) { return command, tt.err }
			got, err := c.Forward(t.Context(), "c2", []byte("command"))
			var notLeader *raftgroup.NotLeaderError
			if errors.As(err, &notLeader) != tt.notLeader || errors.Is(err, raftgroup.ErrOutcomeUnknown) != tt.unknown {
				t.Fatalf("error %v", err)
			}
			if tt.err == nil && !slices.Equal(got, []byte("command")) {
				t.Errorf("result %q", got)
			}
		})
	}
	c := newClients(t, netip.MustParseAddrPort("127.0.0.1:1"))
	if _, err := c.Forward(t.Context(), "c2", nil); !errors.Is(err, raftgroup.ErrOutcomeUnknown) {
		t.Errorf("connection refused: %v", err)
	}
}

// Guards against directory deltas whose sender is lost on the way, and connections from another source address than the
// configured one.
func TestExchange(t *testing.T) {
	c, f := connectToFake(t)
	got, err := c.Exchange(t.Context(), "c2", &control.ExchangeRequest{From: "c1"})
	if err != nil || !slices.Equal(got.GetMissing(), []string{"c1"}) {
		t.Fatalf("got %v, %v", got, err)
	}
	if from := f.callerAddress.Load().(string); !strings.HasPrefix(from, bindAddress+":") {
		t.Errorf("connection from %s, want %s", from, bindAddress)
	}
	if _, err := c.Exchange(t.Context(), "c9", &control.ExchangeRequest{}); err == nil {
		t.Error("exchange with an unknown peer succeeds")
	}
}
