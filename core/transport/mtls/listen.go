package mtls

import (
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"pollenhill.example/core/transport/tcp"
)

// handshakeTimeout bounds how long an unauthenticated peer can hold a connection open. The handshake takes two round
// trips of at most 100 ms between regions.
const handshakeTimeout = 5 * time.Second

// WrapListener returns ln with mutual TLS on its connections; nil Credentials return ln. The listener offers
// ALPNPollenhill and the given protocols. The handshake runs at the first read or write of a connection, so that a slow
// client does not delay others.
func (cr *Credentials) WrapListener(ln net.Listener, protocols ...string) net.Listener {
	if cr == nil {
		return ln
	}
	return &tlsListener{Listener: ln, creds: cr, cfg: cr.ServerConfig(append([]string{ALPNPollenhill}, protocols...)...)}
}

type tlsListener struct {
	net.Listener
	creds *Credentials
	cfg   *tls.Config
}

// Accept returns the next connection, whose handshake has not run.
func (l *tlsListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	raw := &rawConn{Conn: c}
	t := tls.Server(raw, l.cfg)
	return newConn(raw, t, sync.OnceValue(func() error { return l.creds.serverHandshake(raw, t) })), nil
}

// serverHandshake runs the handshake as the server and closes the connection if it fails.
func (cr *Credentials) serverHandshake(raw *rawConn, t *tls.Conn) error {
	timer := time.AfterFunc(handshakeTimeout, func() { _ = raw.Close() })
	defer timer.Stop()
	err := t.Handshake()
	cr.logReloadFailure()
	if err == nil && t.ConnectionState().NegotiatedProtocol == ALPNPollenhill {
		_, err = t.Write([]byte{ReadyByte})
	}
	if err == nil {
		return nil
	}
	_ = raw.Close()
	peer, _ := netip.ParseAddrPort(raw.RemoteAddr().String())
	failed := &tcp.Error{Step: tcp.ServerHandshake, Peer: peer, Err: explainHandshakeError(err, raw)}
	// A connection without a byte is a port check, not a failure. The peer is its address without the port, since every
	// connection of a client has another port.
	if raw.receivedAny {
		cr.logHandshakeFailure(failed, peer.Addr().String())
	}
	return failed
}
