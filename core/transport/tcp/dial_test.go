package tcp_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/transport/tcp"
)

// Guards against a dial that waits for the kernel's retransmission after a lost SYN packet (a second), or that has backed
// off for as long as the peer was switched off, and against retries after the peer refused the connection.
func TestDialRetries(t *testing.T) {
	peer := netip.MustParseAddrPort("127.9.9.9:99")
	for _, c := range []struct {
		name   string
		silent time.Duration // how long the peer does not respond, from the start of the dial
		err    error
		want   time.Duration
	}{
		{name: "immediate"},
		{name: "lost packet", silent: 10 * time.Millisecond, want: 50 * time.Millisecond},
		{name: "back after several tries", silent: 200 * time.Millisecond, want: 350 * time.Millisecond},
		{name: "never", silent: time.Hour, err: context.DeadlineExceeded, want: time.Second},
		{name: "refused", err: net.ErrClosed},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				d := tcp.Dialer{Timeout: time.Second, FirstTryTimeout: 50 * time.Millisecond, Connect: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
					if time.Since(start) < c.silent {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return nil, c.err
				}}
				_, err := d.Dial(t.Context(), peer)
				if !errors.Is(err, c.err) {
					t.Errorf("error %v, want %v", err, c.err)
				}
				if took := time.Since(start); took != c.want {
					t.Errorf("dial took %v, want %v", took, c.want)
				}
			})
		})
	}
}
