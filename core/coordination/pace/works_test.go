package pace_test

import (
	"testing"
	"time"

	"pollenhill.example/core/coordination/pace"
)

// Guards against a slow moment that counts for the whole of a long request, and against one that counts for nothing.
func TestSpan(t *testing.T) {
	for _, c := range []struct {
		work  time.Duration
		speed float64
		want  time.Duration
	}{
		{60 * time.Millisecond, 1, 60 * time.Millisecond},
		{60 * time.Millisecond, 0, 60 * time.Millisecond},
		{20 * time.Millisecond, 5, 100 * time.Millisecond},
		{60 * time.Millisecond, 5, 198 * time.Millisecond},
		{240 * time.Millisecond, 1, 294 * time.Millisecond},
	} {
		if got := pace.Span(c.work, c.speed); got != c.want {
			t.Errorf("%v at %v takes %v, want %v", c.work, c.speed, got, c.want)
		}
	}
}

// Guards against a usual time that one long request replaces.
func TestWorksFollowSlowly(t *testing.T) {
	w := pace.Works{}
	w.Learn("look", 100*time.Millisecond)
	w.Learn("look", 300*time.Millisecond)
	if got := w["look"]; got != 110*time.Millisecond {
		t.Fatalf("usual time %v, want 110 ms", got)
	}
}

// Guards against a choice that takes an old spell for a new one where spells have similar lengths.
func TestSpellsOfEqualLength(t *testing.T) {
	var s pace.Spells
	for range 100 {
		s.Learn(150 * time.Millisecond)
	}
	if p := s.Ends(10*time.Millisecond, 80*time.Millisecond); p > 0.1 {
		t.Errorf("a new spell ends with probability %.2f", p)
	}
	if p := s.Ends(100*time.Millisecond, 80*time.Millisecond); p < 0.9 {
		t.Errorf("an old spell ends with probability %.2f", p)
	}
}

// Guards against a certain end of spells of which nothing is known.
func TestUnknownSpells(t *testing.T) {
	var s pace.Spells
	if p := s.Ends(0, 80*time.Millisecond); p <= 0 || p >= 0.5 {
		t.Errorf("probability %.2f without any spell", p)
	}
}
