package caller

import "sync"

// responseSizes holds a moving average of the response length of each route; it is safe for concurrent use.
type responseSizes struct {
	mu       sync.Mutex
	averages map[string]float64 // bytes by route
}

// sizeSmoothing is the weight of a new response in the exponential moving average.
const sizeSmoothing = 0.1

// average returns the average length in bytes, 0 if no response was observed.
func (s *responseSizes) average(route string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.averages[route])
}

// observe adds a response; those without a route or a known length are ignored.
func (s *responseSizes) observe(route string, length int) {
	if route == "" || length <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.averages == nil {
		s.averages = map[string]float64{}
	}
	old, known := s.averages[route]
	if !known {
		old = float64(length)
	}
	s.averages[route] = old + sizeSmoothing*(float64(length)-old)
}
