package servicetime_test

import (
	"testing"
	"time"

	"pollenhill.example/core/coordination/servicetime"
)

// Guards against an expected service time that assumes a change of the slowdown while the request runs. In simulated days
// 0.1% of the requests that certainly started at normal speed took over 2.5 times their normal service time, and nearly all
// that certainly started in a slow period did.
func TestExpected(t *testing.T) {
	for _, c := range []struct {
		serviceTime time.Duration
		slowdown    float64
		want        time.Duration
	}{
		{60 * time.Millisecond, 1, 60 * time.Millisecond},
		{60 * time.Millisecond, 0, 60 * time.Millisecond},
		{20 * time.Millisecond, 5, 100 * time.Millisecond},
		{60 * time.Millisecond, 5, 300 * time.Millisecond},
		{240 * time.Millisecond, 1, 240 * time.Millisecond},
	} {
		if got := servicetime.Expected(c.serviceTime, c.slowdown); got != c.want {
			t.Errorf("%v at slowdown %v takes %v, want %v", c.serviceTime, c.slowdown, got, c.want)
		}
	}
}

// Guards against an average that one long request replaces.
func TestObserveAverages(t *testing.T) {
	s := servicetime.ByRoute{}
	s.Observe("lookup", 100*time.Millisecond)
	s.Observe("lookup", 300*time.Millisecond)
	if got := s["lookup"]; got != 110*time.Millisecond {
		t.Fatalf("average %v, want 110 ms", got)
	}
}
