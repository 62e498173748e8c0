package tcp_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/transport/tcp"
)

// Guards against a connection that hangs for a second after a lost opening packet, or as long as the peer was without
// power when the first try began, and against tries that go on after a refusal.
func TestDialTriesAgain(t *testing.T) {
	peer := netip.MustParseAddrPort("127.9.9.9:99")
	for _, c := range []struct {
		name   string
		silent time.Duration // nothing answers before
		fails  error
		want   time.Duration
	}{
		{name: "at once"},
		{name: "lost packet", silent: 10 * time.Millisecond, want: 50 * time.Millisecond},
		{name: "back after a while", silent: 200 * time.Millisecond, want: 350 * time.Millisecond},
		{name: "never", silent: time.Hour, fails: context.DeadlineExceeded, want: time.Second},
		{name: "refused", fails: net.ErrClosed},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				d := tcp.Dialer{Timeout: time.Second, FirstTryTimeout: 50 * time.Millisecond, Connect: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
					if time.Since(start) < c.silent {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return nil, c.fails
				}}
				_, err := d.Dial(t.Context(), peer)
				if !errors.Is(err, c.fails) {
					t.Errorf("error %v, want %v", err, c.fails)
				}
				if took := time.Since(start); took != c.want {
					t.Errorf("took %v, want %v", took, c.want)
				}
			})
		})
	}
}

// failing is a listener whose first Accepts fail.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

func (f *failing) Close() error { return nil }

// Guards against a process that ends because one connection could not be accepted, for example with all descriptors in use.
func TestAcceptGoesOnAfterErrorsThatPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		told := 0
		ln := tcp.RetryAccept(&failing{errs: []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENFILE}}, func(error) { told++ })
		if _, err := ln.Accept(); err != nil {
			t.Errorf("error %v", err)
		}
		if told != 3 {
			t.Errorf("%d errors were told, want 3", told)
		}
		broken := tcp.RetryAccept(&failing{errs: []error{syscall.EINVAL}}, nil)
		if _, err := broken.Accept(); !errors.Is(err, syscall.EINVAL) {
			t.Errorf("error %v of a broken listener", err)
		}
	})
}

// Guards against a listener that cannot be closed while it waits after an error.
func TestCloseEndsThePauseOfAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errs := make([]error, 1000)
		for i := range errs {
			errs[i] = syscall.EMFILE
		}
		ln := tcp.RetryAccept(&failing{errs: errs}, nil)
		time.AfterFunc(3*time.Second, func() { _ = ln.Close() })
		if _, err := ln.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("error %v", err)
		}
	})
}
