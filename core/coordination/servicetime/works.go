package servicetime

import "time"

const (
	// SlowdownInterval is how long a back end on a shared machine keeps a speed.
	SlowdownInterval = 150 * time.Millisecond
	// MeanSlowdown is the factor by which work is slower than at best on average: a back end at its usual speed three quarters
	// of the time and five times slower otherwise.
	MeanSlowdown = 2.0
	// workWeight is the part of one completion in the usual time of its route.
	workWeight = 0.05
)

// ByRoute holds the usual time of the requests of each route on a back end at its best speed.
type ByRoute map[string]time.Duration

// Observe takes the time that one request of a route took at the best speed.
func (w ByRoute) Observe(route string, took time.Duration) {
	old, known := w[route]
	if !known {
		w[route] = took
		return
	}
	w[route] = old + time.Duration(workWeight*float64(took-old))
}

// Expected is the expected time of work that starts at a speed, given as the factor by which it is slower than at best: work
// keeps the speed at which it starts.
func Expected(work time.Duration, speed float64) time.Duration {
	return time.Duration(float64(work) * max(speed, 1))
}
