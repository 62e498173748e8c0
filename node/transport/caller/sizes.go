package caller

import "sync"

// sizes holds the usual length of the responses of each route; it is safe for concurrent use.
type sizes struct {
	mu   sync.Mutex
	mean map[string]float64
}

// sizeWeight is the part of one response in the average.
const sizeWeight = 0.1

// usual returns the average length in bytes, 0 before the first response.
func (s *sizes) usual(route string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.mean[route])
}

func (s *sizes) learn(route string, length int) {
	if route == "" || length <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == nil {
		s.mean = map[string]float64{}
	}
	old, known := s.mean[route]
	if !known {
		old = float64(length)
	}
	s.mean[route] = old + sizeWeight*(float64(length)-old)
}
