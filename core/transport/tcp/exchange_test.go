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

// server answers each request on a connection with the next reply; an empty one closes the connection.
type server struct {
	ln      net.Listener
	source  *mtls.Credentials // nil: plain
	conns   atomic.Int32      // accepted
	open    atomic.Int32
	mu      sync.Mutex
	most    int32
	closed  chan struct{} // receives for every connection that the client closed
	ended   chan struct{} // receives for every connection that is closed on this side
	replies func(conn, request int) (reply string, keep bool)
}

// transports runs a test over plain connections and over TLS, which give the same guarantees.
func transports(t *testing.T, test func(*testing.T, *mtls.Credentials)) {
	t.Run("plain", func(t *testing.T) { test(t, nil) })
	t.Run("TLS", func(t *testing.T) {
		source, err := mtls.LoadCredentials(mtlstest.NewAuthority(t).Issue(t, t.TempDir(), "process", time.Now().Add(time.Hour)))
		if err != nil {
			t.Fatal(err)
		}
		test(t, source)
	})
}

func serve(t *testing.T, source *mtls.Credentials, replies func(conn, request int) (string, bool)) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln = source.WrapListener(ln)
	s := &server{ln: ln, source: source, replies: replies, closed: make(chan struct{}, 1000), ended: make(chan struct{}, 1000)}
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

func (s *server) handle(c net.Conn, n int) {
	defer func() { c.Close(); s.ended <- struct{}{} }()
	open := s.open.Add(1)
	s.mu.Lock()
	s.most = max(s.most, open)
	s.mu.Unlock()
	defer s.open.Add(-1)
	r := bufio.NewReader(c)
	for i := 1; ; i++ {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			s.closed <- struct{}{}
			return
		}
		reply, keep := s.replies(n, i)
		if _, err := io.WriteString(c, reply); err != nil || !keep {
			return
		}
	}
}

func pool(t *testing.T, s *server, size int) *tcp.Pool {
	p := tcp.NewPool(tcp.PoolConfig{
		Address:        netip.MustParseAddrPort(s.ln.Addr().String()),
		Dialer:         s.source.WrapDialer(tcp.Dialer{Bind: netip.MustParseAddr("127.0.0.1"), Timeout: 5 * time.Second}),
		MaxConnections: size,
		IdleTimeout:    time.Minute,
	})
	t.Cleanup(p.Close)
	return p
}

func header(method string) *fasthttp.RequestHeader {
	var h fasthttp.RequestHeader
	h.SetMethod(method)
	h.SetRequestURI("/x")
	h.SetHost("desk.example")
	return &h
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// Guards against a response that is taken for complete although it is not, and against a connection
// that is used again although bytes of another response are on it.
func TestExchangeReadsWholeResponsesOnly(t *testing.T) {
	transports(t, exchangeReadsWholeResponsesOnly)
}

func exchangeReadsWholeResponsesOnly(t *testing.T, source *mtls.Credentials) {
	tests := map[string]struct {
		reply  string
		keep   bool
		method string
		head   bool // the header is accepted
		body   string
		cut    bool // reading the body fails
		reuse  bool
	}{
		"fixed length":       {reply: whole, keep: true, head: true, body: "hello", reuse: true},
		"chunked":            {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", keep: true, head: true, body: "hello", reuse: true},
		"chunked, trailer":   {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n", keep: true, head: true, body: "hello", reuse: true},
		"interim first":      {reply: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole, keep: true, head: true, body: "hello", reuse: true},
		"empty":              {reply: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", keep: true, head: true, reuse: true},
		"no content":         {reply: "HTTP/1.1 204 No Content\r\n\r\n", keep: true, head: true, reuse: true},
		"to HEAD":            {reply: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", keep: true, method: "HEAD", head: true, reuse: true},
		"asks to close":      {reply: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", keep: true, head: true, body: "hello"},
		"cut, fixed length":  {reply: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", head: true, cut: true},
		"cut in a chunk":     {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello", head: true, cut: true},
		"cut between chunks": {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", head: true, cut: true},
		"cut before the end": {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", head: true, cut: true},
		"bad chunk size":     {reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", keep: true, head: true, cut: true},
		"more than one":      {reply: whole + whole, keep: true, head: true, body: "hello"},
		"cut in the header":  {reply: "HTTP/1.1 200 OK\r\nContent-Le"},
		"nothing":            {},
		"not HTTP":           {reply: "hello\r\n\r\n", keep: true},
		"no framing":         {reply: "HTTP/1.1 200 OK\r\n\r\nhello"},
		"two lengths":        {reply: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello", keep: true},
		"length and chunks":  {reply: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", keep: true},
		"folded header":      {reply: "HTTP/1.1 200 OK\r\nX-A: 1\r\n b\r\nContent-Length: 5\r\n\r\nhello", keep: true},
		"huge header":        {reply: "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 2*tcp.ReadBufferSize) + "\r\nContent-Length: 0\r\n\r\n", keep: true},
		"switches protocols": {reply: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", keep: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, source, func(conn, _ int) (string, bool) {
				if conn > 1 {
					return whole, true
				}
				return test.reply, test.keep
			})
			p := pool(t, s, 1)
			method := test.method
			if method == "" {
				method = "GET"
			}
			resp, err := p.Exchange(context.Background(), header(method), nil)
			if (err == nil) != test.head {
				t.Fatalf("header error %v", err)
			}
			if err == nil {
				body, err := io.ReadAll(resp.Body)
				if (err != nil) != test.cut || !test.cut && string(body) != test.body {
					t.Errorf("body %q, error %v", body, err)
				}
			}
			if !test.reuse {
				// The reply of the first connection is of no use for a second request.
				resp, err = p.Exchange(context.Background(), header("GET"), nil)
				if err != nil {
					t.Fatal(err)
				}
				if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "hello" {
					t.Errorf("second body %q, error %v", body, err)
				}
			}
			if _, idle := p.ConnectionCounts(); test.reuse && idle != 1 || !test.reuse && s.conns.Load() != 2 {
				t.Errorf("%d idle, %d connections", idle, s.conns.Load())
			}
		})
	}
}

// Guards against "not run" for a request of which the other side may have seen a byte.
func TestErrorTellsWhetherAByteWasWritten(t *testing.T) {
	transports(t, errorTellsWhetherAByteWasWritten)
}

func errorTellsWhetherAByteWasWritten(t *testing.T, source *mtls.Credentials) {
	s := serve(t, source, func(int, int) (string, bool) { return "", false })
	_, err := pool(t, s, 1).Exchange(context.Background(), header("GET"), nil)
	var failed *tcp.Error
	if !errors.As(err, &failed) || !failed.WroteAny || failed.Step != tcp.ReadHeader {
		t.Errorf("closed without an answer: %v", err)
	}
	s.ln.Close()
	_, err = pool(t, s, 1).Exchange(context.Background(), header("GET"), nil)
	if !errors.As(err, &failed) || failed.WroteAny || failed.Step != tcp.Connect {
		t.Errorf("connection refused: %v", err)
	}
}

// Guards against writing a request to an idle connection that the other side has closed.
func TestIdleConnectionIsCheckedBeforeUse(t *testing.T) {
	transports(t, idleConnectionIsCheckedBeforeUse)
}

func idleConnectionIsCheckedBeforeUse(t *testing.T, source *mtls.Credentials) {
	s := serve(t, source, func(conn, _ int) (string, bool) { return whole, conn > 1 })
	p := pool(t, s, 1)
	for i := range 2 {
		resp, err := p.Exchange(context.Background(), header("POST"), nil)
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

// Guards against work that goes on at the other side after the attempt was given up.
func TestCancellationClosesTheConnection(t *testing.T) {
	transports(t, cancellationClosesTheConnection)
}

func cancellationClosesTheConnection(t *testing.T, source *mtls.Credentials) {
	got := make(chan struct{})
	s := serve(t, source, func(int, int) (string, bool) {
		close(got)
		return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", true
	})
	p := pool(t, s, 1)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := p.Exchange(ctx, header("GET"), nil)
	if err != nil {
		t.Fatal(err)
	}
	<-got
	cancel()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("a cancelled body was read to its end")
	}
	<-s.closed
	if used, idle := p.ConnectionCounts(); used+idle != 0 {
		t.Errorf("%d used, %d idle", used, idle)
	}
}

// Guards against more connections than the back end takes, idle and warmed ones included.
func TestPoolKeepsItsCap(t *testing.T) { transports(t, poolKeepsItsCap) }

func poolKeepsItsCap(t *testing.T, source *mtls.Credentials) {
	const size = 5
	s := serve(t, source, func(int, int) (string, bool) { return whole, true })
	p := pool(t, s, size)
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() { p.Preconnect(context.Background()) })
		wg.Go(func() {
			for range 20 {
				resp, err := p.Exchange(context.Background(), header("GET"), nil)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.ReadAll(resp.Body)
			}
		})
	}
	wg.Wait()
	if most := s.most; most > size {
		t.Errorf("%d connections at once, cap %d", most, size)
	}
}
