package requestlimit_test

import (
	"testing"

	"pgregory.net/rapid"

	"pollenhill.example/core/protocol/requestlimit"
)

// Guards against a limit that changes on its way between nodes.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := []requestlimit.Limit{{}, requestlimit.None(), requestlimit.New(rapid.Float64Range(0, 1e6).Draw(t, "limit"))}
		for _, limit := range limits {
			if got, err := requestlimit.Parse(limit.String()); err != nil || got != limit {
				t.Fatalf("%v became %v, %v", limit, got, err)
			}
		}
	})
}

// Guards against a value that is no number from 0 and is taken for a limit or for the end of one.
func TestParseRejectsOtherValues(t *testing.T) {
	for _, text := range []string{"", "-1", "NaN", "Inf", "12 a second", "1e999"} {
		if got, err := requestlimit.Parse(text); err == nil {
			t.Errorf("%q: %v", text, got)
		}
	}
}
