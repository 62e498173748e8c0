package tcp

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Listen opens a listener on exactly the given address.
func Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return ln, nil
}

// Dialer opens connections from one local IP address.
type Dialer struct {
	Bind    netip.Addr    // local address, any if invalid
	Timeout time.Duration // longest wait for a connection, 0 for none

	// Secure replaces a new connection by one that authenticates and encrypts; nil leaves it plain. It closes the connection if it fails.
	Secure func(ctx context.Context, c net.Conn, peer netip.AddrPort) (net.Conn, error)
}

// Dial opens a connection to address; no byte of a request has been written when it fails.
func (d Dialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	var dialer net.Dialer
	if d.Bind.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.Bind, 0))
	}
	c, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, &Error{Step: Connect, Peer: address, Err: err}
	}
	if d.Secure == nil {
		return c, nil
	}
	return d.Secure(ctx, c, address)
}

// DialContext is Dial with the signature of http.Transport; address is an IP address and a port.
func (d Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	peer, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect %s", address)
	}
	return d.Dial(ctx, peer)
}
