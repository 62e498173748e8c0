package caller

import (
	"sync"
	"time"

	"pollenhill.example/node/coordination/returns"
	"pollenhill.example/node/protocol/message"
)

// returning shares what is known of refused callers between requests; it is safe for concurrent use.
type returning struct {
	mu    sync.Mutex
	model returns.Model
}

// refuse remembers the caller of a refused request.
func (r *returning) refuse(req *message.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.Refuse(returns.Caller{Route: req.Route, First: req.First, Deadline: req.Arrived.Add(req.Given)})
}

// first returns the arrival of the first try of a request's caller; one that does not say how long it waits is new.
func (r *returning) first(req *message.Request) time.Time {
	if req.Given == 0 {
		return req.Arrived
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.model.First(req.Arrived, req.Route, req.Arrived.Add(req.Given))
}
