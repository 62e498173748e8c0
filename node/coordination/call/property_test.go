package call_test

import (
	"flag"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/node/coordination/call"
)

// scheduleCount is the number of schedules that the design document requires.
const scheduleCount = 10_000

// setRapidChecks makes rapid.Check run scheduleCount checks during the test.
func setRapidChecks(t *testing.T) {
	t.Helper()
	checks := flag.Lookup("rapid.checks")
	old := checks.Value.String()
	if err := checks.Value.Set(strconv.Itoa(scheduleCount)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = checks.Value.Set(old) })
}

// Guards against a reservation that runs twice, a refusal that reports "not run" for one that ran, a call without exactly
// one answer, and a call whose state is never dropped. The faults come from 10,000 random schedules with delayed, lost,
// duplicated and reordered messages, restarts between send and answer, and races with cancels.
func TestAtMostOnceAndTrueOutcomes(t *testing.T) {
	setRapidChecks(t)
	seen := map[attempt.Outcome]int{}
	count := 0
	rapid.Check(t, func(t *rapid.T) {
		count++
		s := newSim(t)
		s.schedule()
		s.run(5000)
		s.verify(seen)
	})
	t.Logf("%d schedules, outcomes: answered %d, not-run %d, unknown %d",
		count, seen[attempt.Answered], seen[attempt.NotRun], seen[attempt.Unknown])
	if count < scheduleCount {
		t.Errorf("%d schedules, want %d", count, scheduleCount)
	}
	for _, o := range []attempt.Outcome{attempt.Answered, attempt.NotRun, attempt.Unknown} {
		if seen[o] == 0 {
			t.Errorf("no schedule ends as %s", o)
		}
	}
}

// schedule draws calls, disconnects of callers, shutdowns of entry nodes and restarts of destination nodes.
func (s *sim) schedule() {
	for i := range rapid.IntRange(1, 4).Draw(s.t, "calls") {
		r := &request{name: "r" + strconv.Itoa(i)}
		switch rapid.IntRange(0, 2).Draw(s.t, "kind") {
		case 0:
			r.idempotent = true
		case 1:
			r.key = "k"
			r.name = "keyed"
		}
		e := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "entry")]
		s.later(func() {
			r.deadline = s.now.Add(time.Duration(rapid.SampledFrom([]int{0, 20, 100, 1000}).Draw(s.t, "deadline")) * time.Millisecond)
			id := e.start(r)
			if s.chance(5, "caller disconnects") {
				s.later(func() {
					r.callerGone = true
					e.update(call.CallerGone{Call: id})
				})
			}
		})
	}
	for range rapid.IntRange(0, 1).Draw(s.t, "shutdowns") {
		e := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "stopped")]
		s.later(func() {
			left := time.Duration(rapid.SampledFrom([]int{0, 10, 100}).Draw(s.t, "grace")) * time.Millisecond
			e.update(call.EndBy{At: s.now.Add(left)})
		})
	}
	for range rapid.IntRange(0, 2).Draw(s.t, "restarts") {
		d := s.dests[rapid.IntRange(0, len(s.dests)-1).Draw(s.t, "restarted")]
		s.later(d.restart)
	}
}

func (s *sim) verify(seen map[attempt.Outcome]int) {
	for key, r := range s.requests {
		if r.answers > 1 || r.answers == 0 && !r.callerGone {
			s.t.Fatalf("%s of %s got %d answers", r.name, key.entry, r.answers)
		}
		if !r.forgotten {
			s.t.Fatalf("%s of %s is never forgotten", r.name, key.entry)
		}
		if r.answers > 0 {
			seen[r.outcome]++
		}
		if !r.idempotent && s.runs[r.name] > 1 {
			s.t.Fatalf("%s ran %d times", r.name, s.runs[r.name])
		}
		if r.key == "" && r.answers > 0 && r.outcome == attempt.NotRun && s.runs[r.name] > 0 {
			s.t.Fatalf("%s of %s was reported as not run but ran", r.name, key.entry)
		}
		// A later request with the same key may run, but no earlier one may have run when "not run" is reported.
		if r.answers > 0 && r.outcome == attempt.NotRun && r.runsBefore > 0 {
			s.t.Fatalf("%s of %s was reported as not run after an earlier request had run", r.name, key.entry)
		}
	}
	for _, e := range s.entries {
		if n := e.model.Outstanding(); n != 0 {
			s.t.Fatalf("%s still holds %d calls", e.name, n)
		}
	}
}
