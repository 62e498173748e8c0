package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Credentials holds the certificate, key and CA certificates of one process and reloads them when their files change.
// It is safe for concurrent use.
type Credentials struct {
	cfg Config

	mu          sync.Mutex
	modTimes    [3]time.Time // of the files in use: certificate, key, CA
	certificate *tls.Certificate
	roots       *x509.CertPool
	reloadErr   error // why the newest files are not in use, or nil

	failureLog *failureLog // nil: failures are not logged
}

// Config has the paths of the PEM files of one process.
type Config struct {
	CertFile string `json:"cert" validate:"required"` // certificate chain of the process
	KeyFile  string `json:"key" validate:"required"`  // private key of the certificate
	CAFile   string `json:"ca" validate:"required"`   // CA certificates that all processes trust
}

// LoadCredentials reads the files of cfg. Its error names the file that cannot be used.
func LoadCredentials(cfg Config) (*Credentials, error) {
	cr := &Credentials{cfg: cfg}
	modTimes, err := cr.readModTimes()
	if err != nil {
		return nil, err
	}
	if err := cr.load(modTimes); err != nil {
		return nil, err
	}
	return cr, nil
}

// ServerConfig returns the TLS settings of a listener that offers the given application protocols (ALPN). Every client
// must present a certificate signed by one of the CAs.
func (cr *Credentials) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, roots := cr.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
				NextProtos:   protocols,
				// Without resumption, every connection checks both certificates against the files in use.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the TLS settings of a dialer to one peer. Processes are addressed by IP, so the certificate of the
// peer is checked against the CAs and, if it contains IP addresses, against the address that is dialed.
func (cr *Credentials) ClientConfig(peer netip.Addr) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := cr.current()
			return certificate, nil
		},
		InsecureSkipVerify: true, // replaced by verifyPeer, which uses the CAs that are current at the handshake
		VerifyConnection:   func(state tls.ConnectionState) error { return cr.verifyPeer(state, peer) },
	}
}

func (cr *Credentials) verifyPeer(state tls.ConnectionState, peer netip.Addr) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Newf("verify peer %s: it presented no certificate", peer)
	}
	_, roots := cr.current()
	leaf := state.PeerCertificates[0]
	opts := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := leaf.Verify(opts); err != nil {
		return errors.Wrapf(err, "verify peer %s with the certificate of %s", peer, leaf.Subject.CommonName)
	}
	if len(leaf.IPAddresses) == 0 {
		return nil
	}
	return errors.Wrapf(leaf.VerifyHostname(peer.String()), "verify peer %s", peer)
}

// ReloadError returns why the newest files are not in use, or nil.
func (cr *Credentials) ReloadError() error {
	cr.current()
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.reloadErr
}

// current reloads the files if they have changed and returns the newest usable certificate and CAs. Reading the
// modification times costs little beside a handshake. While the files cannot be used, the earlier ones stay in use.
func (cr *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.reloadIfChanged()
	return cr.certificate, cr.roots
}

func (cr *Credentials) reloadIfChanged() {
	modTimes, err := cr.readModTimes()
	if err != nil {
		cr.reloadErr = err
		return
	}
	if modTimes == cr.modTimes {
		return
	}
	cr.reloadErr = cr.load(modTimes)
}

func (cr *Credentials) readModTimes() ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, path := range []string{cr.cfg.CertFile, cr.cfg.KeyFile, cr.cfg.CAFile} {
		info, err := os.Stat(path)
		if err != nil {
			return modTimes, errors.Wrap(err, "read TLS file")
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

// load puts the files into use, unless one of them is unusable.
func (cr *Credentials) load(modTimes [3]time.Time) error {
	certificate, err := tls.LoadX509KeyPair(cr.cfg.CertFile, cr.cfg.KeyFile)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s with key %s", cr.cfg.CertFile, cr.cfg.KeyFile)
	}
	if now := time.Now(); now.After(certificate.Leaf.NotAfter) || now.Before(certificate.Leaf.NotBefore) {
		return errors.Newf("certificate %s is valid from %s to %s only", cr.cfg.CertFile, certificate.Leaf.NotBefore, certificate.Leaf.NotAfter)
	}
	pem, err := os.ReadFile(cr.cfg.CAFile)
	if err != nil {
		return errors.Wrap(err, "read CA file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Newf("CA file %s contains no PEM certificate", cr.cfg.CAFile)
	}
	cr.certificate, cr.roots, cr.modTimes = &certificate, roots, modTimes
	return nil
}
