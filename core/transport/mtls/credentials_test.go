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
	ours, other := mtlstest.NewAuthority(t), mtlstest.NewAuthority(t)
	ip, addr := net.IPv4(127, 0, 0, 1), netip.MustParseAddr("127.0.0.1")
	hour := time.Now().Add(time.Hour)
	source := func(cfg mtls.Config) *mtls.Credentials {
		s, err := mtls.LoadCredentials(cfg)
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
		{"both known", server.ServerConfig(), member.ClientConfig(addr), true},
		{"client of another authority", server.ServerConfig(), stranger.ClientConfig(addr), false},
		{"server of another authority", stranger.ServerConfig(), member.ClientConfig(addr), false},
		{"server at another address", server.ServerConfig(), member.ClientConfig(netip.MustParseAddr("127.0.0.2")), false},
		{"client without a certificate", server.ServerConfig(), &tls.Config{InsecureSkipVerify: true}, false},
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
	ca := mtlstest.NewAuthority(t)
	good := ca.Issue(t, dir, "good", time.Now().Add(time.Hour))
	second := ca.Issue(t, dir, "second", time.Now().Add(time.Hour))
	cases := []struct {
		name string
		cfg  mtls.Config
	}{
		{"missing file", mtls.Config{CertFile: good.CertFile, KeyFile: good.KeyFile, CAFile: filepath.Join(dir, "absent")}},
		{"key of another certificate", mtls.Config{CertFile: good.CertFile, KeyFile: second.KeyFile, CAFile: good.CAFile}},
		{"authorities without a certificate", mtls.Config{CertFile: good.CertFile, KeyFile: good.KeyFile, CAFile: good.KeyFile}},
		{"expired", ca.Issue(t, dir, "expired", time.Now().Add(-time.Minute))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := mtls.LoadCredentials(c.cfg); err == nil {
				t.Fatal("no error")
			}
		})
	}
}

// Guards against a process that keeps a replaced certificate, and against one that drops a good one for a broken file.
func TestFilesAreReplacedWithoutRestart(t *testing.T) {
	dir := t.TempDir()
	before, after := mtlstest.NewAuthority(t), mtlstest.NewAuthority(t)
	hour := time.Now().Add(time.Hour)
	server, err := mtls.LoadCredentials(before.Issue(t, dir, "server", hour))
	if err != nil {
		t.Fatal(err)
	}
	client, err := mtls.LoadCredentials(after.Issue(t, dir, "client", hour))
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddr("127.0.0.1")
	if handshake(t, server.ServerConfig(), client.ClientConfig(addr)) == nil {
		t.Fatal("handshake between different authorities")
	}
	cfg := after.Issue(t, dir, "server", hour)
	mtlstest.SetModTimes(t, cfg, time.Now().Add(time.Minute))
	if err := handshake(t, server.ServerConfig(), client.ClientConfig(addr)); err != nil {
		t.Fatal(err)
	}
	mtlstest.WritePEM(t, cfg.CertFile, "CERTIFICATE", []byte("broken"))
	mtlstest.SetModTimes(t, cfg, time.Now().Add(2*time.Minute))
	if err := handshake(t, server.ServerConfig(), client.ClientConfig(addr)); err != nil {
		t.Fatal(err)
	}
	if server.ReloadError() == nil {
		t.Fatal("a broken certificate file is not reported")
	}
}
