package mtls

import (
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"pollenhill.example/core/transport/tcp"
)

// handshakeTimeout bounds how long a peer that is not authenticated keeps a connection; the handshake takes two round
// trips, at most 100 ms between regions.
const handshakeTimeout = 5 * time.Second

// WrapListener returns ln with mutual TLS on its connections; a nil Source returns ln. Besides Protocol the listener offers
// the given protocols. The first read or write of a connection runs its handshake, so a slow peer does not delay others.
func (s *Credentials) WrapListener(ln net.Listener, protocols ...string) net.Listener {
	if s == nil {
		return ln
	}
	return &listener{Listener: ln, source: s, cfg: s.ServerConfig(append([]string{ALPNPollenhill}, protocols...)...)}
}

type listener struct {
	net.Listener
	source *Credentials
	cfg    *tls.Config
}

// Accept returns the next connection before its handshake.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	sock := &socket{Conn: c}
	t := tls.Server(sock, l.cfg)
	return newConn(sock, t, sync.OnceValue(func() error { return l.source.admit(sock, t) })), nil
}

// admit runs the handshake of a server; a connection that fails is closed.
func (s *Credentials) admit(sock *socket, t *tls.Conn) error {
	timer := time.AfterFunc(handshakeTimeout, func() { _ = sock.Close() })
	defer timer.Stop()
	err := t.Handshake()
	s.stale()
	if err == nil && t.ConnectionState().NegotiatedProtocol == ALPNPollenhill {
		_, err = t.Write([]byte{ReadyByte})
	}
	if err == nil {
		return nil
	}
	_ = sock.Close()
	peer, _ := netip.ParseAddrPort(sock.RemoteAddr().String())
	failed := &tcp.Error{Step: tcp.ServerHandshake, Peer: peer, Err: explain(err, sock)}
	// A connection without a byte is a port check; the port of a client differs each time.
	if sock.any {
		s.log(failed, peer.Addr().String())
	}
	return failed
}
