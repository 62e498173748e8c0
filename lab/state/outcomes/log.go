package outcomes

import (
	"fmt"
	"sync"

	"pollenhill.example/core/protocol/attempt"
)

// Log keeps the outcomes that callers received, by reservation; it is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	outcomes map[string][]attempt.Outcome
}

// New returns an empty Ledger.
func New() *Log {
	return &Log{outcomes: map[string][]attempt.Outcome{}}
}

// Record keeps the outcome of one request for a reservation; requests with the same key are one reservation.
func (l *Log) Record(reservation string, outcome attempt.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[reservation] = append(l.outcomes[reservation], outcome)
}

// Report is the result of a comparison.
type Report struct {
	Answered   int
	NotRun     int
	Unknown    int
	Violations []string // reservations that ran twice or whose callers received an outcome that is not true
}

// Check compares the outcomes with the number of runs of each reservation at all back ends.
func (l *Log) Check(runs map[string]int) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r Report
	for id, outcomes := range l.outcomes {
		outcome, n := r.count(outcomes), runs[id]
		wrong := n > 1 || outcome == attempt.Answered && n != 1 || outcome == attempt.NotRun && n != 0
		if wrong {
			r.Violations = append(r.Violations, fmt.Sprintf("reservation %s: reported %s, ran %d times", id, outcome, n))
		}
	}
	return r
}

// count adds one reservation: answered if any request was, not-run only if all were.
func (r *Report) count(outcomes []attempt.Outcome) attempt.Outcome {
	outcome := attempt.NotRun
	for _, o := range outcomes {
		if o == attempt.Answered || outcome == attempt.NotRun {
			outcome = o
		}
	}
	switch outcome {
	case attempt.Answered:
		r.Answered++
	case attempt.NotRun:
		r.NotRun++
	case attempt.Unknown:
		r.Unknown++
	}
	return outcome
}
