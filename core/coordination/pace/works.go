package pace

import "time"

const (
	// swing is how long a speed lasts on average; after it, work goes on at the usual speed.
	swing = 150 * time.Millisecond
	// Usual is the average of the factor by which work is slower than at best.
	Usual = 1.6
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

// Span is the expected time of work that starts at a speed, given as the factor by which it is slower than at best.
func Span(work time.Duration, speed float64) time.Duration {
	speed = max(speed, 1)
	if slow := time.Duration(float64(work) * speed); slow <= swing {
		return slow
	}
	done := time.Duration(float64(swing) / speed)
	return swing + time.Duration(Usual*float64(work-done))
}
