package replica_test

import (
	"strings"
	"testing"
	"time"

	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/rule"
)

// Guards against an order for a rollout that is refused when it is sent again, that starts again after it has ended, or that is
// carried out after a newer one; and against progress that is recorded for another order, or reverts one that has ended.
func TestRolloutVerdicts(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	order := func(target string, known uint64, at time.Duration) replica.Command {
		return replica.Command{
			Kind: replica.CommandOrderRollout, Service: "s", Target: target, Within: 12 * time.Second,
			Conditional: true, KnownOrder: known, ProposedAt: start.Add(at),
		}
	}
	advance := func(order uint64, share rule.Ratio, state rule.RolloutState) replica.Command {
		return replica.Command{
			Kind: replica.CommandAdvanceRollout, Service: "s", KnownOrder: order, Share: share, State: state, Replaced: []string{"v1"},
		}
	}
	steps := []struct {
		name string
		cmd  replica.Command
		want replica.Verdict
	}{
		{"progress without a rollout", advance(0, 0.1, rule.RolloutAdvancing), replica.VerdictStale},
		{"order", order("v2", 0, 0), replica.VerdictAccepted},
		{"the same order again", order("v2", 0, time.Second), replica.VerdictStored},
		{"first share", advance(2, 0.07, rule.RolloutAdvancing), replica.VerdictAccepted},
		{"first share again", advance(2, 0.07, rule.RolloutAdvancing), replica.VerdictStored},
		{"the same order again, while it advances", order("v2", 2, 2*time.Second), replica.VerdictStored},
		{"reverted", advance(2, 0, rule.RolloutReverted), replica.VerdictAccepted},
		{"progress of a rollout that was reverted", advance(2, 1, rule.RolloutCompleted), replica.VerdictStale},
		{"the same order again, after it was reverted", order("v2", 0, 4*time.Second), replica.VerdictStored},
		{"new order", order("v3", 2, 5*time.Second), replica.VerdictAccepted},
		{"progress of the order before", advance(2, 1, rule.RolloutAdvancing), replica.VerdictStale},
		{"order that was held up", order("v4", 2, 6*time.Second), replica.VerdictStale},
		{"table", tableCommand(0, 2, 10), replica.VerdictAccepted},
		{"completed", advance(10, 1, rule.RolloutCompleted), replica.VerdictAccepted},
		{"the same order again, after its completion", order("v3", 0, time.Hour), replica.VerdictStored},
		{"version that was reverted, once more", order("v2", 10, time.Hour), replica.VerdictAccepted},
		{"no target", order("", 16, time.Hour), replica.VerdictInvalid},
		{"rollout in the rule file", changeCommand(8, "format 1\nchange 8 # t: t\nrollout s target=v5 within=9s # t: t\n"), replica.VerdictAccepted},
		{"progress of the order that it replaced", advance(16, 1, rule.RolloutAdvancing), replica.VerdictStale},
		{"its progress", advance(18, 0.1, rule.RolloutAdvancing), replica.VerdictAccepted},
	}
	r := replica.New(replica.Config{})
	for i, s := range steps {
		cmd, err := replica.DecodeCommand(s.cmd.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if got := r.Apply(uint64(i+1), cmd); got.Verdict != s.want {
			t.Errorf("%s: verdict %s with problem %q, want %s", s.name, got.Verdict, got.Problem, s.want)
		}
		if r, err = replica.Restore(replica.Config{}, r.Snapshot()); err != nil {
			t.Fatal(err)
		}
	}
	if text := r.Rules().Text; strings.Count(text, "rollout s ") != 1 || !strings.Contains(text, "target=v5 within=9s share=10%") {
		t.Errorf("rules hold another rollout than the newest:\n%s", text)
	}
}
