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

// batch is a socket whose writes can be held back, so that several records arrive together.
type batch struct {
	net.Conn
	hold bool
	held bytes.Buffer
}

func (b *batch) Write(p []byte) (int, error) {
	if b.hold {
		return b.held.Write(p)
	}
	return b.Conn.Write(p)
}

func (b *batch) flush(t *testing.T, less int) {
	t.Helper()
	b.hold = false
	// The TLS layer sets a deadline in the past after its closing alert.
	_ = b.SetWriteDeadline(time.Time{})
	if _, err := b.Conn.Write(b.held.Bytes()[:b.held.Len()-less]); err != nil {
		t.Fatal(err)
	}
}

// ends returns a dialed connection and the raw TLS server at its other end.
func ends(t *testing.T) (net.Conn, *tls.Conn, *batch) {
	t.Helper()
	s, _ := logged(t, mtlstest.NewAuthority(t).Issue(t, t.TempDir(), "process", time.Now().Add(time.Hour)), time.Now)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	type end struct {
		tls *tls.Conn
		raw *batch
	}
	accepted := make(chan end, 1)
	go func() {
		raw, err := ln.Accept()
		if err != nil {
			return
		}
		b := &batch{Conn: raw}
		c := tls.Server(b, s.ServerConfig(mtls.ALPNPollenhill))
		if c.Handshake() == nil {
			_, _ = c.Write([]byte{mtls.ReadyByte})
		}
		accepted <- end{tls: c, raw: b}
	}()
	c, err := s.WrapDialer(tcp.Dialer{}).Dial(t.Context(), netip.MustParseAddrPort(ln.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	server := <-accepted
	t.Cleanup(func() { _ = c.Close(); _ = server.raw.Close() })
	return c, server.tls, server.raw
}

// settled waits until a peek finds something; what was written on loopback arrives without the test's help.
func settled(t *testing.T, c net.Conn) tcp.PeekResult {
	t.Helper()
	end := time.Now().Add(20 * time.Second)
	for time.Now().Before(end) {
		if found := tcp.Peek(c); found != tcp.NoData {
			return found
		}
	}
	t.Fatal("nothing arrives")
	return tcp.NoData
}

func write(t *testing.T, c io.Writer, b string) {
	t.Helper()
	if _, err := c.Write([]byte(b)); err != nil {
		t.Fatal(err)
	}
}

func read(t *testing.T, c io.Reader, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("read %q, %v, want %q", got, err, want)
	}
}

// Guards against the reuse of an idle connection that holds bytes of an earlier response or is closed, wherever TLS
// keeps them, and against a look that loses a byte.
func TestPeekSeesWhatTLSHides(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(t *testing.T, c net.Conn, server *tls.Conn, raw *batch)
		quiet   bool
		rest    string // readable after the look
	}{
		{"idle", func(*testing.T, net.Conn, *tls.Conn, *batch) {}, true, ""},
		{"idle after an exchange", func(t *testing.T, c net.Conn, server *tls.Conn, _ *batch) {
			write(t, server, "answer")
			read(t, c, "answer")
		}, true, ""},
		{"rest of a record", func(t *testing.T, c net.Conn, server *tls.Conn, _ *batch) {
			write(t, server, "answer+")
			read(t, c, "answer")
		}, false, "+"},
		{"second record in the same segment", func(t *testing.T, c net.Conn, server *tls.Conn, raw *batch) {
			raw.hold = true
			write(t, server, "answer")
			write(t, server, "late")
			raw.flush(t, 0)
			read(t, c, "answer")
		}, false, "late"},
		{"a part of a record in the same segment", func(t *testing.T, c net.Conn, server *tls.Conn, raw *batch) {
			raw.hold = true
			write(t, server, "answer")
			write(t, server, "late")
			raw.flush(t, 3)
			read(t, c, "answer")
		}, false, ""},
		{"closing alert in the same segment", func(t *testing.T, c net.Conn, server *tls.Conn, raw *batch) {
			raw.hold = true
			write(t, server, "answer")
			_ = server.CloseWrite()
			raw.flush(t, 0)
			read(t, c, "answer")
		}, false, ""},
		{"data later", func(t *testing.T, _ net.Conn, server *tls.Conn, _ *batch) { write(t, server, "late") }, false, "late"},
		{"closing alert later", func(_ *testing.T, _ net.Conn, server *tls.Conn, _ *batch) { _ = server.Close() }, false, ""},
		{"closed without an alert", func(_ *testing.T, _ net.Conn, _ *tls.Conn, raw *batch) { _ = raw.Close() }, false, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, server, raw := ends(t)
			tc.arrange(t, c, server, raw)
			if tc.quiet {
				for range 3 {
					if found := tcp.Peek(c); found != tcp.NoData {
						t.Fatalf("found %d on a quiet connection", found)
					}
				}
				write(t, c, "next")
				read(t, server, "next")
				write(t, server, "answer")
				read(t, c, "answer")
				return
			}
			if found := settled(t, c); tc.rest != "" && found != tcp.HasData {
				t.Fatalf("found %d, want data", found)
			}
			if tc.rest != "" {
				read(t, c, tc.rest)
			}
		})
	}
}

// Guards against work for a client that is gone, against a client that is taken for gone, and against a watch that
// breaks the connection or takes a byte of the next request.
func TestAwaitUntilTheOtherSideEnds(t *testing.T) {
	cases := []struct {
		name  string
		act   func(t *testing.T, c net.Conn, server *tls.Conn, raw *batch)
		found tcp.PeekResult
		rest  string
	}{
		{"closing alert", func(_ *testing.T, _ net.Conn, server *tls.Conn, _ *batch) { _ = server.CloseWrite() }, tcp.PeerClosed, ""},
		{"closed", func(_ *testing.T, _ net.Conn, _ *tls.Conn, raw *batch) { _ = raw.Close() }, tcp.PeerClosed, ""},
		{"closed within a record", func(t *testing.T, _ net.Conn, server *tls.Conn, raw *batch) {
			raw.hold = true
			write(t, server, "late")
			raw.flush(t, 3)
			_ = raw.Close()
		}, tcp.PeerClosed, ""},
		{"next request", func(t *testing.T, _ net.Conn, server *tls.Conn, _ *batch) { write(t, server, "next") }, tcp.HasData, "next"},
		{"deadline", func(_ *testing.T, c net.Conn, _ *tls.Conn, _ *batch) { _ = c.SetReadDeadline(time.Unix(1, 0)) }, tcp.NoData, ""},
		{"deadline within a record", func(t *testing.T, c net.Conn, server *tls.Conn, raw *batch) {
			raw.hold = true
			write(t, server, "late")
			raw.flush(t, 3)
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}, tcp.NoData, "late"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, server, raw := ends(t)
			found := make(chan tcp.PeekResult, 1)
			go func() { found <- tcp.WaitReadable(c) }()
			tc.act(t, c, server, raw)
			if got := <-found; got != tc.found {
				t.Fatalf("found %d, want %d", got, tc.found)
			}
			_ = c.SetReadDeadline(time.Time{})
			if tc.found == tcp.NoData && raw.held.Len() > 0 {
				write(t, raw.Conn, string(raw.held.Bytes()[raw.held.Len()-3:]))
			}
			if tc.rest != "" {
				read(t, c, tc.rest)
			}
			if tc.found == tcp.PeerClosed {
				return
			}
			write(t, c, "answer")
			read(t, server, "answer")
			write(t, server, "more")
			read(t, c, "more")
		})
	}
}

// Guards against a half-closed connection on which the answer is lost.
func TestCloseWriteKeepsTheOtherDirection(t *testing.T) {
	c, server, _ := ends(t)
	if err := c.(*mtls.Conn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if n, err := server.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatalf("read %d bytes, error %v", n, err)
	}
	write(t, server, "answer")
	read(t, c, "answer")
}
