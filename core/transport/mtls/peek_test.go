package mtls_test

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/mtls/mtlstest"
	"pollenhill.example/core/transport/tcp"
)

// bufferingConn is a connection whose writes can be buffered, so that several records arrive in one segment.
type bufferingConn struct {
	net.Conn
	buffering bool
	buffer    bytes.Buffer
}

func (b *bufferingConn) Write(p []byte) (int, error) {
	if b.buffering {
		return b.buffer.Write(p)
	}
	return b.Conn.Write(p)
}

// flush ends the buffering and sends the buffer without its last omit bytes.
func (b *bufferingConn) flush(t *testing.T, omit int) {
	t.Helper()
	b.buffering = false
	// The TLS layer sets a write deadline in the past after its close_notify alert.
	_ = b.SetWriteDeadline(time.Time{})
	if _, err := b.Conn.Write(b.buffer.Bytes()[:b.buffer.Len()-omit]); err != nil {
		t.Fatal(err)
	}
}

// connect returns a dialed connection, the crypto/tls connection at its server's end, and the connection below that.
func connect(t *testing.T) (net.Conn, *tls.Conn, *bufferingConn) {
	t.Helper()
	creds, _ := loadWithLog(t, mtlstest.NewAuthority(t).Issue(t, t.TempDir(), "process", time.Now().Add(time.Hour)), time.Now)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	type end struct {
		tls *tls.Conn
		raw *bufferingConn
	}
	accepted := make(chan end, 1)
	go func() {
		raw, err := ln.Accept()
		if err != nil {
			return
		}
		b := &bufferingConn{Conn: raw}
		c := tls.Server(b, creds.ServerConfig(mtls.ALPNPollenhill))
		if c.Handshake() == nil {
			_, _ = c.Write([]byte{mtls.ReadyByte})
		}
		accepted <- end{tls: c, raw: b}
	}()
	c, err := creds.WrapDialer(tcp.Dialer{}).Dial(t.Context(), netip.MustParseAddrPort(ln.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	server := <-accepted
	t.Cleanup(func() { _ = c.Close(); _ = server.raw.Close() })
	return c, server.tls, server.raw
}

// waitForPeekResult peeks until the result is not NoData: what was written on loopback arrives a little later.
func waitForPeekResult(t *testing.T, c net.Conn) tcp.PeekResult {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if result := tcp.Peek(c); result != tcp.NoData {
			return result
		}
	}
	t.Fatal("no data and no end of the connection within 20 s")
	return tcp.NoData
}

func writeString(t *testing.T, c io.Writer, b string) {
	t.Helper()
	if _, err := c.Write([]byte(b)); err != nil {
		t.Fatal(err)
	}
}

func expectRead(t *testing.T, c io.Reader, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("read %q, %v, want %q", got, err, want)
	}
}

// Guards against the reuse of an idle connection that is closed or holds bytes of an earlier response, in the socket or
// buffered by the TLS layer, and against a peek that loses a byte.
func TestPeekFindsBytesBufferedByTLS(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(t *testing.T, c net.Conn, server *tls.Conn, raw *bufferingConn)
		idle    bool   // NoData is expected
		rest    string // readable after the peek
	}{
		{"idle", func(*testing.T, net.Conn, *tls.Conn, *bufferingConn) {}, true, ""},
		{"idle after an exchange", func(t *testing.T, c net.Conn, server *tls.Conn, _ *bufferingConn) {
			writeString(t, server, "response")
			expectRead(t, c, "response")
		}, true, ""},
		{"rest of a record", func(t *testing.T, c net.Conn, server *tls.Conn, _ *bufferingConn) {
			writeString(t, server, "response+")
			expectRead(t, c, "response")
		}, false, "+"},
		{"second record in the same segment", func(t *testing.T, c net.Conn, server *tls.Conn, raw *bufferingConn) {
			raw.buffering = true
			writeString(t, server, "response")
			writeString(t, server, "late")
			raw.flush(t, 0)
			expectRead(t, c, "response")
		}, false, "late"},
		{"part of a record in the same segment", func(t *testing.T, c net.Conn, server *tls.Conn, raw *bufferingConn) {
			raw.buffering = true
			writeString(t, server, "response")
			writeString(t, server, "late")
			raw.flush(t, 3)
			expectRead(t, c, "response")
		}, false, ""},
		{"close_notify in the same segment", func(t *testing.T, c net.Conn, server *tls.Conn, raw *bufferingConn) {
			raw.buffering = true
			writeString(t, server, "response")
			_ = server.CloseWrite()
			raw.flush(t, 0)
			expectRead(t, c, "response")
		}, false, ""},
		{"data later", func(t *testing.T, _ net.Conn, server *tls.Conn, _ *bufferingConn) { writeString(t, server, "late") }, false, "late"},
		{"close_notify later", func(_ *testing.T, _ net.Conn, server *tls.Conn, _ *bufferingConn) { _ = server.Close() }, false, ""},
		{"closed without close_notify", func(_ *testing.T, _ net.Conn, _ *tls.Conn, raw *bufferingConn) { _ = raw.Close() }, false, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, server, raw := connect(t)
			tc.arrange(t, c, server, raw)
			if tc.idle {
				for range 3 {
					if result := tcp.Peek(c); result != tcp.NoData {
						t.Fatalf("peek result %d on an idle connection, want %d", result, tcp.NoData)
					}
				}
				writeString(t, c, "next")
				expectRead(t, server, "next")
				writeString(t, server, "response")
				expectRead(t, c, "response")
				return
			}
			if result := waitForPeekResult(t, c); tc.rest != "" && result != tcp.HasData {
				t.Fatalf("peek result %d, want %d", result, tcp.HasData)
			}
			if tc.rest != "" {
				expectRead(t, c, tc.rest)
			}
		})
	}
}

// Guards against work that goes on for a client that has disconnected, against a connected client that counts as
// disconnected, and against a wait that breaks the connection or loses a byte of the next request.
func TestWaitReadable(t *testing.T) {
	cases := []struct {
		name string
		act  func(t *testing.T, c net.Conn, server *tls.Conn, raw *bufferingConn)
		want tcp.PeekResult
		rest string // readable afterwards
	}{
		{"close_notify", func(_ *testing.T, _ net.Conn, server *tls.Conn, _ *bufferingConn) { _ = server.CloseWrite() }, tcp.PeerClosed, ""},
		{"closed", func(_ *testing.T, _ net.Conn, _ *tls.Conn, raw *bufferingConn) { _ = raw.Close() }, tcp.PeerClosed, ""},
		{"closed within a record", func(t *testing.T, _ net.Conn, server *tls.Conn, raw *bufferingConn) {
			raw.buffering = true
			writeString(t, server, "late")
			raw.flush(t, 3)
			_ = raw.Close()
		}, tcp.PeerClosed, ""},
		{"next request", func(t *testing.T, _ net.Conn, server *tls.Conn, _ *bufferingConn) { writeString(t, server, "next") }, tcp.HasData, "next"},
		{"deadline", func(_ *testing.T, c net.Conn, _ *tls.Conn, _ *bufferingConn) { _ = c.SetReadDeadline(time.Unix(1, 0)) }, tcp.NoData, ""},
		{"deadline within a record", func(t *testing.T, c net.Conn, server *tls.Conn, raw *bufferingConn) {
			raw.buffering = true
			writeString(t, server, "late")
			raw.flush(t, 3)
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}, tcp.NoData, "late"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, server, raw := connect(t)
			results := make(chan tcp.PeekResult, 1)
			go func() { results <- tcp.WaitReadable(c) }()
			tc.act(t, c, server, raw)
			if got := <-results; got != tc.want {
				t.Fatalf("result %d, want %d", got, tc.want)
			}
			_ = c.SetReadDeadline(time.Time{})
			if tc.want == tcp.NoData && raw.buffer.Len() > 0 {
				writeString(t, raw.Conn, string(raw.buffer.Bytes()[raw.buffer.Len()-3:]))
			}
			if tc.rest != "" {
				expectRead(t, c, tc.rest)
			}
			if tc.want == tcp.PeerClosed {
				return
			}
			writeString(t, c, "response")
			expectRead(t, server, "response")
			writeString(t, server, "more")
			expectRead(t, c, "more")
		})
	}
}

// Guards against a connection whose response is lost after its write side was closed.
func TestCloseWriteKeepsReadDirection(t *testing.T) {
	c, server, _ := connect(t)
	if err := c.(*mtls.Conn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if n, err := server.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatalf("read %d bytes, error %v", n, err)
	}
	writeString(t, server, "response")
	expectRead(t, c, "response")
}
