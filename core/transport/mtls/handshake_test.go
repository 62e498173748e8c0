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

// Guards against an attempt that waits for a frozen process for longer than a connection may take, or is counted as
// written.
func TestSilentServerIsNotRun(t *testing.T) {
	client, events := logged(t, mtlstest.NewAuthority(t).Issue(t, t.TempDir(), "client", time.Now().Add(time.Hour)), time.Now)
	ln, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts, nobody answers
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	address := netip.MustParseAddrPort(ln.Addr().String())
	dialer := client.WrapDialer(tcp.Dialer{Timeout: time.Minute})
	secure := dialer.Handshake
	dialer.Handshake = func(ctx context.Context, c net.Conn, peer netip.AddrPort) (net.Conn, error) {
		end, ok := ctx.Deadline()
		if !ok {
			t.Error("the timeout of the dialer does not cover the handshake")
		}
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), end.Add(-time.Hour)) // as if it had passed
		defer cancel()
		return secure(ctx, c, peer)
	}
	_, err = dialer.Dial(t.Context(), address)
	var failed *tcp.Error
	if !errors.As(err, &failed) || failed.Step != tcp.ClientHandshake || failed.WroteAny || failed.Peer != address {
		t.Fatalf("error %v", err)
	}
	check(t, events, event.TLSHandshakeFailed, "TLS handshake to", address.String(), "deadline exceeded")
}

// piped is a listener of one connection in memory.
type piped struct {
	net.Listener
	conn net.Conn
}

func (p piped) Accept() (net.Conn, error) { return p.conn, nil }

// Guards against a client without a certificate that keeps a connection by saying nothing.
func TestSilentClientIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, events := logged(t, mtlstest.NewAuthority(t).Issue(t, t.TempDir(), "server", time.Now().Add(time.Hour)), time.Now)
		client, end := net.Pipe()
		defer client.Close()
		c, err := server.WrapListener(piped{conn: end}).Accept()
		if err != nil {
			t.Fatal(err)
		}
		begin := time.Now()
		n, err := c.Read(make([]byte, 1))
		if n != 0 || err == nil || !strings.Contains(err.Error(), "TLS handshake from") {
			t.Fatalf("read %d bytes, error %v", n, err)
		}
		if waited := time.Since(begin); waited != 5*time.Second {
			t.Errorf("dropped after %s, want 5 s", waited)
		}
		if events.Len() != 0 {
			t.Errorf("a connection without a byte is logged: %v", events.All())
		}
		if _, err := c.Write([]byte("x")); err == nil {
			t.Error("the dropped connection can be written")
		}
	})
}

// short is a socket that takes a number of bytes and then fails; a negative number is no limit.
type short struct {
	net.Conn
	left int
}

var errFull = errors.New("socket fails")

func (s *short) Write(b []byte) (int, error) {
	if s.left < 0 || len(b) <= s.left {
		return s.Conn.Write(b)
	}
	n, _ := s.Conn.Write(b[:s.left])
	return n, errFull
}

// Guards against "not run" for a request of which a part left this process in an incomplete record, and against
// "unknown" for one of which nothing did.
func TestPartialRecordCountsAsWritten(t *testing.T) {
	cases := []struct {
		name  string
		taken int
		wrote bool
	}{{"nothing taken", 0, false}, {"one byte of the record header", 1, true}, {"all but the end of the record", 40, true}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, _ := logged(t, mtlstest.NewAuthority(t).Issue(t, t.TempDir(), "process", time.Now().Add(time.Hour)), time.Now)
			address, _ := listen(t, func(ln net.Listener) net.Listener { return s.WrapListener(ln) })
			var socket *short
			secure := s.WrapDialer(tcp.Dialer{}).Handshake
			pool := tcp.NewPool(tcp.PoolConfig{Address: address, MaxConnections: 1, IdleTimeout: time.Minute, Dialer: tcp.Dialer{
				Handshake: func(ctx context.Context, c net.Conn, peer netip.AddrPort) (net.Conn, error) {
					socket = &short{Conn: c, left: -1}
					secured, err := secure(ctx, socket, peer)
					socket.left = tc.taken
					return secured, err
				},
			}})
			defer pool.Close()
			var h fasthttp.RequestHeader
			h.SetHost("peer")
			_, err := pool.Exchange(t.Context(), &h, nil)
			var failed *tcp.Error
			if !errors.As(err, &failed) || failed.WroteAny != tc.wrote || !errors.Is(err, errFull) {
				t.Fatalf("error %v, wrote %v, want %v", err, failed != nil && failed.WroteAny, tc.wrote)
			}
		})
	}
}

// Guards against a certificate that goes on being accepted after its end because it was valid at the start.
func TestCertificateExpiresWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		authority, dir, end := mtlstest.NewAuthority(t), t.TempDir(), time.Now().Add(time.Hour)
		server, serverEvents := logged(t, authority.Issue(t, dir, "server", end), time.Now)
		client, clientEvents := logged(t, authority.Issue(t, dir, "client", end), time.Now)
		address := netip.MustParseAddrPort("127.0.0.1:1")
		handshake := func() error {
			near, far := net.Pipe()
			c, err := server.WrapListener(piped{conn: far}).Accept()
			if err != nil {
				t.Fatal(err)
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = c.Read(make([]byte, 1))
				_ = c.Close()
			}()
			secured, err := client.WrapDialer(tcp.Dialer{}).Handshake(t.Context(), near, address)
			if err == nil {
				_ = secured.Close()
			}
			<-done
			return err
		}
		if err := handshake(); err != nil || serverEvents.Len() != 0 {
			t.Fatalf("before the end: %v, %v", err, serverEvents.All())
		}
		<-time.After(2 * time.Hour)
		if err := handshake(); err == nil || !strings.Contains(err.Error(), "expired") {
			t.Fatalf("after the end: %v", err)
		}
		check(t, clientEvents, event.TLSHandshakeFailed, "TLS handshake to", address.String(), "expired")
		// A pipe has no buffer, so the alert of the client is lost when it closes.
		check(t, serverEvents, event.TLSHandshakeFailed, "TLS handshake from", "", "")
	})
}
