package outcomes

import (
	"fmt"
	"sync"

	"pollenhill.example/core/protocol/attempt"
)

// Log records the outcomes that callers received, by reservation; it is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	outcomes map[string][]attempt.Outcome
}

// New returns an empty Log.
func New() *Log {
	return &Log{outcomes: map[string][]attempt.Outcome{}}
}

// Record adds the outcome of one request for a reservation; requests with the same Idempotency-Key are one reservation.
func (l *Log) Record(reservation string, outcome attempt.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[reservation] = append(l.outcomes[reservation], outcome)
}

// Report counts reservations by outcome and lists those that break an invariant.
type Report struct {
	Answered   int
	NotRun     int
	Unknown    int
	Violations []string // reservations that ran more than once, or not as often as the reported outcome says
}

// Check compares the outcomes with runs, the number of times that all back ends together ran each reservation.
func (l *Log) Check(runs map[string]int) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r Report
	for id, outcomes := range l.outcomes {
		outcome, n := r.add(outcomes), runs[id]
		violated := n > 1 || outcome == attempt.Answered && n != 1 || outcome == attempt.NotRun && n != 0
		if violated {
			r.Violations = append(r.Violations, fmt.Sprintf("reservation %s: reported %s, ran %d times", id, outcome, n))
		}
	}
	return r
}

// add counts one reservation and returns its outcome: answered if any of its requests was, not-run only if all were.
func (r *Report) add(outcomes []attempt.Outcome) attempt.Outcome {
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
