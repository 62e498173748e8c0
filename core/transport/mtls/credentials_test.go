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

// runHandshake runs both sides of a handshake over a loopback connection and returns the server's error, or else the
// client's: a TLS 1.3 client may succeed before the server rejects it.
func runHandshake(t *testing.T, server, client *tls.Config) error {
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

// Guards against processes that accept a peer without a valid certificate, or reject one with a valid certificate.
func TestHandshake(t *testing.T) {
	dir := t.TempDir()
	trusted, other := mtlstest.NewAuthority(t), mtlstest.NewAuthority(t)
	ip, addr := net.IPv4(127, 0, 0, 1), netip.MustParseAddr("127.0.0.1")
	inOneHour := time.Now().Add(time.Hour)
	load := func(cfg mtls.Config) *mtls.Credentials {
		creds, err := mtls.LoadCredentials(cfg)
		if err != nil {
			t.Fatal(err)
		}
		return creds
	}
	server := load(trusted.Issue(t, dir, "server", inOneHour, ip))
	client := load(trusted.Issue(t, dir, "client", inOneHour))
	untrusted := load(other.Issue(t, dir, "untrusted", inOneHour, ip))
	cases := []struct {
		name   string
		server *tls.Config
		client *tls.Config
		ok     bool
	}{
		{"both trusted", server.ServerConfig(), client.ClientConfig(addr), true},
		{"client with an untrusted CA", server.ServerConfig(), untrusted.ClientConfig(addr), false},
		{"server with an untrusted CA", untrusted.ServerConfig(), client.ClientConfig(addr), false},
		{"server at another address", server.ServerConfig(), client.ClientConfig(netip.MustParseAddr("127.0.0.2")), false},
		{"client without a certificate", server.ServerConfig(), &tls.Config{InsecureSkipVerify: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := runHandshake(t, c.server, c.client); (err == nil) != c.ok {
				t.Fatalf("handshake error %v, want success %v", err, c.ok)
			}
		})
	}
}

// Guards against a process that starts with unusable files and fails only at its first connection.
func TestLoadCredentialsRejectsUnusableFiles(t *testing.T) {
	dir := t.TempDir()
	authority := mtlstest.NewAuthority(t)
	good := authority.Issue(t, dir, "good", time.Now().Add(time.Hour))
	second := authority.Issue(t, dir, "second", time.Now().Add(time.Hour))
	cases := []struct {
		name string
		cfg  mtls.Config
	}{
		{"missing file", mtls.Config{CertFile: good.CertFile, KeyFile: good.KeyFile, CAFile: filepath.Join(dir, "absent")}},
		{"key of another certificate", mtls.Config{CertFile: good.CertFile, KeyFile: second.KeyFile, CAFile: good.CAFile}},
		{"CA file without a certificate", mtls.Config{CertFile: good.CertFile, KeyFile: good.KeyFile, CAFile: good.KeyFile}},
		{"expired", authority.Issue(t, dir, "expired", time.Now().Add(-time.Minute))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := mtls.LoadCredentials(c.cfg); err == nil {
				t.Fatal("unusable files are accepted")
			}
		})
	}
}

// Guards against a process that keeps using a replaced certificate, and against one that gives up a usable certificate for
// an unusable file.
func TestFilesAreReplacedWithoutRestart(t *testing.T) {
	dir := t.TempDir()
	before, after := mtlstest.NewAuthority(t), mtlstest.NewAuthority(t)
	inOneHour := time.Now().Add(time.Hour)
	server, err := mtls.LoadCredentials(before.Issue(t, dir, "server", inOneHour))
	if err != nil {
		t.Fatal(err)
	}
	client, err := mtls.LoadCredentials(after.Issue(t, dir, "client", inOneHour))
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddr("127.0.0.1")
	if runHandshake(t, server.ServerConfig(), client.ClientConfig(addr)) == nil {
		t.Fatal("handshake between processes of different CAs succeeded")
	}
	cfg := after.Issue(t, dir, "server", inOneHour)
	mtlstest.SetModTimes(t, cfg, time.Now().Add(time.Minute))
	if err := runHandshake(t, server.ServerConfig(), client.ClientConfig(addr)); err != nil {
		t.Fatal(err)
	}
	mtlstest.WritePEM(t, cfg.CertFile, "CERTIFICATE", []byte("broken"))
	mtlstest.SetModTimes(t, cfg, time.Now().Add(2*time.Minute))
	if err := runHandshake(t, server.ServerConfig(), client.ClientConfig(addr)); err != nil {
		t.Fatal(err)
	}
	if server.ReloadError() == nil {
		t.Fatal("an unusable certificate file is not reported")
	}
}
