package caller

import (
	"math/rand/v2"
	"time"

	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/protocol/message"
)

// isUrgent reports whether the extra attempts of a request take precedence over those of others.
func isUrgent(req *message.Request) bool {
	if req.ByCost {
		return req.Inherited || req.Rank == 0 || req.RouteRank == 0
	}
	return req.Priority == rule.PriorityHigh
}

// spreadRetryAfter returns a wait of at least the given one, at random, so that refused callers do not come back at the
// same time and fill the room that was waited for. The wait ends before the deadline if it can.
func spreadRetryAfter(wait, untilDeadline time.Duration) time.Duration {
	spread := max(retryAfterJitter, wait/2)
	return wait + rand.N(max(min(spread, untilDeadline-wait), time.Millisecond))
}
