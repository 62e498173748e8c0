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
	request  = "request"
	response = "HTTP/1.1 204 No Content\r\n\r\n"
)

var loopback = netip.MustParseAddr("127.0.0.1")

// loadWithLog returns Credentials and the events that they emit.
func loadWithLog(t testing.TB, cfg mtls.Config, now func() time.Time) (*mtls.Credentials, *observer.ObservedLogs) {
	t.Helper()
	creds, err := mtls.LoadCredentials(cfg)
	if err != nil {
		t.Fatal(err)
	}
	core, events := observer.New(zapcore.InfoLevel)
	creds.LogTo(event.New(event.Config{Process: "test", Logger: zap.New(core), Clock: event.NewClock(time.Now)}), now)
	return creds, events
}

// receivedRequest is the result of the first read of a server from one connection.
type receivedRequest struct {
	data string
	err  error
}

// startServer starts a server that reads once from every connection, answers if that succeeds, and closes it. wrap adds
// TLS to its listener. It returns the address and what was read from each connection.
func startServer(t testing.TB, wrap func(net.Listener) net.Listener) (netip.AddrPort, <-chan receivedRequest) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := wrap(raw)
	received := make(chan receivedRequest, 16)
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
				_, _ = c.Write([]byte(response))
			}
			received <- receivedRequest{data: string(b[:n]), err: err}
			_ = c.Close()
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); <-done })
	return netip.MustParseAddrPort(raw.Addr().String()), received
}

// exchange sends the request on c and reads the response; err is that of dialing c.
func exchange(c net.Conn, err error) error {
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := c.Write([]byte(request)); err != nil {
		return err
	}
	_, err = io.ReadFull(c, make([]byte, len(response)))
	return err
}

// exchangeRawTLS is the exchange of a client that uses plain crypto/tls, does not verify the server and presents the
// given certificates, if any.
func exchangeRawTLS(address netip.AddrPort, certificates ...tls.Certificate) error {
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

func loadKeyPair(t testing.TB, cfg mtls.Config) tls.Certificate {
	t.Helper()
	c, err := tls.LoadX509KeyPair(cfg.CertFile, cfg.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a listener that passes on bytes of an unauthenticated client, and against a rejected handshake whose
// event does not tell operators the reason.
func TestListenerAcceptsOnlyTrustedClients(t *testing.T) {
	dir := t.TempDir()
	trusted, other := mtlstest.NewAuthority(t), mtlstest.NewAuthority(t)
	inOneHour, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	load := func(a mtlstest.Authority, name string, ips ...net.IP) *mtls.Credentials {
		creds, _ := loadWithLog(t, a.Issue(t, dir, name, inOneHour, ips...), time.Now)
		return creds
	}
	dial := func(creds *mtls.Credentials) func(netip.AddrPort) error {
		return func(address netip.AddrPort) error {
			return exchange(creds.WrapDialer(tcp.Dialer{Bind: loopback}).Dial(context.Background(), address))
		}
	}
	expired := loadKeyPair(t, trusted.Issue(t, dir, "expired", past))
	cases := []struct {
		name   string
		client func(netip.AddrPort) error
		reason string // empty: accepted
	}{
		{"trusted", dial(load(trusted, "good")), ""},
		{"trusted, with its address", dial(load(trusted, "addressed", net.IPv4(127, 0, 0, 1))), ""},
		{"untrusted CA", dial(load(other, "other")), "bad certificate"},
		{"untrusted CA, does not verify the server", func(a netip.AddrPort) error {
			return exchangeRawTLS(a, loadKeyPair(t, other.Issue(t, dir, "blind", inOneHour)))
		}, "unknown authority"},
		{"no certificate", func(a netip.AddrPort) error { return exchangeRawTLS(a) }, "didn't provide a certificate"},
		{"expired", func(a netip.AddrPort) error { return exchangeRawTLS(a, expired) }, "expired"},
		{"plain TCP", func(a netip.AddrPort) error { return exchange(net.Dial("tcp", a.String())) }, "does not use TLS"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server, events := loadWithLog(t, trusted.Issue(t, t.TempDir(), "server", inOneHour, net.IPv4(127, 0, 0, 1)), time.Now)
			address, received := startServer(t, func(ln net.Listener) net.Listener { return server.WrapListener(ln) })
			err := tc.client(address)
			got := <-received
			if tc.reason == "" {
				if err != nil || got.data != request || events.Len() != 0 {
					t.Fatalf("client error %v, server read %q, %v, events %v", err, got.data, got.err, events.All())
				}
				return
			}
			var failed *tcp.Error
			if err == nil || got.data != "" || !errors.As(got.err, &failed) || failed.Step != tcp.ServerHandshake || failed.Peer.Addr() != loopback {
				t.Fatalf("client error %v, server read %q, error %v", err, got.data, got.err)
			}
			checkOnlyEvent(t, events, event.TLSHandshakeFailed, "TLS handshake from", "127.0.0.1", tc.reason)
		})
	}
}

// checkOnlyEvent checks that there is exactly one event, with the given kind and step, a peer that starts with peer, and a
// reason that contains reason.
func checkOnlyEvent(t *testing.T, events *observer.ObservedLogs, kind event.Kind, step, peer, reason string) {
	t.Helper()
	if events.Len() != 1 {
		t.Fatalf("%d events, want 1: %v", events.Len(), events.All())
	}
	fields := events.All()[0].ContextMap()
	if fields["event"] != int64(kind) || fields["step"] != step || !strings.HasPrefix(fields["peer"].(string), peer) || !strings.Contains(fields["reason"].(string), reason) {
		t.Fatalf("event %v does not contain %q, %q and %q", fields, step, peer, reason)
	}
}

// Guards against a request that is sent to an unauthenticated server, and against a failed handshake after which it is
// unknown whether the request ran.
func TestDialerConnectsOnlyToTrustedServers(t *testing.T) {
	dir := t.TempDir()
	trusted, other := mtlstest.NewAuthority(t), mtlstest.NewAuthority(t)
	inOneHour, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	mutual := func(cfg mtls.Config) func(net.Listener) net.Listener {
		creds, _ := loadWithLog(t, cfg, time.Now)
		return func(ln net.Listener) net.Listener { return creds.WrapListener(ln) }
	}
	serverOnly := func(cfg mtls.Config, protocols ...string) func(net.Listener) net.Listener {
		c := &tls.Config{Certificates: []tls.Certificate{loadKeyPair(t, cfg)}, NextProtos: protocols}
		return func(ln net.Listener) net.Listener { return tls.NewListener(ln, c) }
	}
	plain := func(ln net.Listener) net.Listener { return ln }
	valid := trusted.Issue(t, dir, "good", inOneHour)
	cases := []struct {
		name   string
		server func(net.Listener) net.Listener
		reason string // empty: accepted
	}{
		{"trusted", mutual(valid), ""},
		{"trusted, with its address", mutual(trusted.Issue(t, dir, "addressed", inOneHour, net.IPv4(127, 0, 0, 1))), ""},
		{"wrong address", mutual(trusted.Issue(t, dir, "elsewhere", inOneHour, net.IPv4(127, 0, 0, 2))), "127.0.0.2"},
		{"untrusted CA", mutual(other.Issue(t, dir, "other", inOneHour)), "unknown authority"},
		{"rejects the client's certificate", func(ln net.Listener) net.Listener {
			return mutual(withCA(trusted.Issue(t, dir, "strict", inOneHour), other.Issue(t, dir, "roots", inOneHour)))(ln)
		}, "remote error"},
		{"expired", serverOnly(trusted.Issue(t, dir, "expired", past), mtls.ALPNPollenhill), "expired"},
		{"other application protocol", serverOnly(valid), "does not offer protocol"},
		{"plain TCP", plain, "does not use TLS"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			address, received := startServer(t, tc.server)
			client, events := loadWithLog(t, trusted.Issue(t, t.TempDir(), "client", inOneHour), time.Now)
			pool := tcp.NewPool(tcp.PoolConfig{Address: address, MaxConnections: 1, IdleTimeout: time.Minute, Dialer: client.WrapDialer(tcp.Dialer{Bind: loopback})})
			defer pool.Close()
			var h fasthttp.RequestHeader
			h.SetHost("peer")
			_, err := pool.Exchange(t.Context(), &h, nil)
			got := <-received
			if tc.reason == "" {
				if err != nil || !strings.HasPrefix(got.data, "GET / HTTP/1.1") || events.Len() != 0 {
					t.Fatalf("error %v, server read %q, %v, events %v", err, got.data, got.err, events.All())
				}
				return
			}
			var failed *tcp.Error
			if !errors.As(err, &failed) || failed.WroteAny || failed.Step != tcp.ClientHandshake || failed.Peer != address {
				t.Fatalf("error %v does not prove that nothing was written", err)
			}
			if strings.Contains(got.data, "HTTP") {
				t.Fatalf("server read %q", got.data)
			}
			checkOnlyEvent(t, events, event.TLSHandshakeFailed, "TLS handshake to", address.String(), tc.reason)
		})
	}
}

// withCA returns own with the CA file of trusted: a process that has the certificate of one CA and trusts another.
func withCA(own, trusted mtls.Config) mtls.Config {
	own.CAFile = trusted.CAFile
	return own
}

// Guards against a misconfigured peer that fills the log, and against a limit that hides the failures of other peers.
func TestFailuresAreLoggedOncePerMinuteAndPeer(t *testing.T) {
	dir := t.TempDir()
	inOneHour := time.Now().Add(time.Hour)
	now := time.Unix(1000, 0)
	client, events := loadWithLog(t, mtlstest.NewAuthority(t).Issue(t, dir, "client", inOneHour), func() time.Time { return now })
	plain := func(ln net.Listener) net.Listener { return ln }
	first, _ := startServer(t, plain)
	second, _ := startServer(t, plain)
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
			t.Fatal("handshake with a plain server: no error")
		}
		if events.Len() != step.want {
			t.Fatalf("step %d: %d events, want %d", i, events.Len(), step.want)
		}
	}
}

// Guards against a replaced CA or certificate that needs a restart, against an unusable file that stops a process or is
// not reported, and against a rotation that closes connections in use.
func TestReplacedFilesApplyToNextHandshake(t *testing.T) {
	dir := t.TempDir()
	before, after := mtlstest.NewAuthority(t), mtlstest.NewAuthority(t)
	inOneHour := time.Now().Add(time.Hour)
	serverFiles, clientFiles := before.Issue(t, dir, "server", inOneHour), before.Issue(t, dir, "client", inOneHour)
	server, events := loadWithLog(t, serverFiles, time.Now)
	client, _ := loadWithLog(t, clientFiles, time.Now)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := server.WrapListener(raw)
	defer ln.Close()
	go serveEcho(ln)
	address := netip.MustParseAddrPort(raw.Addr().String())
	dial := func() (net.Conn, error) { return client.WrapDialer(tcp.Dialer{}).Dial(t.Context(), address) }
	old, err := dial()
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()

	mtlstest.SetModTimes(t, after.Issue(t, dir, "server", inOneHour), time.Now().Add(time.Minute))
	if _, err := dial(); err == nil {
		t.Fatal("the server does not use its new CA")
	}
	mtlstest.SetModTimes(t, after.Issue(t, dir, "client", inOneHour), time.Now().Add(time.Minute))
	c, err := dial()
	if err != nil {
		t.Fatalf("dial after the files of both were replaced: %v", err)
	}
	_ = c.Close()
	checkEcho(t, old)

	mtlstest.WritePEM(t, serverFiles.CertFile, "CERTIFICATE", []byte("broken"))
	mtlstest.SetModTimes(t, serverFiles, time.Now().Add(2*time.Minute))
	if c, err = dial(); err != nil {
		t.Fatalf("an unusable file replaced a usable one: %v", err)
	}
	_ = c.Close()
	refused := events.FilterField(zap.Int("event", int(event.TLSFilesRefused))).All()
	if len(refused) != 1 || !strings.Contains(refused[0].ContextMap()["reason"].(string), serverFiles.CertFile) {
		t.Fatalf("events %v do not name the unusable file", refused)
	}
}

func serveEcho(ln net.Listener) {
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

func checkEcho(t *testing.T, c net.Conn) {
	t.Helper()
	got := make([]byte, len(request))
	if _, err := c.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, []byte(request)) {
		t.Fatalf("echo %q, %v", got, err)
	}
}
