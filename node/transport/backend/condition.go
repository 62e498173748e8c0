package backend

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"pollenhill.example/core/protocol/requestlimit"
	"pollenhill.example/core/state/event"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/instance"
	"pollenhill.example/node/protocol/message"
)

// condition is what an instance of the back end last said of itself in a response.
type condition struct {
	instance string
	limit    requestlimit.Limit
	leaving  bool
}

// conditionTracker keeps the newest condition of the back end; it is safe for concurrent use.
type conditionTracker struct {
	mu       sync.Mutex
	last     condition
	heardAt  time.Time // of the newest response
	loggedAt time.Time // of the last line about the limit
}

// update stores the condition that a response stated and returns the one before it. logDue says that the limit changed or
// its use was last logged sentWindow ago.
func (t *conditionTracker) update(now time.Time, c condition) (last condition, logDue bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last = t.last
	t.last = c
	t.heardAt = now
	_, limited := c.limit.PerSecond()
	if perSecond(c.limit) != perSecond(last.limit) || limited && now.Sub(t.loggedAt) >= sentWindow {
		t.loggedAt = now
		logDue = true
	}
	return last, logDue
}

// newest returns the newest condition and the time of its response.
func (t *conditionTracker) newest() (condition, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last, t.heardAt
}

// readCondition applies what the response to a request of the given kind says about the instance id, which it was sent to.
func (b *Backend) readCondition(h *fasthttp.ResponseHeader, id string, kind RequestKind) {
	now := time.Now()
	last, _ := b.conditions.newest()
	c := condition{
		instance: id,
		limit:    message.ReadRequestLimit(h, b.cfg.Headers.RequestLimit),
		leaving:  len(h.Peek(b.cfg.Headers.Leaving)) > 0,
	}
	if !c.limit.Known() {
		c.limit = last.limit
	}
	last, logDue := b.conditions.update(now, c)
	if c.limit != last.limit || c.instance != last.instance {
		b.cfg.Engine.UpdateDestination(destination.RequestLimit{Backend: id, Limit: c.limit})
	}
	if logDue {
		b.logLimit(now, c, perSecond(c.limit) != perSecond(last.limit), kind)
	}
	if c.leaving && (!last.leaving || c.instance != last.instance) {
		b.cfg.Events.Emit(event.BackendSaysLeaving, zap.String("backend", id), zap.Stringer("kind", kind))
		b.updateInstance(instance.SaysLeaving{ID: id})
	}
}

// logLimit logs the limit of the back end with the requests sent to it within sentWindow.
func (b *Backend) logLimit(now time.Time, c condition, changed bool, answered RequestKind) {
	fields, ok := b.limitLog.Allow()
	if !ok {
		return
	}
	kind := event.BackendLimitUse
	if changed {
		kind = event.BackendLimitChanged
	}
	b.cfg.Events.Emit(kind, append(fields, zap.String("backend", c.instance), zap.Float64("limit", perSecond(c.limit)),
		zap.Stringer("kind", answered), zap.Int("attempts", b.sent.inWindow(now, AttemptRequest)),
		zap.Int("checks", b.sent.inWindow(now, CheckRequest)))...)
}

// RequestLimit returns the requests per second that the back end takes by its newest response, 0 for no limit.
func (b *Backend) RequestLimit() float64 {
	c, _ := b.conditions.newest()
	return perSecond(c.limit)
}

// SentRequests returns how many requests of each kind were sent to the back end since the start of the node.
func (b *Backend) SentRequests() (attempts, checks int64) {
	totals := b.sent.totals()
	return totals[AttemptRequest], totals[CheckRequest]
}

// recordCheck counts a check that is sent now, also against a request limit.
func (b *Backend) recordCheck() {
	b.sent.record(time.Now(), CheckRequest)
	b.cfg.Engine.UpdateDestination(destination.CheckSent{})
}

// perSecond returns a limit in requests per second, 0 for none.
func perSecond(limit requestlimit.Limit) float64 {
	n, _ := limit.PerSecond()
	return n
}
