package event

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// RateLimiter bounds the lines of one kind of event, so that a process under load writes no more than its operators and its
// processor can bear; what is left out is counted and told with the next line. It is safe for concurrent use.
type RateLimiter struct {
	limiter    *rate.Limiter
	suppressed atomic.Uint64
}

// NewRateLimiter allows a number of lines a second, and burst lines at once after a quiet time.
func NewRateLimiter(perSecond float64, burst int) *RateLimiter {
	return &RateLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Allow reports whether a line may be written now; the fields tell what was left out before it.
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
