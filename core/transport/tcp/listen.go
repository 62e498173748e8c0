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

// Listen opens a listener on exactly the given address. Its Accept retries after temporary errors, such as too many open
// files, and passes each of them to onError, which may be nil.
func Listen(ctx context.Context, address netip.AddrPort, onError func(error)) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return RetryAccept(ln, onError), nil
}

// RetryAccept returns ln with an Accept that retries after temporary errors and passes each of them to onError, which
// may be nil.
func RetryAccept(ln net.Listener, onError func(error)) net.Listener {
	if onError == nil {
		onError = func(error) {}
	}
	return &retryingListener{Listener: ln, onError: onError, closed: make(chan struct{})}
}

type retryingListener struct {
	net.Listener
	onError   func(error)
	closeOnce sync.Once
	closed    chan struct{}
}

// Bounds of the backoff after an error of Accept; it doubles with each error in a row.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// temporaryErrors are the errors of Accept after which the listener still works.
var temporaryErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN, syscall.EPROTO, syscall.EPERM,
}

// Accept returns the next connection; an error means that the listener is closed or broken.
func (l *retryingListener) Accept() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		c, err := l.Listener.Accept()
		if err == nil || !errors.IsAny(err, temporaryErrors...) {
			return c, err
		}
		l.onError(err)
		select {
		case <-time.After(backoff):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener and ends a backoff of Accept.
func (l *retryingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
