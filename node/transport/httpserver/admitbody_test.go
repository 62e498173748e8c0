package httpserver_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/transport/httpserver"
)

// testTicket is a ticket that the test decides.
type testTicket struct {
	decided  chan struct{}
	reason   refusal.Reason
	received atomic.Int64
	ended    chan struct{}
	endOnce  sync.Once
}

func newTestTicket() *testTicket {
	return &testTicket{decided: make(chan struct{}), ended: make(chan struct{})}
}

func (k *testTicket) Decided() <-chan struct{} { return k.decided }
func (k *testTicket) Reason() refusal.Reason   { return k.reason }
func (k *testTicket) Received(n int)           { k.received.Add(int64(n)) }
func (k *testTicket) End()                     { k.endOnce.Do(func() { close(k.ended) }) }

func (k *testTicket) decide(reason refusal.Reason) {
	k.reason = reason
	close(k.decided)
}

func (k *testTicket) awaitEnd(t *testing.T) {
	t.Helper()
	select {
	case <-k.ended:
	case <-time.After(testTimeout):
		t.Fatal("the ticket was not ended")
	}
}

// startAsking starts a server with one ticket per asking request and sends the header of a request with a body.
func startAsking(t *testing.T, length int) (*testServer, *client, *testTicket) {
	t.Helper()
	tickets := make(chan *testTicket, 1)
	s := newTestServer(t, func(cfg *httpserver.Config) {
		cfg.AdmitBody = func(*fasthttp.RequestHeader, time.Time) httpserver.BodyTicket {
			k := newTestTicket()
			tickets <- k
			return k
		}
	})
	c := s.dial()
	t.Cleanup(func() { _ = c.Close() })
	c.send("POST /a HTTP/1.1\r\nHost: desk.example\r\nExpect: 100-continue\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n")
	select {
	case k := <-tickets:
		return s, c, k
	case <-time.After(testTimeout):
		t.Fatal("no ticket was taken")
	}
	return nil, nil, nil
}

// Guards against a body that is asked for before its turn, and against a ticket that is held after the body.
func TestBodyIsAskedForAtItsTurn(t *testing.T) {
	const length = 50_000
	s, c, k := startAsking(t, length)
	k.decide(refusal.None)
	if resp, err := http.ReadResponse(c.r, nil); err != nil || resp.StatusCode != http.StatusContinue {
		t.Fatalf("no 100 Continue: %v, %v", resp, err)
	}
	c.send(strings.Repeat("b", length))
	k.awaitEnd(t)
	if got := k.received.Load(); got != length {
		t.Errorf("%d bytes reported, want %d", got, length)
	}
	s.reply("/a")
	c.expectReply("/a")
	s.stop()
}

// Guards against a request that is refused before its body but runs, whose body is asked for, or whose connection is used
// for another request.
func TestRefusedBodyIsNotAskedFor(t *testing.T) {
	s, c, k := startAsking(t, 50_000)
	k.decide(refusal.BackendSlow)
	resp, _ := c.readResponse()
	if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("status %d, close %v, want 503 on a connection that closes", resp.StatusCode, resp.Close)
	}
	c.expectEOF()
	k.awaitEnd(t)
	s.stop()
	if got := s.startedCount(); got != 0 {
		t.Errorf("%d requests were started", got)
	}
}

// Guards against a place in the queue that is held for a client that has left, while it waits or within its body.
func TestBodyOfGoneClientLeavesQueue(t *testing.T) {
	t.Run("while it waits", func(t *testing.T) {
		s, c, k := startAsking(t, 50_000)
		_ = c.Close()
		k.awaitEnd(t)
		s.stop()
	})
	t.Run("within its body", func(t *testing.T) {
		s, c, k := startAsking(t, 50_000)
		k.decide(refusal.None)
		if resp, err := http.ReadResponse(c.r, nil); err != nil || resp.StatusCode != http.StatusContinue {
			t.Fatalf("no 100 Continue: %v, %v", resp, err)
		}
		c.send("b")
		_ = c.Close()
		k.awaitEnd(t)
		s.stop()
		if got := s.startedCount(); got != 0 {
			t.Errorf("%d requests were started", got)
		}
	})
}
