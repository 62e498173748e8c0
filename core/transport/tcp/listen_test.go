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
				d := tcp.Dialer{Timeout: time.Second, First: 50 * time.Millisecond, Connect: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
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
