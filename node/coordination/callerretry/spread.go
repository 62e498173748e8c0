package callerretry

import (
	"math/rand/v2"
	"time"
)

// Spread returns a random wait for a refused caller, from the given one to half or at least jitter more. Callers that were
// refused together then do not come back together and fill the room that they waited for. If wait ends before the deadline
// of the request, so does the result.
func Spread(wait, jitter, untilDeadline time.Duration) time.Duration {
	spread := max(jitter, wait/2)
	if left := untilDeadline - wait; left > 0 {
		spread = min(spread, left)
	}
	return wait + rand.N(max(spread, 1))
}
