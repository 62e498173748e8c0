package mtls_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pollenhill.example/core/transport/mtls"
)

// authority signs the certificates of one test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert: cert, key: key}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// issue writes the files of one process and returns their names.
func (a authority) issue(t *testing.T, dir, name string, notAfter time.Time, ips ...net.IP) mtls.Config {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: ips,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cfg := mtls.Config{Cert: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, name+".ca")}
	write(t, cfg.Cert, "CERTIFICATE", raw)
	write(t, cfg.Key, "PRIVATE KEY", private)
	write(t, cfg.CA, "CERTIFICATE", a.cert.Raw)
	return cfg
}

func write(t *testing.T, path, kind string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
}

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
	ours, other := newAuthority(t), newAuthority(t)
	ip, addr := net.IPv4(127, 0, 0, 1), netip.MustParseAddr("127.0.0.1")
	hour := time.Now().Add(time.Hour)
	source := func(cfg mtls.Config) *mtls.Source {
		s, err := mtls.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	server := source(ours.issue(t, dir, "server", hour, ip))
	member := source(ours.issue(t, dir, "member", hour))
	stranger := source(other.issue(t, dir, "stranger", hour, ip))
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
	ca := newAuthority(t)
	good := ca.issue(t, dir, "good", time.Now().Add(time.Hour))
	second := ca.issue(t, dir, "second", time.Now().Add(time.Hour))
	cases := []struct {
		name string
		cfg  mtls.Config
	}{
		{"missing file", mtls.Config{Cert: good.Cert, Key: good.Key, CA: filepath.Join(dir, "absent")}},
		{"key of another certificate", mtls.Config{Cert: good.Cert, Key: second.Key, CA: good.CA}},
		{"authorities without a certificate", mtls.Config{Cert: good.Cert, Key: good.Key, CA: good.Key}},
		{"expired", ca.issue(t, dir, "expired", time.Now().Add(-time.Minute))},
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
	before, after := newAuthority(t), newAuthority(t)
	hour := time.Now().Add(time.Hour)
	server, err := mtls.New(before.issue(t, dir, "server", hour))
	if err != nil {
		t.Fatal(err)
	}
	client, err := mtls.New(after.issue(t, dir, "client", hour))
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddr("127.0.0.1")
	if handshake(t, server.Server(), client.Client(addr)) == nil {
		t.Fatal("handshake between different authorities")
	}
	cfg := after.issue(t, dir, "server", hour)
	touch(t, cfg, time.Now().Add(time.Minute))
	if err := handshake(t, server.Server(), client.Client(addr)); err != nil {
		t.Fatal(err)
	}
	write(t, cfg.Cert, "CERTIFICATE", []byte("broken"))
	touch(t, cfg, time.Now().Add(2*time.Minute))
	if err := handshake(t, server.Server(), client.Client(addr)); err != nil {
		t.Fatal(err)
	}
	if server.Err() == nil {
		t.Fatal("a broken certificate file is not reported")
	}
}

// touch sets the modification times, which change detection depends on.
func touch(t *testing.T, cfg mtls.Config, at time.Time) {
	t.Helper()
	for _, path := range []string{cfg.Cert, cfg.Key, cfg.CA} {
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
}
