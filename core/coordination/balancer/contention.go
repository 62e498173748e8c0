package balancer

import (
	"math"
	"time"
)

// Many entry nodes that follow the same hints send their requests to the same few back ends until newer hints arrive, so
// that queues form at some while others are idle. Near the limit of a pool that costs more than a pick that is not the
// best by the hints. For services whose callers compete for room (Query.Contended), picks are spread.
const (
	// contendedJitter replaces costJitter at a pool whose slots are all in use; below contendedLoad, in requests per slot,
	// the jitter is the usual one, and in between it grows in proportion.
	contendedJitter = 1.0
	contendedLoad   = 0.5
	// contendedLoadDecay is the time constant with which the number of requests in a hint approaches the mean of the pool.
	contendedLoadDecay = 100 * time.Millisecond
	// urgentQueueWeight replaces poolQueueWeight for requests that go before most of what waits. A long queue then does not
	// make a back end in a slow period look better, where they would wait for the end of the period.
	urgentQueueWeight = 0.3
)

// jitter returns the largest random increase of a cost, as a share of it.
func (m *Model) jitter(q Query) float64 {
	if !q.Contended {
		return costJitter
	}
	inUse := (m.serviceState(q.Service).totalLoad - contendedLoad) / (1 - contendedLoad)
	return costJitter + (contendedJitter-costJitter)*min(max(inUse, 0), 1)
}

// queueWeight returns the cost per multiple of the limit that is queued at a back end, as a share of its slowdown.
func (q Query) queueWeight() float64 {
	if q.Contended && q.Urgent {
		return urgentQueueWeight
	}
	return poolQueueWeight
}

// poolLoad returns the expected number of requests at a back end of a pool.
func (m *Model) poolLoad(now time.Time, b *backendState, q Query) float64 {
	load := b.otherRequests + float64(b.inflight)
	if !q.Contended || b.hintTime.IsZero() {
		return load
	}
	mean := m.serviceState(q.Service).totalLoad * float64(b.hint.Limit)
	weight := math.Exp(-now.Sub(b.hintTime).Seconds() / contendedLoadDecay.Seconds())
	return max(mean+weight*(load-mean), float64(b.inflight))
}
