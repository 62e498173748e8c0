package event_test

import (
	"testing"

	"pollenhill.example/core/state/event"
)

// Guards against a limiter that lets more than its burst through. The second loop runs a limiter that hardly suppresses and
// stops at the first report of a suppressed event.
func TestRateLimiterBoundsLines(t *testing.T) {
	l := event.NewRateLimiter(0.001, 2)
	allowed := 0
	for range 10 {
		if _, ok := l.Allow(); ok {
			allowed++
		}
	}
	if allowed != 2 {
		t.Errorf("%d events allowed, want 2", allowed)
	}
	l = event.NewRateLimiter(1e9, 1)
	for range 100 {
		if fields, ok := l.Allow(); ok && len(fields) > 0 {
			return
		}
	}
}
