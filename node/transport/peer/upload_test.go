package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/peer"
)

// fakeDestination answers every attempt with its body and keeps what it got.
type fakeDestination struct {
	attempts chan message.Attempt
}

func (d *fakeDestination) Serve(_ context.Context, a message.Attempt, req *message.Request) *message.Reply {
	d.attempts <- a
	reply := &message.Reply{Outcome: attempt.Answered, Length: len(req.Body), Body: io.NopCloser(strings.NewReader(string(req.Body)))}
	reply.Header.SetStatusCode(http.StatusOK)
	return reply
}

func (d *fakeDestination) Cancel(context.Context, destination.Cancel) destination.CancelOutcome {
	return destination.Unknown
}

// startPeerServer starts a server of a destination node; refuse decides about attempts before their bodies.
func startPeerServer(t *testing.T, refuse func(message.Attempt) refusal.Reason) (*peer.Server, *fakeDestination, netip.AddrPort) {
	t.Helper()
	d := &fakeDestination{attempts: make(chan message.Attempt, 100)}
	s := peer.NewServer(peer.ServerConfig{
		Node: "destination", Destination: d,
		LocalHint:      func() hint.Hint { return hint.Hint{Limit: 7} },
		Rules:          func() (uint64, string) { return 0, "" },
		OnPeerRevision: func(string, uint64) {},
		RefuseEarly:    refuse,
		MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 20, BodyMemory: semaphore.NewWeighted(4 << 20),
		ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute, WriteTimeout: 10 * time.Second,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return s, d, netip.MustParseAddrPort(ln.Addr().String())
}

func newUpload(length int) *message.Request {
	req := newRequest()
	req.Upload = true
	req.Body = []byte(strings.Repeat("b", length))
	req.Header.SetContentLength(length)
	return req
}

// Guards against an upload that loses or gains bytes on its way, at any length, and against one that a destination refuses as
// slow after its body has crossed the link.
func TestUploadReachesDestination(t *testing.T) {
	s, d, address := startPeerServer(t, nil)
	c := newTestClient(t, func() bool { return false }, nil)
	for i, length := range []int{1, 16<<10 - 1, 16 << 10, 60_000, 360_000, 1 << 20} {
		a := newAttempt(uint64(i + 1))
		a.Movable = true
		reply := c.Send(t.Context(), balancer.Target{PeerAddress: address}, a, newUpload(length))
		if reply.Outcome != attempt.Answered {
			t.Fatalf("%d bytes: outcome %s, reason %s", length, reply.Outcome, reply.Refusal.Reason)
		}
		body, err := io.ReadAll(reply.Body)
		if err != nil || string(body) != strings.Repeat("b", length) {
			t.Errorf("%d bytes: %d came back, error %v", length, len(body), err)
		}
		if got := <-d.attempts; got.Movable != (length < 16<<10) {
			t.Errorf("%d bytes: movable %v", length, got.Movable)
		}
	}
	if waiting, receiving, refused := s.UploadCounts(); waiting+receiving != 0 || refused != 0 {
		t.Errorf("%d wait, %d arrive, %d refused", waiting, receiving, refused)
	}
}

// Guards against a body that crosses the link to a destination that refuses its attempt, against an attempt that counts as
// run after that, and against a load report that the entry node does not get with such a refusal.
func TestUploadIsRefusedBeforeItsBody(t *testing.T) {
	s, d, address := startPeerServer(t, func(message.Attempt) refusal.Reason { return refusal.BackendSlow })
	c := newTestClient(t, func() bool { return false }, nil)
	for i := range uint64(3) {
		reply := c.Send(t.Context(), balancer.Target{PeerAddress: address}, newAttempt(i+1), newUpload(60_000))
		if reply.Outcome != attempt.NotRun || reply.Refusal.Reason != refusal.BackendSlow {
			t.Fatalf("outcome %s, reason %s", reply.Outcome, reply.Refusal.Reason)
		}
		if reply.Hint == nil || reply.Hint.Limit != 7 {
			t.Errorf("hint %v", reply.Hint)
		}
	}
	if len(d.attempts) != 0 {
		t.Errorf("%d attempts were run", len(d.attempts))
	}
	if _, _, refused := s.UploadCounts(); refused != 3 {
		t.Errorf("%d refusals counted, want 3", refused)
	}
}
