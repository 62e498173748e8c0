package caller_test

import (
	"testing"

	"pgregory.net/rapid"

	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/transport/caller"
)

// Guards against a split that drifts from the weights of a route as requests add up: after any number of requests each
// service must have its share within two requests.
func TestSplitFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 4).Draw(t, "weights")
		total := 0
		r := rule.Route{Name: "r", Weighted: true}
		for i, w := range weights {
			total += w
			r.Services = append(r.Services, rule.WeightedService{Service: string(rune('a' + i)), Weight: float64(w)})
		}
		if total == 0 {
			return
		}
		var s caller.TrafficSplitter
		n := rapid.IntRange(1, 500).Draw(t, "requests")
		got := map[string]int{}
		for range n {
			got[s.Pick(r)]++
		}
		for i, p := range r.Services {
			want := float64(n*weights[i]) / float64(total)
			if off := float64(got[p.Service]) - want; off > 2 || off < -2 {
				t.Fatalf("%s got %d of %d, weight %v", p.Service, got[p.Service], n, weights)
			}
		}
	})
}
