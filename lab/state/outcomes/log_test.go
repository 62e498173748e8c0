package outcomes_test

import (
	"testing"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/lab/state/outcomes"
)

// Guards against a check of the demonstration that misses a reservation which ran twice or contrary to its reported
// outcome, or reports one that did neither.
func TestCheck(t *testing.T) {
	const answered, notRun, unknown = attempt.Answered, attempt.NotRun, attempt.Unknown
	cases := []struct {
		name     string
		outcomes []attempt.Outcome
		runs     int
		broken   bool
	}{
		{"answered once", []attempt.Outcome{answered}, 1, false},
		{"answered and never run", []attempt.Outcome{answered}, 0, true},
		{"answered and run twice", []attempt.Outcome{answered}, 2, true},
		{"not run", []attempt.Outcome{notRun}, 0, false},
		{"reported as not run and run", []attempt.Outcome{notRun}, 1, true},
		{"unknown and not run", []attempt.Outcome{unknown}, 0, false},
		{"unknown and run", []attempt.Outcome{unknown}, 1, false},
		{"unknown and run twice", []attempt.Outcome{unknown}, 2, true},
		{"two requests, one answer", []attempt.Outcome{unknown, answered}, 1, false},
		{"two requests, one answer, two runs", []attempt.Outcome{answered, answered}, 2, true},
		{"two requests, none ran", []attempt.Outcome{notRun, notRun}, 0, false},
		{"two requests, one unknown", []attempt.Outcome{notRun, unknown}, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := outcomes.New()
			for _, o := range c.outcomes {
				l.Record("r", o)
			}
			if got := l.Check(map[string]int{"r": c.runs}).Violations; (len(got) > 0) != c.broken {
				t.Fatalf("broken %q", got)
			}
		})
	}
}
