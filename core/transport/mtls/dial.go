package mtls

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/transport/tcp"
)

// Protocol is the application protocol (ALPN) between processes of pollenhill. A TLS 1.3 client ends its handshake
// before the server has checked the client's certificate; under this protocol the server therefore sends one byte,
// Ready, after its check. A client that has read it knows that what it writes next is not lost in a refused handshake.
const (
	ALPNPollenhill = "pollenhill/1"
	ReadyByte      = 1
)

// Application protocols of clients other than pollenhill's processes, for listeners that serve them.
const (
	ALPNHTTP1 = "http/1.1"
	ALPNHTTP2 = "h2"
)

// WrapDialer returns d with mutual TLS on its connections; a nil Source returns d.
func (s *Credentials) WrapDialer(d tcp.Dialer) tcp.Dialer {
	if s != nil {
		d.Handshake = s.secure
	}
	return d
}

// secure runs the handshake of a client; an error is a tcp.Error, and the connection is closed.
func (s *Credentials) secure(ctx context.Context, c net.Conn, peer netip.AddrPort) (net.Conn, error) {
	sock := &socket{Conn: c}
	cfg := s.ClientConfig(peer.Addr())
	cfg.NextProtos = []string{ALPNPollenhill}
	t := tls.Client(sock, cfg)
	err := t.HandshakeContext(ctx)
	if err == nil {
		err = confirmed(ctx, t)
	}
	s.stale()
	if err == nil {
		return newConn(sock, t, func() error { return nil }), nil
	}
	_ = c.Close()
	failed := &tcp.Error{Step: tcp.ClientHandshake, Peer: peer, Err: explain(err, sock)}
	if !errors.Is(ctx.Err(), context.Canceled) {
		s.log(failed, peer.String())
	}
	return nil, failed
}

// confirmed waits for the byte Ready.
func confirmed(ctx context.Context, c *tls.Conn) error {
	if c.ConnectionState().NegotiatedProtocol != ALPNPollenhill {
		return errors.Newf("the other side does not offer protocol %s", ALPNPollenhill)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.NetConn().Close() })
	var b [1]byte
	_, err := io.ReadFull(c, b[:])
	if !stop() {
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	if b[0] != ReadyByte {
		return errors.Newf("the first byte is %d, want %d", b[0], ReadyByte)
	}
	return nil
}

// explain says what a failure means where the TLS layer names only a symptom.
func explain(err error, s *socket) error {
	var record tls.RecordHeaderError
	switch {
	case errors.As(err, &record):
		return errors.Wrap(err, "the other side does not use TLS")
	case errors.Is(err, io.EOF) && !s.any:
		return errors.Wrap(err, "the other side closed the connection without an answer; it may not use TLS")
	case errors.Is(err, io.EOF):
		return errors.Wrap(err, "the other side closed the connection during the handshake")
	}
	return err
}
