package servicetime_test

import (
	"testing"
	"time"

	"pollenhill.example/core/coordination/servicetime"
)

// Guards against an expected time that lets a request speed up or slow down within its run: on played days 0.1% of the
// requests that surely began fast took over 2.5 times the usual time, and nearly all that surely began slow.
func TestSpan(t *testing.T) {
	for _, c := range []struct {
		work  time.Duration
		speed float64
		want  time.Duration
	}{
		{60 * time.Millisecond, 1, 60 * time.Millisecond},
		{60 * time.Millisecond, 0, 60 * time.Millisecond},
		{20 * time.Millisecond, 5, 100 * time.Millisecond},
		{60 * time.Millisecond, 5, 300 * time.Millisecond},
		{240 * time.Millisecond, 1, 240 * time.Millisecond},
	} {
		if got := servicetime.Expected(c.work, c.speed); got != c.want {
			t.Errorf("%v at %v takes %v, want %v", c.work, c.speed, got, c.want)
		}
	}
}

// Guards against a usual time that one long request replaces.
func TestWorksFollowSlowly(t *testing.T) {
	w := servicetime.ByRoute{}
	w.Observe("look", 100*time.Millisecond)
	w.Observe("look", 300*time.Millisecond)
	if got := w["look"]; got != 110*time.Millisecond {
		t.Fatalf("usual time %v, want 110 ms", got)
	}
}
