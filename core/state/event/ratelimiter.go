package event

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// RateLimiter bounds the rate of one kind of event, so that logging under load neither takes too much CPU time nor floods the
// operators. Suppressed events are counted, and the next one allowed reports the count. It is safe for concurrent use.
type RateLimiter struct {
	limiter    *rate.Limiter
	suppressed atomic.Uint64
}

// NewRateLimiter returns a token bucket that allows perSecond events a second on average and burst events at once.
func NewRateLimiter(perSecond float64, burst int) *RateLimiter {
	return &RateLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Allow reports whether an event may be written now, and returns the field to add to it if events were suppressed before.
func (l *RateLimiter) Allow() ([]zap.Field, bool) {
	if !l.limiter.AllowN(time.Now(), 1) {
		l.suppressed.Add(1)
		return nil, false
	}
	if n := l.suppressed.Swap(0); n > 0 {
		return []zap.Field{zap.Uint64("suppressed", n)}, true
	}
	return nil, true
}
