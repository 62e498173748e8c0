package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/header"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/engine"
	"pollenhill.example/node/coordination/parent"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/caller"
)

// testTimeout limits the wait for expected events; no test asserts a shorter time.
const testTimeout = 20 * time.Second

// sentAttempt is an attempt that the server under test sent to a destination node.
type sentAttempt struct {
	attempt message.Attempt
	request *message.Request
}

// fakeSender takes the attempts of the server under test and answers them without a network.
type fakeSender struct {
	mu       sync.Mutex
	sent     []sentAttempt
	refusals int           // attempts that are refused as not run before one is answered
	hold     chan struct{} // answers wait until it is closed; nil for no wait
	started  chan struct{} // receives a value for each attempt while it has room
}

// Send records the attempt and answers it, or refuses it.
func (f *fakeSender) Send(_ context.Context, _ balancer.Target, a message.Attempt, req *message.Request) *message.Reply {
	f.mu.Lock()
	f.sent = append(f.sent, sentAttempt{attempt: a, request: req})
	refuse := f.refusals > 0
	if refuse {
		f.refusals--
	}
	hold := f.hold
	f.mu.Unlock()
	select {
	case f.started <- struct{}{}:
	default:
	}
	if hold != nil {
		<-hold
	}
	if refuse {
		return message.RefusalReply(refusal.Refusal{Reason: refusal.Shed, Outcome: attempt.NotRun, Node: "m", Depth: a.Depth})
	}
	reply := &message.Reply{Outcome: attempt.Answered, Result: balancer.Succeeded}
	reply.Header.SetStatusCode(http.StatusOK)
	return reply
}

// Cancel says that nothing is known of the attempt.
func (f *fakeSender) Cancel(context.Context, balancer.Target, attempt.ID) destination.CancelOutcome {
	return destination.Unknown
}

// take returns the attempts since the last call.
func (f *fakeSender) take() []sentAttempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent := f.sent
	f.sent = nil
	return sent
}

// setRefusals makes the next attempts end as not run.
func (f *fakeSender) setRefusals(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusals = n
}

// setHold makes answers wait until hold is closed.
func (f *fakeSender) setHold(hold chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hold = hold
}

// testServer is a caller.Server with an engine that knows two back ends of the service desk, both at other nodes.
type testServer struct {
	address    string
	engine     *engine.Engine
	sender     *fakeSender
	parents    *parent.Table
	allowances *fakeAllowances
	rules      atomic.Pointer[rule.Set]
	outdated   atomic.Bool // newer rules are known to exist

	mu          sync.Mutex
	keysRefused map[bool]int    // by whether a key was sent
	log         strings.Builder // lines of all events
}

// Write takes lines of the event log.
func (s *testServer) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Write(line)
}

// logText returns the lines of all events.
func (s *testServer) logText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.String()
}

// startServer starts a server without rules; it runs until the test ends.
func startServer(t *testing.T) *testServer {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background()) // t.Context ends before Shutdown, which needs the engine
	s := &testServer{sender: &fakeSender{started: make(chan struct{}, 1)}, parents: &parent.Table{}, allowances: &fakeAllowances{room: 1 << 30}, keysRefused: map[bool]int{}}
	s.rules.Store(&rule.Set{})
	s.engine = engine.New(engine.Config{
		Call:        call.New(call.Config{Node: "n", Incarnation: 1, Balancer: balancer.New(balancer.Config{Zone: "a", Rand: rand.New(rand.NewPCG(1, 1))})}),
		Destination: destination.New(destination.Config{Zone: "a", Incarnation: 1}),
	})
	done := make(chan struct{})
	go func() { defer close(done); s.engine.Run(ctx) }()
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(s), zapcore.InfoLevel)
	server := caller.New(caller.Config{
		Events: event.New(event.Config{Process: "n", Logger: zap.New(core), Clock: event.NewClock(time.Now)}),
		Node:   "n", Engine: s.engine, Sender: s.sender, Rules: s.rules.Load, RulesOutdated: s.outdated.Load, Parents: s.parents, Allowances: s.allowances,
		OnKeyRefused: func(sent bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.keysRefused[sent]++
		},
		MaxCalls: 100, MaxPipelined: 8, MaxReadAhead: 100, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20,
		BodyMemory:  semaphore.NewWeighted(16 << 20),
		ReadTimeout: testTimeout, IdleTimeout: testTimeout, WriteTimeout: testTimeout,
		Headers:      header.Names{RequestID: "Test-Request", Account: "Test-Account", CallerService: "Test-Caller"},
		Guarantee503: true,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		cancel()
		<-done
	})
	s.address = ln.Addr().String()
	return s
}

// targets are the back ends that the engine knows.
var targets = []balancer.Target{
	{Backend: "desk-1", Service: "desk", Node: "m", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "a", Slots: 14, State: admission.Ready},
	{Backend: "desk-2", Service: "desk", Node: "o", PeerAddress: netip.MustParseAddrPort("127.0.0.1:2"), Zone: "a", Slots: 14, State: admission.Ready},
}

// apply puts rules in force.
func (s *testServer) apply(t testReporter, revision uint64, text string) {
	t.Helper()
	set, err := rule.Parse(text)
	if err != nil {
		t.Fatalf("rules: %v", err)
	}
	set.Revision = revision
	s.rules.Store(set)
	s.engine.Apply(engine.Update{Targets: targets, Rules: set})
}

// refusedKeys returns how many requests were reported as refused without a known key.
func (s *testServer) refusedKeys(sent bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keysRefused[sent]
}

// testReporter is implemented by *testing.T and *rapid.T.
type testReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// client is a connection of a caller.
type client struct {
	t testReporter
	net.Conn
	r *bufio.Reader
}

func (s *testServer) connect(t testReporter) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &client{t: t, Conn: c, r: bufio.NewReader(c)}
}

// send writes text as it stands.
func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatalf("send: %v", err)
	}
}

// response reads one response with its body.
func (c *client) response() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("read response: %v", err)
	}
	_, _ = io.ReadAll(resp.Body)
	return resp
}

// get returns a GET request for a path of desk.example with further header lines.
func get(path string, lines ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\n" + headerLines(lines) + "\r\n"
}

// post returns a POST request with a body.
func post(path, body string, lines ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n%s\r\n%s", path, len(body), headerLines(lines), body)
}

func headerLines(lines []string) string {
	var b strings.Builder
	for _, line := range lines {
		b.WriteString(line + "\r\n")
	}
	return b.String()
}

// exchange sends a request on a connection of its own and returns the response.
func (s *testServer) exchange(t testReporter, text string) *http.Response {
	t.Helper()
	c := s.connect(t)
	defer c.Close()
	c.send(text)
	return c.response()
}
