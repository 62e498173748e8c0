package rule_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/state/rule"
)

// Guards against a rollout that is lost, written twice, read back with other values, or dropped by a change of the routing
// table.
func TestSetRollout(t *testing.T) {
	page := golden(t, "page")
	rapid.Check(t, func(t *rapid.T) {
		text := page
		var last rule.Rollout
		for n := range rapid.IntRange(1, 4).Draw(t, "changes") {
			last = rule.Rollout{
				Service: "s 1", Target: wordGenerator.Draw(t, "target"), Within: drawMillis(t, "within"),
				Share: rule.Ratio(rapid.IntRange(0, 100).Draw(t, "share")) / 100, State: rule.RolloutState(rapid.IntRange(0, 2).Draw(t, "state")),
				Since:    time.UnixMilli(rapid.Int64Range(0, 4e12).Draw(t, "since")).UTC(),
				Replaced: rapid.SliceOfN(wordGenerator, 0, 3).Draw(t, "replaced"),
			}
			if len(last.Replaced) == 0 {
				last.Replaced = nil
			}
			text = rule.SetRollout(text, uint64(8+n), "operator: test", last)
		}
		text = rule.ReplaceTrafficRules(text, 20, "operator: table", rule.TrafficRules{Pools: []rule.Pool{{Name: "s 1"}}})
		set, err := rule.Parse(text)
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
		if got, _ := set.Rollout("s 1"); len(set.Rollouts) != 1 || !reflect.DeepEqual(got, last) {
			t.Fatalf("got %+v, want %+v from\n%s", got, last, text)
		}
	})
}

// Guards against requests for a version that its rollout gives nothing: the target before its first share and after a failure,
// the replaced versions once they may stop, and an instance that could be the target because its version is not known.
func TestRolloutAllows(t *testing.T) {
	advancing := func(share rule.Ratio) rule.Rollout { return rule.Rollout{Target: "v2", Share: share} }
	completed := rule.Rollout{Target: "v2", Share: 1, State: rule.RolloutCompleted, Replaced: []string{"v1"}}
	reverted := rule.Rollout{Target: "v2", State: rule.RolloutReverted}
	tests := []struct {
		name    string
		rollout rule.Rollout
		want    string // versions that may run requests
	}{
		{"ordered", advancing(0), "v1 v3"},
		{"part of the requests", advancing(0.1), "v1 v2 v3"},
		{"all requests", advancing(1), "v2"},
		{"completed", completed, " v2 v3"},
		{"reverted", reverted, "v1 v3"},
	}
	for _, tt := range tests {
		var got []string
		for _, version := range []string{"", "v1", "v2", "v3"} {
			if tt.rollout.Allows(version) {
				got = append(got, version)
			}
		}
		if strings.Join(got, " ") != tt.want {
			t.Errorf("%s: versions %q may run, want %q", tt.name, got, tt.want)
		}
	}
}

// Guards against a rollout rule that is accepted although it cannot be carried out.
func TestRolloutRuleProblems(t *testing.T) {
	for line, reason := range map[string]string{
		"rollout s":                                       "not complete",
		"rollout s within=2s":                             "needs target=",
		"rollout s target=v2 state=halted":                "is not a state",
		"rollout s target=v2 share=200%":                  "out of range",
		"rollout s target=v2 since=yesterday":             "is not a time",
		"rollout s target=v2 within=soon":                 "is not a time",
		"rollout s target=v2 # a: b\nrollout s target=v3": "already set",
	} {
		_, err := rule.Parse("format 1\nchange 1 # a: b\n" + line + " # a: b\n")
		if err == nil || !strings.Contains(err.Error(), reason) {
			t.Errorf("%s: %v, want %q", line, err, reason)
		}
	}
}
