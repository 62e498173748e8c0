package tcp_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/transport/tcp"
)

const patience = 10 * time.Second // far above what the steps take, so that only a hang reaches it

// slowServer accepts one connection, reads one request and hands the connection to the test.
func slowServer(t *testing.T) (netip.AddrPort, <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	got := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			got <- c
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), got
}

// Guards against a cancelled request that no longer counts as work in flight while the back end still runs it.
func TestGivenUpExchangeEndsWithTheServer(t *testing.T) {
	cases := []struct {
		name string
		end  func(net.Conn) error
	}{
		{"server answers late", func(c net.Conn) error {
			_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			return err
		}},
		{"server cancels and closes", net.Conn.Close},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			address, got := slowServer(t)
			pool := tcp.NewPool(tcp.PoolConfig{Address: address, MaxConnections: 1, IdleTimeout: time.Minute, AbandonTimeout: patience})
			ctx, cancel := context.WithCancel(t.Context())
			var req fasthttp.RequestHeader
			req.SetRequestURI("/")
			req.SetHost("backend")
			var server net.Conn
			go func() {
				server = <-got
				cancel()
			}()
			_, err := pool.Exchange(ctx, &req, nil)
			var step *tcp.Error
			if !errors.As(err, &step) || !step.WroteAny || step.PeerDone == nil {
				t.Fatalf("error %v does not say when the exchange ends", err)
			}
			if n, err := server.Read(make([]byte, 1)); n != 0 || err == nil {
				t.Fatalf("the server is not asked to cancel: read %d bytes, error %v", n, err)
			}
			select {
			case <-step.PeerDone:
				t.Fatal("ended while the server is at work")
			default:
			}
			if used, _ := pool.ConnectionCounts(); used != 1 {
				t.Fatalf("%d connections in use while the server is at work", used)
			}
			if err := tc.end(server); err != nil {
				t.Fatal(err)
			}
			select {
			case <-step.PeerDone:
			case <-time.After(patience):
				t.Fatal("not ended after the server ended")
			}
			if used, idle := pool.ConnectionCounts(); used != 0 || idle != 0 {
				t.Fatalf("%d connections in use and %d idle after the end", used, idle)
			}
		})
	}
}
