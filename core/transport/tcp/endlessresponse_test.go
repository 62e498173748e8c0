package tcp_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/transport/tcp"
)

// startEndlessServer starts a server that answers a connection with start and then repeats part, with a pause after each,
// until the client closes the connection.
func startEndlessServer(t *testing.T, start, part string, pause time.Duration) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { writeEndlessly(c, start, part, pause) })
		}
	})
	t.Cleanup(func() { ln.Close(); wg.Wait() })
	return netip.MustParseAddrPort(ln.Addr().String())
}

func writeEndlessly(c net.Conn, start, part string, pause time.Duration) {
	defer c.Close()
	_, _ = c.Read(make([]byte, tcp.ReadBufferSize))
	_, err := io.WriteString(c, start)
	for err == nil {
		_, err = io.WriteString(c, part)
		<-time.After(pause)
	}
}

// Guards against a faulty server that sends bytes without end in place of a response: they would hold the exchange until
// the caller gives up, or fill the memory.
func TestEndlessResponseIsAbandoned(t *testing.T) {
	const slowPause = 5 * time.Millisecond
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct {
		start, part string
		pause       time.Duration
		want        error // nil: any
	}{
		"not HTTP, slow":       {part: "x", pause: slowPause, want: tcp.ErrNotHTTP},
		"not HTTP, fast":       {part: strings.Repeat("x", 4096), want: tcp.ErrNotHTTP},
		"status line":          {start: "HTTP/1.1 200 ", part: strings.Repeat("O", 4096), want: tcp.ErrHeaderTooLarge},
		"header lines":         {start: ok, part: "X-A: " + strings.Repeat("a", 500) + "\r\n", want: tcp.ErrHeaderTooLarge},
		"slow header lines":    {start: ok, part: "X-A: b\r\n", pause: slowPause},
		"slow status line":     {start: "HTTP/1.1 200 ", part: "O", pause: slowPause},
		"interim responses":    {part: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"slow interim":         {part: "HTTP/1.1 100 Continue\r\n\r\n", pause: slowPause},
		"mismatched responses": {part: ok + "X-ID: other\r\nContent-Length: 2\r\n\r\nno"},
		"mismatched body":      {start: ok + "X-ID: other\r\nTransfer-Encoding: chunked\r\n\r\n", part: "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
		"chunk extension":      {start: ok + "Transfer-Encoding: chunked\r\n\r\n1;", part: strings.Repeat("e", 4096)},
		"chunk extensions":     {start: ok + "Transfer-Encoding: chunked\r\n\r\n", part: "1;" + strings.Repeat("e", 2000) + "\r\nx\r\n"},
		"trailer":              {start: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", part: "X-A: " + strings.Repeat("a", 500) + "\r\n", want: tcp.ErrHeaderTooLarge},
		"trailer of one line":  {start: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", part: strings.Repeat("a", 4096)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := tcp.NewPool(tcp.PoolConfig{
				Address:        startEndlessServer(t, test.start, test.part, test.pause),
				Dialer:         tcp.Dialer{Timeout: 5 * time.Second},
				MaxConnections: 1, IdleTimeout: time.Minute, EchoHeader: "X-ID", HeaderReadTimeout: 20 * slowPause,
			})
			t.Cleanup(p.Close)
			h := newHeader("GET")
			h.Set("X-ID", "own")
			resp, err := p.Exchange(context.Background(), h, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err == nil || test.want != nil && !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
			if used, idle := p.ConnectionCounts(); used+idle != 0 {
				t.Errorf("%d connections in use and %d idle, want none", used, idle)
			}
		})
	}
}

// Guards against a HeaderReadTimeout that cuts off a slow response: it bounds neither the wait for the first byte nor the
// body.
func TestHeaderReadTimeoutSparesSlowResponses(t *testing.T) {
	const pause = 20 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, tcp.ReadBufferSize))
		for _, part := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "he", "llo"} {
			<-time.After(3 * pause)
			_, _ = io.WriteString(c, part)
		}
	}()
	p := tcp.NewPool(tcp.PoolConfig{Address: netip.MustParseAddrPort(ln.Addr().String()), MaxConnections: 1, IdleTimeout: time.Minute, HeaderReadTimeout: pause})
	defer p.Close()
	resp, err := p.Exchange(context.Background(), newHeader("GET"), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "hello" {
		t.Errorf("body %q, error %v", body, err)
	}
}
