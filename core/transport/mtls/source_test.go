package mtls_test

import (
	"crypto/tls"
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/mtls/mtlstest"
)

// handshake runs both sides over a loopback connection; the server's result shows whether it accepted the client.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close()
		done <- tls.Server(conn, server).Handshake()
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	clientErr := tls.Client(conn, client).Handshake()
	conn.Close()
	if err := <-done; err != nil {
		return err
	}
	return clientErr
}

// Guards against a process without a valid certificate that joins, and against valid ones that cannot.
func TestHandshake(t *testing.T) {
	dir := t.TempDir()
	ours, other := mtlstest.New(t), mtlstest.New(t)
	ip, addr := net.IPv4(127, 0, 0, 1), netip.MustParseAddr("127.0.0.1")
	hour := time.Now().Add(time.Hour)
	source := func(cfg mtls.Config) *mtls.Source {
		s, err := mtls.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	server := source(ours.Issue(t, dir, "server", hour, ip))
	member := source(ours.Issue(t, dir, "member", hour))
	stranger := source(other.Issue(t, dir, "stranger", hour, ip))
	cases := []struct {
		name   string
		server *tls.Config
		client *tls.Config
		ok     bool
	}{
		{"both known", server.Server(), member.Client(addr), true},
		{"client of another authority", server.Server(), stranger.Client(addr), false},
		{"server of another authority", stranger.Server(), member.Client(addr), false},
		{"server at another address", server.Server(), member.Client(netip.MustParseAddr("127.0.0.2")), false},
		{"client without a certificate", server.Server(), &tls.Config{InsecureSkipVerify: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := handshake(t, c.server, c.client); (err == nil) != c.ok {
				t.Fatalf("handshake error %v, want success %v", err, c.ok)
			}
		})
	}
}

// Guards against a start with files that cannot work.
func TestNewRefusesBadFiles(t *testing.T) {
	dir := t.TempDir()
	ca := mtlstest.New(t)
	good := ca.Issue(t, dir, "good", time.Now().Add(time.Hour))
	second := ca.Issue(t, dir, "second", time.Now().Add(time.Hour))
	cases := []struct {
		name string
		cfg  mtls.Config
	}{
		{"missing file", mtls.Config{Cert: good.Cert, Key: good.Key, CA: filepath.Join(dir, "absent")}},
		{"key of another certificate", mtls.Config{Cert: good.Cert, Key: second.Key, CA: good.CA}},
		{"authorities without a certificate", mtls.Config{Cert: good.Cert, Key: good.Key, CA: good.Key}},
		{"expired", ca.Issue(t, dir, "expired", time.Now().Add(-time.Minute))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := mtls.New(c.cfg); err == nil {
				t.Fatal("no error")
			}
		})
	}
}

// Guards against a process that keeps a replaced certificate, and against one that drops a good one for a broken file.
func TestFilesAreReplacedWithoutRestart(t *testing.T) {
	dir := t.TempDir()
	before, after := mtlstest.New(t), mtlstest.New(t)
	hour := time.Now().Add(time.Hour)
	server, err := mtls.New(before.Issue(t, dir, "server", hour))
	if err != nil {
		t.Fatal(err)
	}
	client, err := mtls.New(after.Issue(t, dir, "client", hour))
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddr("127.0.0.1")
	if handshake(t, server.Server(), client.Client(addr)) == nil {
		t.Fatal("handshake between different authorities")
	}
	cfg := after.Issue(t, dir, "server", hour)
	mtlstest.Touch(t, cfg, time.Now().Add(time.Minute))
	if err := handshake(t, server.Server(), client.Client(addr)); err != nil {
		t.Fatal(err)
	}
	mtlstest.Write(t, cfg.Cert, "CERTIFICATE", []byte("broken"))
	mtlstest.Touch(t, cfg, time.Now().Add(2*time.Minute))
	if err := handshake(t, server.Server(), client.Client(addr)); err != nil {
		t.Fatal(err)
	}
	if server.Err() == nil {
		t.Fatal("a broken certificate file is not reported")
	}
}
