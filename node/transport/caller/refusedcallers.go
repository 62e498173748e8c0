package caller

import (
	"sync"
	"time"

	"pollenhill.example/node/coordination/callerretry"
	"pollenhill.example/node/protocol/message"
)

// refusedCallers recognizes refused callers that retry; it is safe for concurrent use.
type refusedCallers struct {
	mu    sync.Mutex
	model callerretry.Model
}

// add stores the caller of a refused request.
func (r *refusedCallers) add(req *message.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.AddRefused(callerretry.Caller{Route: req.Route, FirstTry: req.FirstTry, Deadline: req.Arrived.Add(req.CallerTimeout)})
}

// firstTry returns when the caller of req made its first try. A caller that sends no timeout cannot be recognized and
// counts as new.
func (r *refusedCallers) firstTry(req *message.Request) time.Time {
	if req.CallerTimeout == 0 {
		return req.Arrived
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.model.FirstTry(req.Arrived, req.Route, req.Arrived.Add(req.CallerTimeout))
}
