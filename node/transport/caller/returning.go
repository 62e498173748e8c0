package caller

import (
	"sync"
	"time"

	"pollenhill.example/node/coordination/callerretry"
	"pollenhill.example/node/protocol/message"
)

// returning shares what is known of refused callers between requests; it is safe for concurrent use.
type returning struct {
	mu    sync.Mutex
	model callerretry.Model
}

// refuse remembers the caller of a refused request.
func (r *returning) refuse(req *message.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.AddRefused(callerretry.Caller{Route: req.Route, FirstTry: req.FirstTry, Deadline: req.Arrived.Add(req.CallerTimeout)})
}

// first returns the arrival of the first try of a request's caller; one that does not say how long it waits is new.
func (r *returning) first(req *message.Request) time.Time {
	if req.CallerTimeout == 0 {
		return req.Arrived
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.model.FirstTry(req.Arrived, req.Route, req.Arrived.Add(req.CallerTimeout))
}
