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

// bind is an address that the system would not choose by itself.
const bind = "127.9.8.7"

// fake is the group and the directory behind a handler.
type fake struct {
	got   chan []byte
	from  atomic.Value // address of the last caller
	serve func(command []byte) ([]byte, error)
}

func (f *fake) Receive(messages [][]byte) {
	for _, m := range messages {
		f.got <- m
	}
}

func (f *fake) ProposeForwarded(_ context.Context, command []byte) ([]byte, error) {
	return f.serve(command)
}

func (f *fake) Exchange(_ context.Context, req *control.ExchangeRequest) (*control.ExchangeResponse, error) {
	return &control.ExchangeResponse{Missing: []string{req.GetFrom()}}, nil
}

// connected returns the clients of c1 and the fake behind c2.
func connected(t *testing.T) (*peer.Clients, *fake) {
	t.Helper()
	f := &fake{got: make(chan []byte, 1000)}
	mux := http.NewServeMux()
	mux.Handle(controlconnect.NewPeerHandler(&peer.Handler{Group: f, Directory: f}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	note := func(w http.ResponseWriter, r *http.Request) {
		f.from.Store(r.RemoteAddr)
		mux.ServeHTTP(w, r)
	}
	srv := &http.Server{Handler: http.HandlerFunc(note), Protocols: p}
	done := make(chan struct{})
	go func() { defer close(done); _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close(); <-done })
	return clients(t, l.Addr().(*net.TCPAddr).AddrPort()), f
}

func clients(t *testing.T, at netip.AddrPort) *peer.Clients {
	t.Helper()
	c := peer.NewClients(peer.Config{
		Name: "c1", Bind: netip.MustParseAddr(bind),
		Peers: []peer.Peer{{Name: "c1", Address: at}, {Name: "c2", Address: at}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

// Guards against consensus messages that overtake each other on a healthy connection.
func TestRaftKeepsTheOrder(t *testing.T) {
	c, f := connected(t)
	const n = 200
	for i := range n {
		c.SendRaft("c2", [][]byte{[]byte(strconv.Itoa(i))})
	}
	limit := time.After(20 * time.Second)
	for i := range n {
		select {
		case got := <-f.got:
			if string(got) != strconv.Itoa(i) {
				t.Fatalf("message %d is %s", i, got)
			}
		case <-limit:
			t.Fatalf("only %d messages", i)
		}
	}
}

// Guards against consensus that blocks on a peer which takes connections and answers nothing.
func TestSilentPeerDoesNotBlock(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := clients(t, l.Addr().(*net.TCPAddr).AddrPort())
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
		t.Fatal("Send blocks")
	}
}

// Guards against a forwarded command that counts as not proposed although it may have been.
func TestForward(t *testing.T) {
	tests := []struct {
		name    string
		err     error
		refused bool
		unknown bool
	}{
		{"committed", nil, false, false},
		{"not the leader", &raftgroup.NotLeaderError{Leader: "c3"}, true, false},
		{"outcome unknown", raftgroup.ErrOutcomeUnknown, false, true},
		{"closed", raftgroup.ErrClosed, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, f := connected(t)
			f.serve = func(command []byte) ([]byte, error) { return command, tt.err }
			got, err := c.Forward(t.Context(), "c2", []byte("command"))
			var refused *raftgroup.NotLeaderError
			if errors.As(err, &refused) != tt.refused || errors.Is(err, raftgroup.ErrOutcomeUnknown) != tt.unknown {
				t.Fatalf("error %v", err)
			}
			if tt.err == nil && !slices.Equal(got, []byte("command")) {
				t.Errorf("result %q", got)
			}
		})
	}
	c := clients(t, netip.MustParseAddrPort("127.0.0.1:1"))
	if _, err := c.Forward(t.Context(), "c2", nil); !errors.Is(err, raftgroup.ErrOutcomeUnknown) {
		t.Errorf("connection refused: %v", err)
	}
}

// Guards against directory deltas that lose their sender on the way, and connections from another address than the configured one.
func TestExchange(t *testing.T) {
	c, f := connected(t)
	got, err := c.Exchange(t.Context(), "c2", &control.ExchangeRequest{From: "c1"})
	if err != nil || !slices.Equal(got.GetMissing(), []string{"c1"}) {
		t.Fatalf("got %v, %v", got, err)
	}
	if from := f.from.Load().(string); !strings.HasPrefix(from, bind+":") {
		t.Errorf("connection from %s, want %s", from, bind)
	}
	if _, err := c.Exchange(t.Context(), "c9", &control.ExchangeRequest{}); err == nil {
		t.Error("exchange with an unknown peer succeeds")
	}
}
