package caller

import (
	"math/rand/v2"
	"sync"

	"pollenhill.example/core/state/rule"
)

// TrafficSplitter spreads the requests of routes over their parts; it is safe for concurrent use.
//
// Each node deals out the shares in turn, smooth weighted round robin, from a random start: the shares are exact also
// for few requests, and nodes do not deal the same part at the same time.
type TrafficSplitter struct {
	mu     sync.Mutex
	routes map[string]*shares
}

type shares struct {
	parts  []rule.WeightedService
	credit []float64
}

// Pick returns the service for the next request of a route.
func (s *TrafficSplitter) Pick(r rule.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = map[string]*shares{}
	}
	state := s.routes[r.Name]
	if state == nil || !equal(state.parts, r.Services) {
		state = newShares(r.Services)
		s.routes[r.Name] = state
	}
	return state.next()
}

func equal(a, b []rule.WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func newShares(parts []rule.WeightedService) *shares {
	s := &shares{parts: parts, credit: make([]float64, len(parts))}
	// The credits of a round add up to zero, as those of every later state do.
	for i, p := range parts {
		start := rand.Float64() * p.Weight
		s.credit[i] += start
		s.credit[(i+1)%len(parts)] -= start
	}
	return s
}

func (s *shares) next() string {
	total, best := 0.0, -1
	for i, p := range s.parts {
		s.credit[i] += p.Weight
		total += p.Weight
		if p.Weight > 0 && (best < 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	s.credit[best] -= total
	return s.parts[best].Service
}
