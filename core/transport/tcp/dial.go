package tcp

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Dialer opens connections from one local IP address.
type Dialer struct {
	Bind    netip.Addr    // local IP address, any if invalid
	Timeout time.Duration // of a dial, with all tries and the handshake; 0 for none
	// FirstTryTimeout bounds the first try to connect; each later try may take twice as long as the one before, within
	// Timeout. 0 means a single try. The kernel repeats a lost SYN packet only after a second, and a VM that is switched
	// off answers none of them until it is back.
	FirstTryTimeout time.Duration

	// Connect opens connections in place of the operating system; nil uses the operating system.
	Connect func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	// Handshake returns a new connection with authentication and encryption, and closes it if it fails; nil leaves
	// connections plain.
	Handshake func(ctx context.Context, c net.Conn, peer netip.AddrPort) (net.Conn, error)
}

// Dial opens a connection to address. If it fails, no byte of a request has been written.
func (d Dialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	c, err := d.connectWithRetry(ctx, address)
	if err != nil {
		return nil, &Error{Step: Connect, Peer: address, Err: err}
	}
	if d.Handshake == nil {
		return c, nil
	}
	return d.Handshake(ctx, c, address)
}

// connectWithRetry tries to connect until the peer accepts or refuses, or ctx ends.
func (d Dialer) connectWithRetry(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if d.FirstTryTimeout <= 0 {
		return d.connectOnce(ctx, address)
	}
	for timeout := d.FirstTryTimeout; ; timeout *= 2 {
		tryCtx, cancel := context.WithTimeout(ctx, timeout)
		c, err := d.connectOnce(tryCtx, address)
		timedOut := tryCtx.Err() != nil && ctx.Err() == nil
		cancel()
		if err == nil || !timedOut {
			return c, err
		}
	}
}

func (d Dialer) connectOnce(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if d.Connect != nil {
		return d.Connect(ctx, address)
	}
	var dialer net.Dialer
	if d.Bind.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.Bind, 0))
	}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// DialContext is Dial with the signature that http.Transport needs; address is an IP address and a port.
func (d Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	peer, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect %s", address)
	}
	return d.Dial(ctx, peer)
}
