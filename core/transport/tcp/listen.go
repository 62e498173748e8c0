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
}

// Dial opens a connection to address; its signature fits http.Transport and fasthttp through closures.
func (d Dialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout}
	if d.Bind.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.Bind, 0))
	}
	c, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, &Error{Step: Connect, Peer: address, Err: err}
	}
	return c, nil
}
