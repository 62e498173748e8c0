package backend

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/instance"
)

// Times of the requests for load reports.
const (
	pollInterval = 40 * time.Millisecond  // age of the newest load report at which another one is requested
	pollTimeout  = 300 * time.Millisecond // of one request

	minLimitedPollInterval = time.Second     // least silence of a back end with a request limit before it is asked again
	maxLimitedPollInterval = 2 * time.Second // most of it
)

// maxServiceTimePercent bounds the service time that a back end reports, in percent of the usual one.
const maxServiceTimePercent = 100_000

// normalServiceTimePercent is the service time, in percent of the usual one, that a back end reports when it is not
// slowed down.
const normalServiceTimePercent = 100

// LoadReport is a load report of the back end.
type LoadReport struct {
	Text       string // as the back end wrote it
	ReceivedAt time.Time
}

// LoadReport returns the newest load report, the zero LoadReport before the first one. Admission does not use it, since
// such reports are stale or wrong.
func (b *Backend) LoadReport() LoadReport {
	if l := b.loadReport.Load(); l != nil {
		return *l
	}
	return LoadReport{}
}

func (b *Backend) storeLoadReport(text string) {
	b.loadReport.Store(&LoadReport{Text: text, ReceivedAt: time.Now()})
}

// readLoadHeader stores the load report of a response and passes its slowdown to the engine.
func (b *Backend) readLoadHeader(h *fasthttp.ResponseHeader) {
	value := h.Peek(b.cfg.Headers.LoadReport)
	if b.cfg.Headers.LoadReport == "" || len(value) == 0 {
		return
	}
	b.storeLoadReport(string(value))
	parts := strings.Split(string(value), ",")
	if len(parts) < 4 {
		return
	}
	percent, err := strconv.Atoi(strings.TrimSpace(parts[3]))
	if err != nil || percent <= 0 {
		return
	}
	b.cfg.Engine.UpdateDestination(destination.Slowdown{Factor: float64(min(percent, maxServiceTimePercent)) / normalServiceTimePercent})
}

// parseSlots returns the slots from a load report, the third of its numbers, or 0 if it has no such number.
func parseSlots(load []byte) int {
	parts := strings.Split(string(load), ",")
	if len(parts) < 3 {
		return 0
	}
	n, err := strconv.Atoi(strings.TrimSpace(parts[2]))
	if err != nil {
		return 0
	}
	return min(max(n, 0), instance.MaxSlots)
}

// PollLoad requests a load report when the newest one is older than pollInterval or CheckSpeed is called, until ctx
// ends. It uses a connection of its own. If no header for load reports is configured, it returns at once.
func (b *Backend) PollLoad(ctx context.Context) {
	if b.cfg.Headers.LoadReport == "" {
		return
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	p := &loadPoller{backend: b}
	defer p.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.pollNow:
			p.poll(ctx)
		case now := <-ticker.C:
			if b.loadReportDue(now) {
				p.poll(ctx)
			}
		}
	}
}

// loadReportDue reports whether the newest load report is old enough for another request. A back end that names a request
// limit counts such requests, so that it gets them only while its responses do not show whether the limit still holds.
func (b *Backend) loadReportDue(now time.Time) bool {
	c, heardAt := b.conditions.newest()
	if limit, limited := c.limit.PerSecond(); limited {
		return now.Sub(heardAt) >= limitedPollInterval(limit)
	}
	return now.Sub(b.LoadReport().ReceivedAt) >= pollInterval
}

// limitedPollInterval returns the silence of a back end after which it is asked whether its request limit still holds. Such
// requests take a quarter of the limit at most, unless that is below half a request per second.
func limitedPollInterval(perSecond float64) time.Duration {
	const share = 0.25
	if perSecond*share*maxLimitedPollInterval.Seconds() <= 1 {
		return maxLimitedPollInterval
	}
	return max(minLimitedPollInterval, time.Duration(float64(time.Second)/(perSecond*share)))
}

// CheckSpeed makes PollLoad request a load report at once; it does not wait for the report.
func (b *Backend) CheckSpeed() {
	select {
	case b.pollNow <- struct{}{}:
	default: // a request is pending already
	}
}

// loadPoller requests load reports over one connection.
type loadPoller struct {
	backend *Backend
	pool    *tcp.Pool
	address netip.AddrPort // of pool
}

func (p *loadPoller) close() {
	if p.pool != nil {
		p.pool.Close()
	}
}

// poll sends one health check and reads the load report of its response, if the back end is ready and has reported its
// load before. Errors are ignored, since traffic shows failures soon enough.
func (p *loadPoller) poll(ctx context.Context) {
	a, state := p.backend.CurrentAnnouncement()
	path, _ := p.backend.cfg.PoolSettings(a.Service)
	if state != admission.Ready || path == "" || p.backend.LoadReport().Text == "" {
		return
	}
	if p.address != a.Address || p.pool == nil {
		p.close()
		p.pool, p.address = p.backend.newPool(Announcement{Address: a.Address, Connections: 1}), a.Address
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	p.backend.recordCheck()
	resp, err := p.pool.Exchange(ctx, getRequestHeader(path, a.Address), nil)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if tcp.Discard(resp.Body, maxCheckBodyBytes) == nil {
		p.backend.readLoadHeader(&resp.Header)
		p.backend.readCondition(&resp.Header, a.Name, CheckRequest)
	}
}

// getRequestHeader returns the header of the GET requests that this node makes itself: health checks, probes and load polls.
func getRequestHeader(path string, address netip.AddrPort) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	h.SetMethod(fasthttp.MethodGet)
	h.SetRequestURI(path)
	h.SetHost(address.String())
	return h
}
