package callerretry_test

import (
	"testing"
	"time"

	"pollenhill.example/node/coordination/callerretry"
)

// Guards against refused callers that all come back at the same moment, before there is room, or after their deadline. The
// load: an overload that refuses a thousand requests at once.
func TestSpreadRetries(t *testing.T) {
	const jitter = 120 * time.Millisecond
	for _, tt := range []struct {
		name                  string
		wait, deadline, spans time.Duration // the result lies within spans after wait
	}{
		{"short wait", 60 * time.Millisecond, time.Minute, jitter},
		{"long wait", 2 * time.Second, time.Minute, time.Second},
		{"near the deadline", 2 * time.Second, 2200 * time.Millisecond, 200 * time.Millisecond},
	} {
		var tenths [10]int
		for range 1000 {
			got := callerretry.Spread(tt.wait, jitter, tt.deadline)
			if got < tt.wait || got >= tt.wait+tt.spans {
				t.Fatalf("%s: comes back after %v", tt.name, got)
			}
			tenths[10*(got-tt.wait)/tt.spans]++
		}
		for i, n := range tenths {
			if n > 200 {
				t.Errorf("%s: %d of 1000 callers come back in tenth %d of the span", tt.name, n, i)
			}
		}
	}
}
