package mtlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pollenhill.example/core/transport/mtls"
)

// Authority is a CA that signs the certificates of one test.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns a CA with a new key, which nothing else trusts.
func NewAuthority(t testing.TB) Authority {
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
	return Authority{cert: cert, key: key}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// Issue writes certificate, key and CA file of one process into dir and returns their paths. Files that were issued for
// the same name are replaced. The certificate is valid until notAfter and contains ips.
func (a Authority) Issue(t testing.TB, dir, name string, notAfter time.Time, ips ...net.IP) mtls.Config {
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
	cfg := mtls.Config{CertFile: filepath.Join(dir, name+".crt"), KeyFile: filepath.Join(dir, name+".key"), CAFile: filepath.Join(dir, name+".ca")}
	WritePEM(t, cfg.CertFile, "CERTIFICATE", raw)
	WritePEM(t, cfg.KeyFile, "PRIVATE KEY", private)
	WritePEM(t, cfg.CAFile, "CERTIFICATE", a.cert.Raw)
	return cfg
}

// WritePEM writes a PEM file with one block of type blockType.
func WritePEM(t testing.TB, path, blockType string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// SetModTimes sets the modification times of the files of cfg, by which mtls.Credentials detects that they changed.
func SetModTimes(t testing.TB, cfg mtls.Config, at time.Time) {
	t.Helper()
	for _, path := range []string{cfg.CertFile, cfg.KeyFile, cfg.CAFile} {
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
}
