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

// Credentials holds the current key pair and authorities of one process, safe for concurrent use.
type Credentials struct {
	cfg Config

	mu     sync.Mutex
	stamp  [3]time.Time // modification times of the files in use
	pair   *tls.Certificate
	roots  *x509.CertPool
	failed error // why the newest files are not in use, or nil

	report *report // nil: failed handshakes are not logged
}

// Config names the PEM files of one process.
type Config struct {
	CertFile string `json:"cert" validate:"required"` // certificate chain of the process
	KeyFile  string `json:"key" validate:"required"`  // its private key
	CAFile   string `json:"ca" validate:"required"`   // authorities of all processes
}

// LoadCredentials reads the files and returns an error that names the one that cannot be used.
func LoadCredentials(cfg Config) (*Credentials, error) {
	s := &Credentials{cfg: cfg}
	stamp, err := s.stamps()
	if err != nil {
		return nil, err
	}
	if err := s.load(stamp); err != nil {
		return nil, err
	}
	return s, nil
}

// ServerConfig returns the settings of a listener that offers the given application protocols: every peer must show a
// certificate of the authorities.
func (s *Credentials) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, roots := s.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
				NextProtos:   protocols,
				// Every connection checks both certificates against the files in use.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the settings of a dialer to one peer. Processes are addressed by IP, so the certificate of the
// peer is checked against the authorities and, if it carries IP addresses, against the address that is dialed.
func (s *Credentials) ClientConfig(peer netip.Addr) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := s.current()
			return pair, nil
		},
		InsecureSkipVerify: true, // replaced by verify, which uses the authorities in force at the handshake
		VerifyConnection:   func(state tls.ConnectionState) error { return s.verify(state, peer) },
	}
}

func (s *Credentials) verify(state tls.ConnectionState, peer netip.Addr) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Newf("verify peer %s: no certificate", peer)
	}
	_, roots := s.current()
	leaf := state.PeerCertificates[0]
	opts := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := leaf.Verify(opts); err != nil {
		return errors.Wrapf(err, "verify peer %s with certificate of %s", peer, leaf.Subject.CommonName)
	}
	if len(leaf.IPAddresses) == 0 {
		return nil
	}
	return errors.Wrapf(leaf.VerifyHostname(peer.String()), "verify peer %s", peer)
}

// ReloadError returns why newer files are not in use, or nil.
func (s *Credentials) ReloadError() error {
	s.current()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// current looks at the files, which costs little beside a handshake, and returns the newest usable ones; files that cannot be used leave the earlier ones in force.
func (s *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return s.pair, s.roots
}

func (s *Credentials) refresh() {
	stamp, err := s.stamps()
	if err != nil {
		s.failed = err
		return
	}
	if stamp == s.stamp {
		return
	}
	s.failed = s.load(stamp)
}

func (s *Credentials) stamps() ([3]time.Time, error) {
	var stamp [3]time.Time
	for i, path := range []string{s.cfg.CertFile, s.cfg.KeyFile, s.cfg.CAFile} {
		info, err := os.Stat(path)
		if err != nil {
			return stamp, errors.Wrap(err, "read TLS file")
		}
		stamp[i] = info.ModTime()
	}
	return stamp, nil
}

func (s *Credentials) load(stamp [3]time.Time) error {
	pair, err := tls.LoadX509KeyPair(s.cfg.CertFile, s.cfg.KeyFile)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s with key %s", s.cfg.CertFile, s.cfg.KeyFile)
	}
	if now := time.Now(); now.After(pair.Leaf.NotAfter) || now.Before(pair.Leaf.NotBefore) {
		return errors.Newf("certificate %s is valid from %s to %s only", s.cfg.CertFile, pair.Leaf.NotBefore, pair.Leaf.NotAfter)
	}
	raw, err := os.ReadFile(s.cfg.CAFile)
	if err != nil {
		return errors.Wrap(err, "read authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return errors.Newf("authorities %s: no PEM certificate", s.cfg.CAFile)
	}
	s.pair, s.roots, s.stamp = &pair, roots, stamp
	return nil
}
