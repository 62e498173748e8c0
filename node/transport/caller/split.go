package caller

import (
	"math/rand/v2"
	"sync"

	"pollenhill.example/core/state/rule"
)

// TrafficSplitter distributes the requests of each route over its services by weight; it is safe for concurrent use.
//
// It uses smooth weighted round robin, so that the shares are exact even for few requests. Each node starts at a random
// position, so that nodes do not pick the same service at the same time.
type TrafficSplitter struct {
	mu      sync.Mutex
	byRoute map[string]*weightedRoundRobin
}

// weightedRoundRobin is the state of smooth weighted round robin for one route.
type weightedRoundRobin struct {
	services       []rule.WeightedService
	currentWeights []float64
}

// Pick returns the service for the next request of a route.
func (s *TrafficSplitter) Pick(r rule.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRoute == nil {
		s.byRoute = map[string]*weightedRoundRobin{}
	}
	state := s.byRoute[r.Name]
	if state == nil || !equalServices(state.services, r.Services) {
		state = newWeightedRoundRobin(r.Services)
		s.byRoute[r.Name] = state
	}
	return state.next()
}

func equalServices(a, b []rule.WeightedService) bool {
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

func newWeightedRoundRobin(services []rule.WeightedService) *weightedRoundRobin {
	w := &weightedRoundRobin{services: services, currentWeights: make([]float64, len(services))}
	// Random offsets that add up to zero, as the current weights do after each pick.
	for i, service := range services {
		start := rand.Float64() * service.Weight
		w.currentWeights[i] += start
		w.currentWeights[(i+1)%len(services)] -= start
	}
	return w
}

func (w *weightedRoundRobin) next() string {
	total, best := 0.0, -1
	for i, service := range w.services {
		w.currentWeights[i] += service.Weight
		total += service.Weight
		if service.Weight > 0 && (best < 0 || w.currentWeights[i] > w.currentWeights[best]) {
			best = i
		}
	}
	w.currentWeights[best] -= total
	return w.services[best].Service
}
