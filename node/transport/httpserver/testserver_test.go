package httpserver_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/httpserver"
	"pollenhill.example/node/transport/inbound"
)

// testTimeout limits the wait for expected events; no test asserts a shorter time.
const testTimeout = 20 * time.Second

// testReporter is implemented by *testing.T and *rapid.T.
type testReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// startedRequest is a request that was passed to the handler; the test sends its reply.
type startedRequest struct {
	path  string
	body  []byte
	ctx   context.Context
	reply chan *message.Reply
}

// testServer is a server whose replies are given by the test.
type testServer struct {
	t        testReporter
	server   *httpserver.Server
	ln       net.Listener
	memory   *semaphore.Weighted
	mu       sync.Mutex
	cond     *sync.Cond
	started  map[string]*startedRequest
	timedOut bool
}

// bodyMemory is the memory budget for all request bodies, in bytes.
const bodyMemory = 1 << 20

func newTestServer(t testReporter, change func(*httpserver.Config)) *testServer {
	t.Helper()
	s := &testServer{t: t, started: map[string]*startedRequest{}, memory: semaphore.NewWeighted(bodyMemory)}
	s.cond = sync.NewCond(&s.mu)
	cfg := httpserver.Config{
		Handler: inbound.New(inbound.Config{
			MaxBodyBytes: 64 << 10,
			BodyMemory:   s.memory,
			RefusalReply: func(_ *fasthttp.RequestHeader, reason refusal.Reason) *message.Reply {
				return message.RefusalReply(refusal.Refusal{Reason: reason, Outcome: attempt.NotRun, Node: "n"})
			},
			Serve: s.serve,
			PanicReply: func(*fasthttp.RequestHeader, any) *message.Reply {
				return message.RefusalReply(refusal.Refusal{Reason: refusal.Internal, Outcome: attempt.Unknown, Node: "n"})
			},
			ExpiredReply: func(*fasthttp.RequestHeader) *message.Reply {
				return message.RefusalReply(refusal.Refusal{Reason: refusal.Timeout, Outcome: attempt.Unknown, Node: "n"})
			},
		}),
		Exclusive:      func(h *fasthttp.RequestHeader) bool { return !h.IsGet() },
		MaxHeaderBytes: 4 << 10, MaxBodyBytes: 64 << 10, MaxPipelined: 8, MaxReadAhead: 100,
		ReadTimeout: testTimeout, IdleTimeout: testTimeout,
	}
	if change != nil {
		change(&cfg)
	}
	s.server = httpserver.New(cfg)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	s.ln = ln
	go func() { _ = s.server.Serve(inbound.WithWriteTimeout(ln, testTimeout)) }()
	return s
}

func (s *testServer) serve(ctx context.Context, in inbound.Request) *message.Reply {
	if string(in.Header.RequestURI()) == "/panic" {
		panic("fault")
	}
	req := &startedRequest{path: string(in.Header.RequestURI()), body: bytes.Clone(in.Body), ctx: ctx, reply: make(chan *message.Reply, 1)}
	s.mu.Lock()
	s.started[req.path] = req
	s.cond.Broadcast()
	s.mu.Unlock()
	select {
	case reply := <-req.reply:
		return reply
	case <-ctx.Done():
		return message.RefusalReply(refusal.Refusal{Reason: refusal.ConnectionBroken, Outcome: attempt.Unknown, Node: "n"})
	}
}

// awaitStarted waits until the request for path was passed to the handler.
func (s *testServer) awaitStarted(path string) *startedRequest {
	s.t.Helper()
	timer := time.AfterFunc(testTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timedOut = true
		s.cond.Broadcast()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.started[path] == nil && !s.timedOut {
		s.cond.Wait()
	}
	req := s.started[path]
	if req == nil {
		s.t.Fatalf("%s was not started", path)
	}
	return req
}

// startedCount returns how many requests were passed to the handler.
func (s *testServer) startedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.started)
}

// reply answers the request for path with the path as the body.
func (s *testServer) reply(path string) {
	s.t.Helper()
	s.awaitStarted(path).reply <- textReply(path)
}

func textReply(body string) *message.Reply {
	reply := &message.Reply{Outcome: attempt.Answered, Length: len(body), Body: io.NopCloser(strings.NewReader(body))}
	reply.Header.SetStatusCode(http.StatusOK)
	return reply
}

// stop shuts the server down and checks that the memory of all bodies was released.
func (s *testServer) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		s.t.Fatalf("shutdown: %v", err)
	}
	if !s.memory.TryAcquire(bodyMemory) {
		s.t.Fatalf("the memory of a request body was not released")
	}
}

// client is a client connection.
type client struct {
	t testReporter
	net.Conn
	r *bufio.Reader
}

func (s *testServer) dial() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.ln.Addr().String())
	if err != nil {
		s.t.Fatalf("dial: %v", err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &client{t: s.t, Conn: c, r: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatalf("send: %v", err)
	}
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\n\r\n"
}

func closing(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n\r\n"
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// expectReply reads the next response, which must be the one to the request for path.
func (c *client) expectReply(path string) *http.Response {
	c.t.Helper()
	resp, body := c.readResponse()
	if resp.StatusCode != http.StatusOK || body != path {
		c.t.Fatalf("status %d, body %q, want the reply to %s", resp.StatusCode, body, path)
	}
	return resp
}

func (c *client) readResponse() (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("response: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("body: %v", err)
	}
	return resp, string(body)
}

// expectEOF fails the test if the server sends anything more before it closes the connection.
func (c *client) expectEOF() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.r); err != nil || len(rest) > 0 {
		c.t.Fatalf("after the last reply: %q, error %v", rest, err)
	}
	_ = c.Close()
}

func numberedPath(i int) string {
	return fmt.Sprintf("/%d", i)
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// truncatedBody is a body whose first read fails.
type truncatedBody struct{}

func (truncatedBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
func (truncatedBody) Close() error             { return nil }
