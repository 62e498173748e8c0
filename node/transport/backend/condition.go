package backend

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"pollenhill.example/core/state/event"
)

// condition is what an instance of the back end last said of itself in a response.
type condition struct {
	instance string
	limit    float64 // requests per second from all nodes together, 0 for no limit
	leaving  bool
}

// conditionLog logs changes of the condition of the back end; it is safe for concurrent use.
type conditionLog struct {
	mu       sync.Mutex
	last     condition
	loggedAt time.Time // of the last line about the use of the limit
}

// readCondition logs what the response to a request of the given kind says about the instance that it was sent to.
func (b *Backend) readCondition(h *fasthttp.ResponseHeader, instance string, kind RequestKind) {
	c := condition{
		instance: instance,
		limit:    parseRequestLimit(h.Peek(b.cfg.Headers.RequestLimit)),
		leaving:  len(h.Peek(b.cfg.Headers.Leaving)) > 0,
	}
	now := time.Now()
	b.conditions.mu.Lock()
	last := b.conditions.last
	useDue := c.limit > 0 && now.Sub(b.conditions.loggedAt) >= sentWindow
	if c.limit != last.limit || useDue {
		b.conditions.loggedAt = now
	}
	b.conditions.last = c
	b.conditions.mu.Unlock()
	switch {
	case c.limit != last.limit:
		b.logLimit(now, event.BackendLimitChanged, c, kind)
	case useDue:
		b.logLimit(now, event.BackendLimitUse, c, kind)
	}
	if c.leaving && (!last.leaving || c.instance != last.instance) {
		b.cfg.Events.Emit(event.BackendSaysLeaving, zap.String("backend", instance), zap.Stringer("kind", kind))
	}
}

// logLimit logs the limit of the back end with the requests sent to it within sentWindow.
func (b *Backend) logLimit(now time.Time, kind event.Kind, c condition, answered RequestKind) {
	fields, ok := b.logLimiter.Allow()
	if !ok {
		return
	}
	b.cfg.Events.Emit(kind, append(fields, zap.String("backend", c.instance), zap.Float64("limit", c.limit),
		zap.Stringer("kind", answered), zap.Int("attempts", b.sent.inWindow(now, AttemptRequest)),
		zap.Int("checks", b.sent.inWindow(now, CheckRequest)))...)
}

// RequestLimit returns the requests per second that the back end takes by its newest response, 0 for no limit.
func (b *Backend) RequestLimit() float64 {
	b.conditions.mu.Lock()
	defer b.conditions.mu.Unlock()
	return b.conditions.last.limit
}

// SentRequests returns how many requests of each kind were sent to the back end since the start of the node.
func (b *Backend) SentRequests() (attempts, checks int64) {
	totals := b.sent.totals()
	return totals[AttemptRequest], totals[CheckRequest]
}

// parseRequestLimit returns the limit in requests per second, or 0 for no limit if the value is absent or no number above 0.
func parseRequestLimit(value []byte) float64 {
	limit, err := strconv.ParseFloat(string(value), 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) {
		return 0
	}
	return max(limit, 0)
}
