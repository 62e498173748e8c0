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

// hangTimeout is far longer than the steps of a test take, so that only a hang reaches it.
const hangTimeout = 10 * time.Second

// startSingleRequestServer accepts one connection, reads one request and passes the connection on without a response.
func startSingleRequestServer(t *testing.T) (netip.AddrPort, <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requested := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			requested <- c
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), requested
}

// Guards against a cancelled request that no longer counts as in flight while the back end still works on it.
func TestAbandonedExchangeEndsWithServer(t *testing.T) {
	cases := []struct {
		name string
		end  func(server net.Conn) error
	}{
		{"server sends its response", func(c net.Conn) error {
			_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			return err
		}},
		{"server cancels and closes", net.Conn.Close},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			address, requested := startSingleRequestServer(t)
			pool := tcp.NewPool(tcp.PoolConfig{Address: address, MaxConnections: 1, IdleTimeout: time.Minute, AbandonTimeout: hangTimeout})
			ctx, cancel := context.WithCancel(t.Context())
			var req fasthttp.RequestHeader
			req.SetRequestURI("/")
			req.SetHost("backend")
			var server net.Conn
			go func() {
				server = <-requested
				cancel()
			}()
			_, err := pool.Exchange(ctx, &req, nil)
			var failed *tcp.Error
			if !errors.As(err, &failed) || !failed.WroteAny || failed.PeerDone == nil {
				t.Fatalf("error %v does not tell when the server is done", err)
			}
			if n, err := server.Read(make([]byte, 1)); n != 0 || err == nil {
				t.Fatalf("the server is not asked to cancel: it read %d bytes, error %v", n, err)
			}
			select {
			case <-failed.PeerDone:
				t.Fatal("PeerDone is closed while the server works on the request")
			default:
			}
			if used, _ := pool.ConnectionCounts(); used != 1 {
				t.Fatalf("%d connections in use while the server works on the request, want 1", used)
			}
			if err := tc.end(server); err != nil {
				t.Fatal(err)
			}
			select {
			case <-failed.PeerDone:
			case <-time.After(hangTimeout):
				t.Fatal("PeerDone is not closed after the server has ended")
			}
			if used, idle := pool.ConnectionCounts(); used != 0 || idle != 0 {
				t.Fatalf("%d connections in use and %d idle after the end, want none", used, idle)
			}
		})
	}
}
