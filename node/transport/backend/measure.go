package backend

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/transport/tcp"
)

// Measuring of the speed between responses.
const (
	measureEvery = 40 * time.Millisecond  // age of the last report at which the back end is asked
	measureLimit = 300 * time.Millisecond // of one question
)

// PollLoad asks the back end for its load while no response has told it, on one connection of its own; it ends with
// ctx. Back ends without a load header are not asked.
func (b *Backend) PollLoad(ctx context.Context) {
	if b.cfg.Headers.LoadReport == "" {
		return
	}
	ticker := time.NewTicker(measureEvery)
	defer ticker.Stop()
	m := &meter{b: b}
	defer m.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.hurry:
			m.ask(ctx)
		case now := <-ticker.C:
			if now.Sub(b.LoadReport().ReceivedAt) >= measureEvery {
				m.ask(ctx)
			}
		}
	}
}

// CheckSpeed asks the back end for its load without waiting for the answer.
func (b *Backend) CheckSpeed() {
	select {
	case b.hurry <- struct{}{}:
	default: // a question is on its way already
	}
}

// meter holds the connection on which the load is asked for.
type meter struct {
	b       *Backend
	pool    *tcp.Pool
	address netip.AddrPort
}

func (m *meter) close() {
	if m.pool != nil {
		m.pool.Close()
	}
}

// ask carries out one question; a failed one tells nothing, since traffic shows failures soon enough.
func (m *meter) ask(ctx context.Context) {
	a, state := m.b.CurrentAnnouncement()
	path, _ := m.b.cfg.PoolSettings(a.Service)
	if state != admission.Ready || path == "" || m.b.LoadReport().Text == "" {
		return
	}
	if m.address != a.Address || m.pool == nil {
		m.close()
		m.pool, m.address = m.b.newPool(Announcement{Address: a.Address, Connections: 1}), a.Address
	}
	ctx, cancel := context.WithTimeout(ctx, measureLimit)
	defer cancel()
	resp, err := m.pool.Exchange(ctx, check(path, a.Address), nil)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		m.b.measure(&resp.Header)
	}
}

// check returns the header of a health check.
func check(path string, address netip.AddrPort) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	h.SetMethod(fasthttp.MethodGet)
	h.SetRequestURI(path)
	h.SetHost(address.String())
	return h
}
