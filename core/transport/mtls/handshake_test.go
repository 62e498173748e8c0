package mtls_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/state/event"
	"pollenhill.example/core/transport/mtls/mtlstest"
	"pollenhill.example/core/transport/tcp"
)

// Guards against a dial that waits for a frozen server for longer than the timeout of the dialer, and against a failed
// handshake that counts as a written request.
func TestSilentServerCountsAsNotRun(t *testing.T) {
	client, events := loadWithLog(t, mtlstest.NewAuthority(t).Issue(t, t.TempDir(), "client", time.Now().Add(time.Hour)), time.Now)
	ln, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, nothing responds
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	address := netip.MustParseAddrPort(ln.Addr().String())
	dialer := client.WrapDialer(tcp.Dialer{Timeout: time.Minute})
	handshake := dialer.Handshake
	dialer.Handshake = func(ctx context.Context, c net.Conn, peer netip.AddrPort) (net.Conn, error) {
		deadline, ok := ctx.Deadline()
		if !ok {
			t.Error("the timeout of the dialer does not cover the handshake")
		}
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(-time.Hour)) // a deadline in the past
		defer cancel()
		return handshake(ctx, c, peer)
	}
	_, err = dialer.Dial(t.Context(), address)
	var failed *tcp.Error
	if !errors.As(err, &failed) || failed.Step != tcp.ClientHandshake || failed.WroteAny || failed.Peer != address {
		t.Fatalf("error %v", err)
	}
	checkOnlyEvent(t, events, event.TLSHandshakeFailed, "TLS handshake to", address.String(), "deadline exceeded")
}

// singleConnListener is a listener whose Accept returns conn.
type singleConnListener struct {
	net.Listener
	conn net.Conn
}

func (p singleConnListener) Accept() (net.Conn, error) { return p.conn, nil }

// Guards against an unauthenticated client that holds a connection open by sending nothing.
func TestSilentClientIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, events := loadWithLog(t, mtlstest.NewAuthority(t).Issue(t, t.TempDir(), "server", time.Now().Add(time.Hour)), time.Now)
		client, serverEnd := net.Pipe()
		defer client.Close()
		c, err := server.WrapListener(singleConnListener{conn: serverEnd}).Accept()
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		n, err := c.Read(make([]byte, 1))
		if n != 0 || err == nil || !strings.Contains(err.Error(), "TLS handshake from") {
			t.Fatalf("read %d bytes, error %v", n, err)
		}
		if waited := time.Since(start); waited != 5*time.Second {
			t.Errorf("connection closed after %s, want 5 s", waited)
		}
		if events.Len() != 0 {
			t.Errorf("a connection without a byte emits events: %v", events.All())
		}
		if _, err := c.Write([]byte("x")); err == nil {
			t.Error("the closed connection can be written")
		}
	})
}

// failingConn is a connection whose writes fail after the remaining bytes were written; a negative number is no limit.
type failingConn struct {
	net.Conn
	remaining int
}

var errWriteFailed = errors.New("write failed")

func (c *failingConn) Write(b []byte) (int, error) {
	if c.remaining < 0 || len(b) <= c.remaining {
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:c.remaining])
	return n, errWriteFailed
}

// Guards against the outcome "not run" for a request of which an incomplete TLS record was sent, and against "unknown" for
// one of which nothing was sent.
func TestPartialRecordCountsAsWritten(t *testing.T) {
	cases := []struct {
		name     string
		accepted int  // bytes that the kernel accepts after the handshake
		wroteAny bool // expected Error.WroteAny
	}{{"nothing", 0, false}, {"one byte of the record header", 1, true}, {"all but the end of the record", 40, true}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			creds, _ := loadWithLog(t, mtlstest.NewAuthority(t).Issue(t, t.TempDir(), "process", time.Now().Add(time.Hour)), time.Now)
			address, _ := startServer(t, func(ln net.Listener) net.Listener { return creds.WrapListener(ln) })
			var conn *failingConn
			handshake := creds.WrapDialer(tcp.Dialer{}).Handshake
			pool := tcp.NewPool(tcp.PoolConfig{Address: address, MaxConnections: 1, IdleTimeout: time.Minute, Dialer: tcp.Dialer{
				Handshake: func(ctx context.Context, c net.Conn, peer netip.AddrPort) (net.Conn, error) {
					conn = &failingConn{Conn: c, remaining: -1}
					secured, err := handshake(ctx, conn, peer)
					conn.remaining = tc.accepted
					return secured, err
				},
			}})
			defer pool.Close()
			var h fasthttp.RequestHeader
			h.SetHost("peer")
			_, err := pool.Exchange(t.Context(), &h, nil)
			var failed *tcp.Error
			if !errors.As(err, &failed) || failed.WroteAny != tc.wroteAny || !errors.Is(err, errWriteFailed) {
				t.Fatalf("error %v, WroteAny %v, want %v", err, failed != nil && failed.WroteAny, tc.wroteAny)
			}
		})
	}
}

// Guards against an expired certificate that is still accepted because it was valid when the process started.
func TestCertificateExpiresWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		authority, dir, expiry := mtlstest.NewAuthority(t), t.TempDir(), time.Now().Add(time.Hour)
		server, serverEvents := loadWithLog(t, authority.Issue(t, dir, "server", expiry), time.Now)
		client, clientEvents := loadWithLog(t, authority.Issue(t, dir, "client", expiry), time.Now)
		address := netip.MustParseAddrPort("127.0.0.1:1")
		handshake := func() error {
			clientEnd, serverEnd := net.Pipe()
			c, err := server.WrapListener(singleConnListener{conn: serverEnd}).Accept()
			if err != nil {
				t.Fatal(err)
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = c.Read(make([]byte, 1))
				_ = c.Close()
			}()
			secured, err := client.WrapDialer(tcp.Dialer{}).Handshake(t.Context(), clientEnd, address)
			if err == nil {
				_ = secured.Close()
			}
			<-done
			return err
		}
		if err := handshake(); err != nil || serverEvents.Len() != 0 {
			t.Fatalf("before expiry: error %v, events %v", err, serverEvents.All())
		}
		<-time.After(2 * time.Hour)
		if err := handshake(); err == nil || !strings.Contains(err.Error(), "expired") {
			t.Fatalf("after expiry: error %v", err)
		}
		checkOnlyEvent(t, clientEvents, event.TLSHandshakeFailed, "TLS handshake to", address.String(), "expired")
		// A pipe has no buffer, so the alert of the client is lost when it closes, and the server's reason is not that of the
		// client.
		checkOnlyEvent(t, serverEvents, event.TLSHandshakeFailed, "TLS handshake from", "", "")
	})
}
