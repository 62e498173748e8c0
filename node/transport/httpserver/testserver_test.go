package httpserver_test

import (
	"bufio"
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

// patience bounds what must happen; nothing is asserted to take less.
const patience = 20 * time.Second

// fatal is what tests and property checks have in common.
type fatal interface {
	Helper()
	Fatalf(format string, args ...any)
}

// run is one request that the handler carries out.
type run struct {
	path  string
	ctx   context.Context
	reply chan *message.Reply
}

// rig is a server whose requests are answered by the test.
type rig struct {
	t      fatal
	server *httpserver.Server
	ln     net.Listener
	memory *semaphore.Weighted
	mu     sync.Mutex
	cond   *sync.Cond
	runs   map[string]*run
	closed bool
}

// memory is what the bodies of all requests may take, in bytes.
const memory = 1 << 20

func newRig(t fatal, change func(*httpserver.Config)) *rig {
	t.Helper()
	r := &rig{t: t, runs: map[string]*run{}, memory: semaphore.NewWeighted(memory)}
	r.cond = sync.NewCond(&r.mu)
	cfg := httpserver.Config{
		Handler: inbound.New(inbound.Config{
			MaxBodyBytes: 64 << 10,
			BodyMemory:   r.memory,
			RefusalReply: func(_ *fasthttp.RequestHeader, reason refusal.Reason) *message.Reply {
				return message.RefusalReply(refusal.Refusal{Reason: reason, Outcome: attempt.NotRun, Node: "n"})
			},
			Serve: r.serve,
			PanicReply: func(*fasthttp.RequestHeader, any) *message.Reply {
				return message.RefusalReply(refusal.Refusal{Reason: refusal.Internal, Outcome: attempt.Unknown, Node: "n"})
			},
		}),
		Exclusive:      func(h *fasthttp.RequestHeader) bool { return !h.IsGet() },
		MaxHeaderBytes: 4 << 10, MaxBodyBytes: 64 << 10, MaxPipelined: 8, MaxReadAhead: 100,
		ReadTimeout: patience, IdleTimeout: patience,
	}
	if change != nil {
		change(&cfg)
	}
	r.server = httpserver.New(cfg)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	r.ln = ln
	go func() { _ = r.server.Serve(inbound.WithWriteTimeout(ln, patience)) }()
	return r
}

func (r *rig) serve(ctx context.Context, in inbound.Request) *message.Reply {
	if string(in.Header.RequestURI()) == "/panic" {
		panic("fault")
	}
	one := &run{path: string(in.Header.RequestURI()), ctx: ctx, reply: make(chan *message.Reply, 1)}
	r.mu.Lock()
	r.runs[one.path] = one
	r.cond.Broadcast()
	r.mu.Unlock()
	select {
	case reply := <-one.reply:
		return reply
	case <-ctx.Done():
		return message.RefusalReply(refusal.Refusal{Reason: refusal.ConnectionBroken, Outcome: attempt.Unknown, Node: "n"})
	}
}

// started waits for a request to be carried out.
func (r *rig) started(path string) *run {
	r.t.Helper()
	timer := time.AfterFunc(patience, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.closed = true
		r.cond.Broadcast()
	})
	defer timer.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.runs[path] == nil && !r.closed {
		r.cond.Wait()
	}
	one := r.runs[path]
	if one == nil {
		r.t.Fatalf("%s was not started", path)
	}
	return one
}

// count returns how many requests were carried out.
func (r *rig) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// answer ends a request with its own path as the body.
func (r *rig) answer(path string) {
	r.t.Helper()
	r.started(path).reply <- text(path)
}

func text(body string) *message.Reply {
	reply := &message.Reply{Outcome: attempt.Answered, Length: len(body), Body: io.NopCloser(strings.NewReader(body))}
	reply.Header.SetStatusCode(http.StatusOK)
	return reply
}

func (r *rig) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := r.server.Shutdown(ctx); err != nil {
		r.t.Fatalf("shutdown: %v", err)
	}
	if !r.memory.TryAcquire(memory) {
		r.t.Fatalf("the memory of some body was not given back")
	}
}

// caller is one connection.
type caller struct {
	t fatal
	net.Conn
	r *bufio.Reader
}

func (r *rig) call() *caller {
	r.t.Helper()
	c, err := net.Dial("tcp", r.ln.Addr().String())
	if err != nil {
		r.t.Fatalf("dial: %v", err)
	}
	_ = c.SetDeadline(time.Now().Add(patience))
	return &caller{t: r.t, Conn: c, r: bufio.NewReader(c)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatalf("send: %v", err)
	}
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\n\r\n"
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// expect reads the next answer, which must have the path of its request as the body.
func (c *caller) expect(path string) *http.Response {
	c.t.Helper()
	resp, body := c.read()
	if resp.StatusCode != http.StatusOK || body != path {
		c.t.Fatalf("status %d, body %q, want the answer to %s", resp.StatusCode, body, path)
	}
	return resp
}

func (c *caller) read() (*http.Response, string) {
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

// ends fails if anything but the end of the connection follows.
func (c *caller) ends() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.r); err != nil || len(rest) > 0 {
		c.t.Fatalf("after the last answer: %q, error %v", rest, err)
	}
	_ = c.Close()
}

func path(i int) string {
	return fmt.Sprintf("/%d", i)
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// broken is a body that ends early.
type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
func (broken) Close() error             { return nil }
