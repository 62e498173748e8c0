package pace

import "time"

const (
	// Swing is how long a back end on a shared machine keeps a speed.
	Swing = 150 * time.Millisecond
	// Usual is the factor by which work is slower than at best on average: a back end at its usual speed three quarters
	// of the time and five times slower otherwise.
	Usual = 2.0
	// workWeight is the part of one completion in the usual time of its route.
	workWeight = 0.05
)

// Works holds the usual time of the requests of each route on a back end at its best speed.
type Works map[string]time.Duration

// Learn takes the time that one request of a route took at the best speed.
func (w Works) Learn(route string, took time.Duration) {
	old, known := w[route]
	if !known {
		w[route] = took
		return
	}
	w[route] = old + time.Duration(workWeight*float64(took-old))
}

// Span is the expected time of work that starts at a speed, given as the factor by which it is slower than at best: work
// keeps the speed at which it starts.
func Span(work time.Duration, speed float64) time.Duration {
	return time.Duration(float64(work) * max(speed, 1))
}
