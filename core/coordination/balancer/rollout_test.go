package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/state/rule"
)

// newRolloutModel returns a model of a pool with a rollout to v2 and equally loaded back ends of v1 and v2, and one of unknown
// version.
func newRolloutModel(r rule.Rollout, oldCount, newCount int, edit func(*balancer.Target)) *balancer.Model {
	r.Service, r.Target = "s", "v2"
	var ts []balancer.Target
	add := func(version string, n int) {
		for i := range n {
			t := balancer.Target{
				Backend: fmt.Sprintf("%s-%d", version, i), Service: "s", Version: version, Zone: "a", Region: "r", Slots: 12, State: admission.Ready,
			}
			if edit != nil {
				edit(&t)
			}
			ts = append(ts, t)
		}
	}
	add("v1", oldCount)
	add("v2", newCount)
	add("", 1)
	m := newModel(ts)
	m.Update(epoch, balancer.Rules{Set: &rule.Set{Rollouts: []rule.Rollout{r}, Pools: []rule.Pool{{Name: "s"}}}})
	for _, t := range ts {
		m.Update(epoch, balancer.LoadReport{Backend: t.Backend, Hint: hint.Hint{Inflight: 3, Limit: 12, Slowdown: 1}})
	}
	return m
}

// versionCounts returns how many of 10,000 picks each version got, and counts retries and hedges too.
func versionCounts(m *balancer.Model) map[string]int {
	counts := map[string]int{}
	for i := range 10_000 {
		q := balancer.Query{Service: "s", SpareCapacityOnly: i%10 == 0}
		if i%5 == 0 {
			q.Exclude = []string{"v1-0", "v1-1"}
		}
		if t, ok := m.Pick(epoch.Add(10*time.Millisecond), q); ok {
			counts[t.Version]++
		} else {
			counts["none"]++
		}
	}
	return counts
}

// Guards against a version that gets more than the share in force, which bounds what callers see of a bad one (EXPOSURE), and
// against requests that are refused although a version that may run them has room.
func TestRolloutShare(t *testing.T) {
	const all = 10_000
	target := func(state admission.State) func(*balancer.Target) {
		return func(t *balancer.Target) {
			if t.Version == "v2" {
				t.State = state
			}
		}
	}
	share := func(s rule.Ratio) rule.Rollout { return rule.Rollout{Share: s} }
	tests := []struct {
		name               string
		rollout            rule.Rollout
		oldCount, newCount int
		edit               func(*balancer.Target)
		least, most        int // picks of v2
		refused            bool
	}{
		{"ordered", share(0), 30, 30, nil, 0, 0, false},
		{"canaries", share(0.07), 30, 30, nil, 600, 800, false},
		{"half", share(0.5), 30, 30, nil, 4700, 5300, false},
		{"all", share(1), 30, 30, nil, all, all, false},
		{"target not started", share(0.5), 30, 0, nil, 0, 0, false},
		{"target draining", share(0.5), 30, 30, target(admission.Draining), 0, 0, false},
		{"others have ended", share(0.5), 0, 30, nil, 4700, 5300, true},
		{"completed", rule.Rollout{Share: 1, State: rule.RolloutCompleted, Replaced: []string{"v1"}}, 30, 30, nil, 9500, all, false},
		{"reverted", rule.Rollout{State: rule.RolloutReverted}, 30, 30, nil, 0, 0, false},
	}
	for _, tt := range tests {
		got := versionCounts(newRolloutModel(tt.rollout, tt.oldCount, tt.newCount, tt.edit))
		if got["v2"] < tt.least || got["v2"] > tt.most || (got["none"] > 0) != tt.refused {
			t.Errorf("%s: picks by version %v, want %d to %d of v2", tt.name, got, tt.least, tt.most)
		}
		if tt.rollout.State != rule.RolloutCompleted && got[""] > 0 {
			t.Errorf("%s: %d picks of a version that is not known", tt.name, got[""])
		}
	}
}

// Guards against a small share that is spread over so many back ends that none of them shows a fault under load.
func TestSmallShareGoesToFewBackEnds(t *testing.T) {
	m := newRolloutModel(rule.Rollout{Share: 0.07}, 40, 40, nil)
	used := map[string]bool{}
	for range 20_000 {
		if target, _ := m.Pick(epoch.Add(10*time.Millisecond), balancer.Query{Service: "s"}); target.Version == "v2" {
			used[target.Backend] = true
		}
	}
	if len(used) == 0 || len(used) > 15 {
		t.Errorf("%d of 40 back ends were used", len(used))
	}
}
