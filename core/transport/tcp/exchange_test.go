package tcp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/mtls/mtlstest"
	"pollenhill.example/core/transport/tcp"
)

// testServer answers each request with the bytes that reply returns for the number of the connection and of the request
// on it, both from 1; without keep it closes the connection afterwards.
type testServer struct {
	ln      net.Listener
	creds   *mtls.Credentials // nil: plain TCP
	conns   atomic.Int32      // accepted so far
	open    atomic.Int32      // open now
	mu      sync.Mutex
	maxOpen int32         // highest value of open
	closed  chan struct{} // one value per connection that the client closed
	ended   chan struct{} // one value per connection that is closed on this side
	reply   func(conn, request int) (reply string, keep bool)
}

// testPlainAndTLS runs a test over plain TCP and over TLS, since a Pool gives the same guarantees on both.
func testPlainAndTLS(t *testing.T, test func(*testing.T, *mtls.Credentials)) {
	t.Run("plain", func(t *testing.T) { test(t, nil) })
	t.Run("TLS", func(t *testing.T) {
		creds, err := mtls.LoadCredentials(mtlstest.NewAuthority(t).Issue(t, t.TempDir(), "process", time.Now().Add(time.Hour)))
		if err != nil {
			t.Fatal(err)
		}
		test(t, creds)
	})
}

func startServer(t *testing.T, creds *mtls.Credentials, reply func(conn, request int) (string, bool)) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln = creds.WrapListener(ln)
	s := &testServer{ln: ln, creds: creds, reply: reply, closed: make(chan struct{}, 1000), ended: make(chan struct{}, 1000)}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := int(s.conns.Add(1))
			wg.Go(func() { s.handle(c, n) })
		}
	})
	t.Cleanup(func() { ln.Close(); wg.Wait() })
	return s
}

// handle serves connection number n.
func (s *testServer) handle(c net.Conn, n int) {
	defer func() { c.Close(); s.ended <- struct{}{} }()
	open := s.open.Add(1)
	s.mu.Lock()
	s.maxOpen = max(s.maxOpen, open)
	s.mu.Unlock()
	defer s.open.Add(-1)
	r := bufio.NewReader(c)
	for i := 1; ; i++ {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			s.closed <- struct{}{}
			return
		}
		reply, keep := s.reply(n, i)
		if _, err := io.WriteString(c, reply); err != nil || !keep {
			return
		}
	}
}

func newPool(t *testing.T, s *testServer, maxConnections int) *tcp.Pool {
	p := tcp.NewPool(tcp.PoolConfig{
		Address:        netip.MustParseAddrPort(s.ln.Addr().String()),
		Dialer:         s.creds.WrapDialer(tcp.Dialer{Bind: netip.MustParseAddr("127.0.0.1"), Timeout: 5 * time.Second}),
		MaxConnections: maxConnections,
		IdleTimeout:    time.Minute,
	})
	t.Cleanup(p.Close)
	return p
}

func newHeader(method string) *fasthttp.RequestHeader {
	var h fasthttp.RequestHeader
	h.SetMethod(method)
	h.SetRequestURI("/x")
	h.SetHost("desk.example")
	return &h
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// Guards against a truncated or ambiguous response that is accepted as complete, and against the reuse of a connection
// that still holds bytes of another response.
func TestExchangeReadsOnlyCompleteResponses(t *testing.T) {
	testPlainAndTLS(t, testExchangeReadsOnlyCompleteResponses)
}

func testExchangeReadsOnlyCompleteResponses(t *testing.T, creds *mtls.Credentials) {
	tests := map[string]struct {
		reply  string
		keep   bool // the server keeps the connection open
		method string
		header bool // the header is accepted
		body   string
		cut    bool // reading the body fails
		reuse  bool // the connection becomes idle
	}{
		"fixed length":       {reply: completeResponse, keep: true, header: true, body: "hello", reuse: true},
		"chunked":            {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", keep: true, header: true, body: "hello", reuse: true},
		"chunked, trailer":   {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n", keep: true, header: true, body: "hello", reuse: true},
		"interim first":      {reply: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + completeResponse, keep: true, header: true, body: "hello", reuse: true},
		"empty":              {reply: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", keep: true, header: true, reuse: true},
		"no content":         {reply: "HTTP/1.1 204 No Content\r\n\r\n", keep: true, header: true, reuse: true},
		"to HEAD":            {reply: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", keep: true, method: "HEAD", header: true, reuse: true},
		"asks to close":      {reply: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", keep: true, header: true, body: "hello"},
		"cut, fixed length":  {reply: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", header: true, cut: true},
		"cut in a chunk":     {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello", header: true, cut: true},
		"cut between chunks": {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", header: true, cut: true},
		"cut in the trailer": {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", header: true, cut: true},
		"bad chunk size":     {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", keep: true, header: true, cut: true},
		"two responses":      {reply: completeResponse + completeResponse, keep: true, header: true, body: "hello"},
		"cut in the header":  {reply: "HTTP/1.1 200 OK\r\nContent-Le"},
		"no bytes":           {},
		"not HTTP":           {reply: "hello\r\n\r\n", keep: true},
		"no length":          {reply: "HTTP/1.1 200 OK\r\n\r\nhello"},
		"two lengths":        {reply: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello", keep: true},
		"length and chunks":  {reply: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", keep: true},
		"folded header":      {reply: "HTTP/1.1 200 OK\r\nX-A: 1\r\n b\r\nContent-Length: 5\r\n\r\nhello", keep: true},
		"huge header":        {reply: "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 2*tcp.ReadBufferSize) + "\r\nContent-Length: 0\r\n\r\n", keep: true},
		"switches protocols": {reply: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", keep: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, creds, func(conn, _ int) (string, bool) {
				if conn > 1 {
					return completeResponse, true
				}
				return test.reply, test.keep
			})
			p := newPool(t, s, 1)
			method := test.method
			if method == "" {
				method = "GET"
			}
			resp, err := p.Exchange(context.Background(), newHeader(method), nil)
			if (err == nil) != test.header {
				t.Fatalf("header error %v", err)
			}
			if err == nil {
				body, err := io.ReadAll(resp.Body)
				if (err != nil) != test.cut || !test.cut && string(body) != test.body {
					t.Errorf("body %q, error %v", body, err)
				}
			}
			if !test.reuse {
				// A second request must not use the first connection, whose state is unknown.
				resp, err = p.Exchange(context.Background(), newHeader("GET"), nil)
				if err != nil {
					t.Fatal(err)
				}
				if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "hello" {
					t.Errorf("second body %q, error %v", body, err)
				}
			}
			if _, idle := p.ConnectionCounts(); test.reuse && idle != 1 || !test.reuse && s.conns.Load() != 2 {
				t.Errorf("%d idle connections, %d accepted connections", idle, s.conns.Load())
			}
		})
	}
}

// Guards against the outcome "not run" for a request of which the other side may have received a byte.
func TestErrorReportsWhetherBytesWereWritten(t *testing.T) {
	testPlainAndTLS(t, testErrorReportsWhetherBytesWereWritten)
}

func testErrorReportsWhetherBytesWereWritten(t *testing.T, creds *mtls.Credentials) {
	s := startServer(t, creds, func(int, int) (string, bool) { return "", false })
	_, err := newPool(t, s, 1).Exchange(context.Background(), newHeader("GET"), nil)
	var failed *tcp.Error
	if !errors.As(err, &failed) || !failed.WroteAny || failed.Step != tcp.ReadHeader {
		t.Errorf("connection closed without a response: %v", err)
	}
	s.ln.Close()
	_, err = newPool(t, s, 1).Exchange(context.Background(), newHeader("GET"), nil)
	if !errors.As(err, &failed) || failed.WroteAny || failed.Step != tcp.Connect {
		t.Errorf("connection refused: %v", err)
	}
}

// Guards against writing a request to an idle connection that the other side has closed.
func TestIdleConnectionIsCheckedBeforeUse(t *testing.T) {
	testPlainAndTLS(t, testIdleConnectionIsCheckedBeforeUse)
}

func testIdleConnectionIsCheckedBeforeUse(t *testing.T, creds *mtls.Credentials) {
	s := startServer(t, creds, func(conn, _ int) (string, bool) { return completeResponse, conn > 1 })
	p := newPool(t, s, 1)
	for i := range 2 {
		resp, err := p.Exchange(context.Background(), newHeader("POST"), nil)
		if err != nil {
			t.Fatalf("exchange %d: %v", i, err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			<-s.ended
		}
	}
}

// Guards against a server that goes on working on a cancelled request because its connection stays open.
func TestCancellationClosesTheConnection(t *testing.T) {
	testPlainAndTLS(t, testCancellationClosesTheConnection)
}

func testCancellationClosesTheConnection(t *testing.T, creds *mtls.Credentials) {
	got := make(chan struct{})
	s := startServer(t, creds, func(int, int) (string, bool) {
		close(got)
		return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", true
	})
	p := newPool(t, s, 1)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := p.Exchange(ctx, newHeader("GET"), nil)
	if err != nil {
		t.Fatal(err)
	}
	<-got
	cancel()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("the body of a cancelled exchange was read to its end")
	}
	<-s.closed
	if used, idle := p.ConnectionCounts(); used+idle != 0 {
		t.Errorf("%d connections in use and %d idle, want none", used, idle)
	}
}

// Guards against more open connections than the back end accepts, idle and preconnected ones included.
func TestPoolRespectsMaxConnections(t *testing.T) { testPlainAndTLS(t, testPoolRespectsMaxConnections) }

func testPoolRespectsMaxConnections(t *testing.T, creds *mtls.Credentials) {
	const maxConnections = 5
	s := startServer(t, creds, func(int, int) (string, bool) { return completeResponse, true })
	p := newPool(t, s, maxConnections)
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() { p.Preconnect(context.Background()) })
		wg.Go(func() {
			for range 20 {
				resp, err := p.Exchange(context.Background(), newHeader("GET"), nil)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.ReadAll(resp.Body)
			}
		})
	}
	wg.Wait()
	if s.maxOpen > maxConnections {
		t.Errorf("%d connections open at once, want at most %d", s.maxOpen, maxConnections)
	}
}
