package engine_test

import (
	"fmt"
	"testing"
	"time"

	"pollenhill.example/core/coordination/engine"
	"pollenhill.example/core/state/replica"
)

// propose commits one command through the leader and returns its result.
func (s *sim) propose(t testing.TB, cmd replica.Command) replica.Result {
	t.Helper()
	var out *engine.Outcome
	cmd.Time = s.now
	for try := 0; try < 50 && s.problem == ""; try++ {
		s.run(5*time.Second, func() bool { return s.leader() != nil })
		l := s.leader()
		if l == nil {
			continue
		}
		s.call(l, func(token uint64) engine.Input { return engine.Propose{Token: token, Command: cmd} },
			func(o engine.Outcome) { out = &o })
		s.run(2*time.Second, func() bool { return out != nil })
		if out != nil && out.Err == nil {
			return out.Result
		}
		out = nil
	}
	t.Fatalf("no outcome: %s %s", s.problem, s.describe())
	return replica.Result{}
}

func change(n uint64, text string) replica.Command {
	return replica.Command{Kind: replica.Change, Number: n, Text: text, Origin: "c1"}
}

// Guards against a group that cannot elect, commit and bring everyone to the same state.
func TestGroupCommits(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newSim(1, n)
			for i := uint64(1); i <= 40; i++ {
				if res := s.propose(t, change(i, fmt.Sprint("text ", i))); res.Verdict != replica.Accepted {
					t.Fatalf("change %d: %v", i, res.Verdict)
				}
			}
			s.settle()
			s.equal()
			s.report(t, 1)
		})
	}
}
