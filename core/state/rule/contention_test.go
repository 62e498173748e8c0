package rule_test

import (
	"testing"

	"pollenhill.example/core/state/rule"
)

// Guards against admission by cost under rules that do not ask for it, and against the earlier order under rules in which
// accounts or uploads compete.
func TestRanksByCost(t *testing.T) {
	const pool = "format 1\nchange 1 # a: b\npool desk # a: b\n"
	route := func(kind string) string {
		return "route r host=a.example path=/x/ kind=" + kind + " within=2s aim=1s rank=1 tries=2 to=desk # a: b\n"
	}
	for name, tt := range map[string]struct {
		text string
		want bool
	}{
		"routes of other kinds": {pool + route("unsafe"), false},
		"upload":                {pool + route("upload"), true},
		"account":               {pool + route("idempotent") + "account kari keys=k1 # a: b\n", true},
	} {
		set, err := rule.Parse(tt.text)
		if err != nil {
			t.Fatal(err)
		}
		if got := set.RanksByCost(); got != tt.want {
			t.Errorf("%s: %v, want %v", name, got, tt.want)
		}
	}
}
