package mtls_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"pollenhill.example/core/state/event"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/mtls/mtlstest"
	"pollenhill.example/core/transport/tcp"
)

const (
	request = "request"
	answer  = "HTTP/1.1 204 No Content\r\n\r\n"
)

var loopback = netip.MustParseAddr("127.0.0.1")

// logged returns a Source that reports to the returned events.
func logged(t testing.TB, cfg mtls.Config, now func() time.Time) (*mtls.Credentials, *observer.ObservedLogs) {
	t.Helper()
	s, err := mtls.LoadCredentials(cfg)
	if err != nil {
		t.Fatal(err)
	}
	core, events := observer.New(zapcore.InfoLevel)
	s.LogTo(event.New(event.Config{Process: "test", Logger: zap.New(core), Clock: event.NewClock(time.Now)}), now)
	return s, events
}

// served is what a listener read from one connection.
type served struct {
	read string
	err  error
}

// listen answers the first bytes of every connection; a connection that sent none is closed.
func listen(t testing.TB, wrap func(net.Listener) net.Listener) (netip.AddrPort, <-chan served) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := wrap(raw)
	got := make(chan served, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b := make([]byte, 64)
			n, err := c.Read(b)
			if err == nil {
				_, _ = c.Write([]byte(answer))
			}
			got <- served{read: string(b[:n]), err: err}
			_ = c.Close()
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); <-done })
	return netip.MustParseAddrPort(raw.Addr().String()), got
}

// exchange sends the request on c and reads the answer.
func exchange(c net.Conn, err error) error {
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := c.Write([]byte(request)); err != nil {
		return err
	}
	_, err = io.ReadFull(c, make([]byte, len(answer)))
	return err
}

// stranger is a client that uses raw TLS; config may be without a certificate.
func stranger(address netip.AddrPort, certificates ...tls.Certificate) error {
	c, err := tls.Dial("tcp", address.String(), &tls.Config{
		InsecureSkipVerify: true, NextProtos: []string{mtls.ALPNPollenhill}, Certificates: certificates,
	})
	if err != nil {
		return err
	}
	defer c.Close()
	var b [1]byte
	if _, err := io.ReadFull(c, b[:]); err != nil {
		return err
	}
	return exchange(c, nil)
}

func pair(t testing.TB, cfg mtls.Config) tls.Certificate {
	t.Helper()
	c, err := tls.LoadX509KeyPair(cfg.CertFile, cfg.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a listener that passes on a byte of a process that has not proven who it is, and against a refusal
// that the operators cannot explain.
func TestListenerAdmitsMembersOnly(t *testing.T) {
	dir := t.TempDir()
	ours, other := mtlstest.NewAuthority(t), mtlstest.NewAuthority(t)
	hour, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	source := func(a mtlstest.Authority, name string, ips ...net.IP) *mtls.Credentials {
		s, _ := logged(t, a.Issue(t, dir, name, hour, ips...), time.Now)
		return s
	}
	dial := func(s *mtls.Credentials) func(netip.AddrPort) error {
		return func(address netip.AddrPort) error {
			return exchange(s.WrapDialer(tcp.Dialer{Bind: loopback}).Dial(context.Background(), address))
		}
	}
	expired := pair(t, ours.Issue(t, dir, "expired", past))
	cases := []struct {
		name   string
		client func(netip.AddrPort) error
		reason string // empty: admitted
	}{
		{"good", dial(source(ours, "good")), ""},
		{"good, with its address", dial(source(ours, "addressed", net.IPv4(127, 0, 0, 1))), ""},
		{"other authority", dial(source(other, "other")), "bad certificate"},
		{"other authority, does not check the server", func(a netip.AddrPort) error {
			return stranger(a, pair(t, other.Issue(t, dir, "blind", hour)))
		}, "unknown authority"},
		{"no certificate", func(a netip.AddrPort) error { return stranger(a) }, "didn't provide a certificate"},
		{"expired", func(a netip.AddrPort) error { return stranger(a, expired) }, "expired"},
		{"plain", func(a netip.AddrPort) error { return exchange(net.Dial("tcp", a.String())) }, "does not use TLS"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server, events := logged(t, ours.Issue(t, t.TempDir(), "server", hour, net.IPv4(127, 0, 0, 1)), time.Now)
			address, got := listen(t, func(ln net.Listener) net.Listener { return server.WrapListener(ln) })
			err := tc.client(address)
			seen := <-got
			if tc.reason == "" {
				if err != nil || seen.read != request || events.Len() != 0 {
					t.Fatalf("client error %v, server read %q, %v, events %v", err, seen.read, seen.err, events.All())
				}
				return
			}
			var failed *tcp.Error
			if err == nil || seen.read != "" || !errors.As(seen.err, &failed) || failed.Step != tcp.ServerHandshake || failed.Peer.Addr() != loopback {
				t.Fatalf("client error %v, server read %q, error %v", err, seen.read, seen.err)
			}
			check(t, events, event.TLSHandshakeFailed, "TLS handshake from", "127.0.0.1", tc.reason)
		})
	}
}

// check compares the only event with what it must mention.
func check(t *testing.T, events *observer.ObservedLogs, kind event.Kind, step, peer, reason string) {
	t.Helper()
	if events.Len() != 1 {
		t.Fatalf("%d events, want 1: %v", events.Len(), events.All())
	}
	m := events.All()[0].ContextMap()
	if m["event"] != int64(kind) || m["step"] != step || !strings.HasPrefix(m["peer"].(string), peer) || !strings.Contains(m["reason"].(string), reason) {
		t.Fatalf("event %v does not name %q, %q and %q", m, step, peer, reason)
	}
}

// Guards against a request that reaches a process that has not proven who it is, and against a failed handshake after
// which it is unknown whether the request ran.
func TestDialerReachesMembersOnly(t *testing.T) {
	dir := t.TempDir()
	ours, other := mtlstest.NewAuthority(t), mtlstest.NewAuthority(t)
	hour, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	member := func(cfg mtls.Config) func(net.Listener) net.Listener {
		s, _ := logged(t, cfg, time.Now)
		return func(ln net.Listener) net.Listener { return s.WrapListener(ln) }
	}
	foreign := func(cfg mtls.Config, protocols ...string) func(net.Listener) net.Listener {
		c := &tls.Config{Certificates: []tls.Certificate{pair(t, cfg)}, NextProtos: protocols}
		return func(ln net.Listener) net.Listener { return tls.NewListener(ln, c) }
	}
	plain := func(ln net.Listener) net.Listener { return ln }
	good := ours.Issue(t, dir, "good", hour)
	cases := []struct {
		name   string
		server func(net.Listener) net.Listener
		reason string // empty: reached
	}{
		{"good", member(good), ""},
		{"good, with its address", member(ours.Issue(t, dir, "addressed", hour, net.IPv4(127, 0, 0, 1))), ""},
		{"wrong address", member(ours.Issue(t, dir, "elsewhere", hour, net.IPv4(127, 0, 0, 2))), "127.0.0.2"},
		{"other authority", member(other.Issue(t, dir, "other", hour)), "unknown authority"},
		{"refuses the client's certificate", func(ln net.Listener) net.Listener {
			return member(mixed(ours.Issue(t, dir, "strict", hour), other.Issue(t, dir, "roots", hour)))(ln)
		}, "remote error"},
		{"expired", foreign(ours.Issue(t, dir, "expired", past), mtls.ALPNPollenhill), "expired"},
		{"not a process of pollenhill", foreign(good), "does not offer protocol"},
		{"plain", plain, "does not use TLS"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			address, got := listen(t, tc.server)
			client, events := logged(t, ours.Issue(t, t.TempDir(), "client", hour), time.Now)
			pool := tcp.NewPool(tcp.PoolConfig{Address: address, MaxConnections: 1, IdleTimeout: time.Minute, Dialer: client.WrapDialer(tcp.Dialer{Bind: loopback})})
			defer pool.Close()
			var h fasthttp.RequestHeader
			h.SetHost("peer")
			_, err := pool.Exchange(t.Context(), &h, nil)
			seen := <-got
			if tc.reason == "" {
				if err != nil || !strings.HasPrefix(seen.read, "GET / HTTP/1.1") || events.Len() != 0 {
					t.Fatalf("error %v, server read %q, %v, events %v", err, seen.read, seen.err, events.All())
				}
				return
			}
			var failed *tcp.Error
			if !errors.As(err, &failed) || failed.WroteAny || failed.Step != tcp.ClientHandshake || failed.Peer != address {
				t.Fatalf("error %v is not a proof that nothing was written", err)
			}
			if strings.Contains(seen.read, "HTTP") {
				t.Fatalf("server read %q", seen.read)
			}
			check(t, events, event.TLSHandshakeFailed, "TLS handshake to", address.String(), tc.reason)
		})
	}
}

// mixed is a process with the certificate of one authority that trusts another.
func mixed(own, trusted mtls.Config) mtls.Config {
	own.CAFile = trusted.CAFile
	return own
}

// Guards against a log that a misconfigured peer fills, and against one that hides the next peer.
func TestFailuresAreLoggedOnceAMinuteAndPeer(t *testing.T) {
	dir := t.TempDir()
	hour := time.Now().Add(time.Hour)
	now := time.Unix(1000, 0)
	client, events := logged(t, mtlstest.NewAuthority(t).Issue(t, dir, "client", hour), func() time.Time { return now })
	plain := func(ln net.Listener) net.Listener { return ln }
	first, _ := listen(t, plain)
	second, _ := listen(t, plain)
	steps := []struct {
		peer  netip.AddrPort
		after time.Duration
		want  int
	}{
		{first, 0, 1}, {first, 59 * time.Second, 1}, {second, 0, 2}, {first, time.Second, 3}, {second, 0, 3},
	}
	for i, step := range steps {
		now = now.Add(step.after)
		if _, err := client.WrapDialer(tcp.Dialer{}).Dial(t.Context(), step.peer); err == nil {
			t.Fatal("no error")
		}
		if events.Len() != step.want {
			t.Fatalf("step %d: %d events, want %d", i, events.Len(), step.want)
		}
	}
}

// Guards against a new authority or certificate that needs a restart, against an unusable file that stops a process
// or stays unnoticed, and against a rotation that cuts connections in use.
func TestRotationAtTheNextHandshake(t *testing.T) {
	dir := t.TempDir()
	before, after := mtlstest.NewAuthority(t), mtlstest.NewAuthority(t)
	hour := time.Now().Add(time.Hour)
	serverFiles, clientFiles := before.Issue(t, dir, "server", hour), before.Issue(t, dir, "client", hour)
	server, events := logged(t, serverFiles, time.Now)
	client, _ := logged(t, clientFiles, time.Now)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := server.WrapListener(raw)
	defer ln.Close()
	go echo(ln)
	address := netip.MustParseAddrPort(raw.Addr().String())
	dial := func() (net.Conn, error) { return client.WrapDialer(tcp.Dialer{}).Dial(t.Context(), address) }
	old, err := dial()
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()

	mtlstest.SetModTimes(t, after.Issue(t, dir, "server", hour), time.Now().Add(time.Minute))
	if _, err := dial(); err == nil {
		t.Fatal("the new authority of the server is not in use")
	}
	mtlstest.SetModTimes(t, after.Issue(t, dir, "client", hour), time.Now().Add(time.Minute))
	c, err := dial()
	if err != nil {
		t.Fatalf("after both were replaced: %v", err)
	}
	_ = c.Close()
	ping(t, old)

	mtlstest.WritePEM(t, serverFiles.CertFile, "CERTIFICATE", []byte("broken"))
	mtlstest.SetModTimes(t, serverFiles, time.Now().Add(2*time.Minute))
	if c, err = dial(); err != nil {
		t.Fatalf("a broken file replaced a good one: %v", err)
	}
	_ = c.Close()
	refused := events.FilterField(zap.Int("event", int(event.TLSFilesRefused))).All()
	if len(refused) != 1 || !strings.Contains(refused[0].ContextMap()["reason"].(string), serverFiles.CertFile) {
		t.Fatalf("events %v do not name the broken file", refused)
	}
}

func echo(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(c, c)
			_ = c.Close()
		}()
	}
}

func ping(t *testing.T, c net.Conn) {
	t.Helper()
	got := make([]byte, len(request))
	if _, err := c.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, []byte(request)) {
		t.Fatalf("echo %q, %v", got, err)
	}
}
