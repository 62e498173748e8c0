package servicetime

import "time"

const (
	// SlowdownInterval is the time for which a back end on a shared machine keeps the same slowdown.
	SlowdownInterval = 150 * time.Millisecond
	// MeanSlowdown is the average slowdown of a back end that works at normal speed three quarters of the time and is five
	// times slower otherwise.
	MeanSlowdown = 2.0
	// sampleWeight is the weight of one request in the moving average of its route.
	sampleWeight = 0.05
)

// ByRoute holds the average service time of each route at slowdown 1.
type ByRoute map[string]time.Duration

// Observe adds the service time of one request at slowdown 1 to the average of its route.
func (s ByRoute) Observe(route string, serviceTime time.Duration) {
	mean, known := s[route]
	if !known {
		s[route] = serviceTime
		return
	}
	s[route] = mean + time.Duration(sampleWeight*float64(serviceTime-mean))
}

// Expected returns the expected service time of a request that starts at the given slowdown and takes serviceTime at
// slowdown 1. A request keeps the slowdown at which it starts.
func Expected(serviceTime time.Duration, slowdown float64) time.Duration {
	return time.Duration(float64(serviceTime) * max(slowdown, 1))
}
