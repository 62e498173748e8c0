package tcp

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Listen opens a listener on exactly the given address. Accept goes on after errors that pass, such as too many open
// files, and tells failed, which may be nil, of each.
func Listen(ctx context.Context, address netip.AddrPort, failed func(error)) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return RetryAccept(ln, failed), nil
}

// RetryAccept wraps ln as Listen does.
func RetryAccept(ln net.Listener, failed func(error)) net.Listener {
	if failed == nil {
		failed = func(error) {}
	}
	return &listener{Listener: ln, failed: failed, closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	failed func(error)
	once   sync.Once
	closed chan struct{}
}

// Pauses after an error of Accept: each is twice as long as the one before.
const (
	firstPause = 5 * time.Millisecond
	maxPause   = time.Second
)

// passing are the errors of Accept after which the listener still works.
var passing = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN, syscall.EPROTO, syscall.EPERM,
}

// Accept returns the next connection; an error means that the listener is closed or broken.
func (l *listener) Accept() (net.Conn, error) {
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		c, err := l.Listener.Accept()
		if err == nil || !errors.IsAny(err, passing...) {
			return c, err
		}
		l.failed(err)
		select {
		case <-time.After(pause):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener and ends a pause of Accept.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Dialer opens connections from one local IP address.
type Dialer struct {
	Bind    netip.Addr    // local address, any if invalid
	Timeout time.Duration // longest wait for a connection, 0 for none
	// FirstTryTimeout is the longest wait of the first try; each later one waits twice as long, within Timeout. 0 means one try.
	// A lost opening packet is sent again after a second only, and a VM without power answers none until it is back.
	FirstTryTimeout time.Duration

	// Connect replaces the connections of the operating system; nil uses those.
	Connect func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	// Handshake replaces a new connection by one that authenticates and encrypts; nil leaves it plain. It closes the connection if it fails.
	Handshake func(ctx context.Context, c net.Conn, peer netip.AddrPort) (net.Conn, error)
}

// Dial opens a connection to address; no byte of a request has been written when it fails.
func (d Dialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	c, err := d.open(ctx, address)
	if err != nil {
		return nil, &Error{Step: Connect, Peer: address, Err: err}
	}
	if d.Handshake == nil {
		return c, nil
	}
	return d.Handshake(ctx, c, address)
}

// open tries to connect until a try is answered or ctx ends.
func (d Dialer) open(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if d.FirstTryTimeout <= 0 {
		return d.connect(ctx, address)
	}
	for wait := d.FirstTryTimeout; ; wait *= 2 {
		try, cancel := context.WithTimeout(ctx, wait)
		c, err := d.connect(try, address)
		silent := try.Err() != nil && ctx.Err() == nil
		cancel()
		if err == nil || !silent {
			return c, err
		}
	}
}

func (d Dialer) connect(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if d.Connect != nil {
		return d.Connect(ctx, address)
	}
	var dialer net.Dialer
	if d.Bind.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.Bind, 0))
	}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// DialContext is Dial with the signature of http.Transport; address is an IP address and a port.
func (d Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	peer, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect %s", address)
	}
	return d.Dial(ctx, peer)
}
