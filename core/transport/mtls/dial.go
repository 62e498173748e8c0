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

// ALPNPollenhill is the application protocol between processes of pollenhill. A TLS 1.3 client completes its handshake
// before the server has verified the client's certificate. With this protocol the server therefore sends ReadyByte after
// its verification; a client that has read it knows that a request it writes is not lost in a rejected handshake.
const (
	ALPNPollenhill = "pollenhill/1"
	ReadyByte      = 1
)

// Application protocols of clients that are not processes of pollenhill, for listeners that serve them.
const (
	ALPNHTTP1 = "http/1.1"
	ALPNHTTP2 = "h2"
)

// WrapDialer returns d with mutual TLS on its connections; nil Credentials return d.
func (cr *Credentials) WrapDialer(d tcp.Dialer) tcp.Dialer {
	if cr != nil {
		d.Handshake = cr.clientHandshake
	}
	return d
}

// clientHandshake runs the handshake as the client. If it fails, the connection is closed and the error is a tcp.Error.
func (cr *Credentials) clientHandshake(ctx context.Context, c net.Conn, peer netip.AddrPort) (net.Conn, error) {
	raw := &rawConn{Conn: c}
	cfg := cr.ClientConfig(peer.Addr())
	cfg.NextProtos = []string{ALPNPollenhill}
	t := tls.Client(raw, cfg)
	err := t.HandshakeContext(ctx)
	if err == nil {
		err = waitForReady(ctx, t)
	}
	cr.logReloadFailure()
	if err == nil {
		return newConn(raw, t, func() error { return nil }), nil
	}
	_ = c.Close()
	failed := &tcp.Error{Step: tcp.ClientHandshake, Peer: peer, Err: explainHandshakeError(err, raw)}
	if !errors.Is(ctx.Err(), context.Canceled) {
		cr.logHandshakeFailure(failed, peer.String())
	}
	return nil, failed
}

// waitForReady waits for ReadyByte, which shows that the server has accepted the client's certificate.
func waitForReady(ctx context.Context, c *tls.Conn) error {
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

// explainHandshakeError adds the likely cause to errors of the TLS layer that state only a symptom.
func explainHandshakeError(err error, raw *rawConn) error {
	var record tls.RecordHeaderError
	switch {
	case errors.As(err, &record):
		return errors.Wrap(err, "the other side does not use TLS")
	case errors.Is(err, io.EOF) && !raw.receivedAny:
		return errors.Wrap(err, "the other side closed the connection without an answer; it may not use TLS")
	case errors.Is(err, io.EOF):
		return errors.Wrap(err, "the other side closed the connection during the handshake")
	}
	return err
}
