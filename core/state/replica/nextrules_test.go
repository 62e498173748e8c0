package replica_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/rule"
)

// drawRuleCommand draws a command from few numbers, names and values, so that commands repeat and overtake each other.
func drawRuleCommand(t *rapid.T) replica.Command {
	draw := func(most int, label string) uint64 { return uint64(rapid.IntRange(0, most).Draw(t, label)) }
	c := replica.Command{ProposedAt: baseTime.Add(time.Duration(draw(60, "second")) * time.Second)}
	switch c.Kind = replica.CommandKind(draw(int(replica.CommandAdvanceRollout), "kind")); c.Kind {
	case replica.CommandChangeRules:
		c.ChangeNumber = draw(8, "number")
		evacuated := []string{"", "evacuate z1 # t: t\n"}[draw(1, "evacuated")]
		c.Text = fmt.Sprintf("format 1\nchange %d # t: t\n%s", c.ChangeNumber, evacuated)
	case replica.CommandClaim:
		c.Service, c.IdempotencyKey, c.AttemptID = "s", "k", "a"
	case replica.CommandChangeTable:
		c.BaseVersion = draw(4, "base")
		c.Text = tableJSON(c.BaseVersion+draw(2, "step"), 1)
	case replica.CommandSetZoneEvacuated:
		c.Zone, c.Evacuated = fmt.Sprint("z", draw(1, "zone")), draw(1, "out") == 1
		c.Conditional, c.KnownOrder = draw(1, "conditional") == 1, draw(20, "order")
	case replica.CommandOrderRollout:
		c.Service, c.Target, c.Within = "s", fmt.Sprint("v", draw(2, "target")), time.Duration(1+draw(1, "within"))*time.Second
		c.Conditional, c.KnownOrder = draw(1, "conditional") == 1, draw(20, "order")
	case replica.CommandAdvanceRollout:
		c.Service, c.KnownOrder, c.Share = "s", draw(20, "order"), rule.Ratio(draw(2, "share"))/2
		c.State = rule.RolloutState(draw(2, "state"))
	}
	return c
}

// Guards against a starting process that gives out rules although an entry of its log replaces them: whatever commands were applied,
// the rules stay the same through the commands that come before the first one that may change them.
func TestRulesStayUntilCommandThatMayChangeThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := replica.New(replica.Config{})
		applied := rapid.IntRange(0, 20).Draw(t, "applied")
		for i := range applied {
			r.Apply(uint64(i+1), drawRuleCommand(t))
		}
		r, err := replica.Restore(replica.Config{}, r.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		var unchanging []replica.Command
		for range 20 {
			if c := drawRuleCommand(t); !r.MayChangeRules(c.Encode()) {
				unchanging = append(unchanging, c)
			}
		}
		before := r.Rules()
		for i, c := range unchanging {
			if res := r.Apply(uint64(applied+i+1), c); r.Rules() != before {
				t.Fatalf("%s %+v: verdict %s and rules %+v, want unchanged rules %+v", c.Kind, c, res.Verdict, r.Rules(), before)
			}
		}
	})
}

// Guards against nodes that wait for rules although nothing is newer: a command that a group sent again while its commit was slow
// counts as a change of the rules.
func TestRepeatedCommandDoesNotChangeRules(t *testing.T) {
	rollout := replica.Command{Kind: replica.CommandOrderRollout, Service: "s", Target: "v2", Within: time.Second, ProposedAt: baseTime}
	zone := replica.Command{Kind: replica.CommandSetZoneEvacuated, Zone: "z1", Evacuated: true}
	cmds := []replica.Command{
		changeCommand(1, "format 1\nchange 1 # t: t\n"),
		tableCommand(0, 1, 10),
		zone,
		rollout,
		{Kind: replica.CommandAdvanceRollout, Service: "s", KnownOrder: 4, Share: 0.07, State: rule.RolloutAdvancing, Replaced: []string{"v1"}},
		{Kind: replica.CommandAdvanceRollout, Service: "s", KnownOrder: 4, Share: 1, State: rule.RolloutCompleted, Replaced: []string{"v1"}},
		tableCommand(1, 2, 20),
		changeCommand(8, "format 1\nchange 8 # t: t\n"),
	}
	r := replica.New(replica.Config{})
	for i, c := range cmds {
		if !r.MayChangeRules(c.Encode()) {
			t.Errorf("%s, command %d: counts as one that can't change the rules before it is applied", c.Kind, i)
		}
		if res := r.Apply(uint64(i+1), c); res.Verdict != replica.VerdictAccepted {
			t.Fatalf("%s, command %d: verdict %s with problem %q", c.Kind, i, res.Verdict, res.Problem)
		}
		if r.MayChangeRules(c.Encode()) {
			t.Errorf("%s, command %d: counts as one that may change the rules when it comes again", c.Kind, i)
		}
	}
	for i, c := range cmds[:2] {
		if r.MayChangeRules(c.Encode()) {
			t.Errorf("%s, command %d: counts as one that may change the rules after newer changes", c.Kind, i)
		}
	}
}
