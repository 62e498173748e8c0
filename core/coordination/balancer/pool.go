package balancer

import (
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/servicetime"
)

// Costs of a pick for a pool, whose back ends change their slowdown many times a second. One unit of cost is the normal
// service time of a request on an idle back end.
const (
	// slowdownDecay is the age of a hint from which its slowdown is ignored: the older the hint, the more likely the
	// slowdown has changed since.
	slowdownDecay = 400 * time.Millisecond

	maxFastSlowdown = 2.0 // largest slowdown of a back end that counts as fast

	// silenceTimeout is the age of the last hint after which the destination node may be down; a node sends ten hints
	// a second.
	silenceTimeout = 600 * time.Millisecond
	silencePenalty = 4.0

	// recentFailurePeriod is how long a refused or failed attempt counts against a back end, because the hint that
	// explains it may arrive later.
	recentFailurePeriod  = 50 * time.Millisecond
	recentFailurePenalty = 1.0

	// failureSharePenalty is for a back end that fails all requests: a failed attempt costs its own time, the time of the
	// next attempt, and a part of the retry budget.
	failureSharePenalty = 6.0

	loadWeight      = 0.5 // cost added at the concurrency limit, as a share of the slowdown; less in proportion below it
	poolQueueWeight = 1.5 // cost added per multiple of the limit that is queued, as a share of the slowdown

	// maxZonePenalty is for another zone if the own zone has fullPenaltyBackends or more back ends; with fewer, it is
	// reduced in proportion.
	maxZonePenalty      = 0.25
	fullPenaltyBackends = 3

	bytesPerServiceTime = 80_000.0 // response bytes between zones that cost as much as one normal service time
	costJitter          = 0.25     // largest random increase, as a share of the cost
	coldCostFactor      = 2.0      // a back end in cold start takes about twice as long
)

// pickFastest returns the candidate with the lowest expected cost. The jitter keeps entry nodes with the same hints from
// picking the same back end.
func (m *Model) pickFastest(now time.Time, candidates []candidate, q Query) (Target, bool) {
	best := -1
	lowest := 0.0
	fast := 0
	zonePenalty, jitter := m.zonePenalty(candidates), m.jitter(q)
	for i, c := range candidates {
		b := m.backends[c.Backend]
		if q.SpareCapacityOnly && !b.hasSpareCapacity(now, c) {
			continue
		}
		if b.isFastAndFree(now, c) && !m.isLimited(c.Backend) {
			fast++
		}
		cost := b.expectedCost(now, c, m.poolLoad(now, b, q), q) * (1 + jitter*m.cfg.Rand.Float64())
		if c.Zone != m.cfg.Zone {
			cost += zonePenalty + float64(q.ResponseBytes)/bytesPerServiceTime
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return Target{}, false
	}
	t := candidates[best].Target
	b := m.backends[t.Backend]
	t.Observed = Observation{Slowdown: b.slowdown(now), Requests: b.otherRequests + float64(b.inflight), Limit: b.hint.Limit}
	if !b.hintTime.IsZero() {
		t.Observed.HintAge = now.Sub(b.hintTime)
	}
	if b.isFastAndFree(now, candidates[best]) && !m.isLimited(t.Backend) {
		fast--
	}
	t.Observed.FastAlternatives = fast
	return t, true
}

// zonePenalty returns the cost of another zone. With few back ends in the own zone, picking among all zones serves
// requests sooner; with several, the own zone nearly always has a fast one with a free slot.
func (m *Model) zonePenalty(candidates []candidate) float64 {
	local := lo.CountBy(candidates, func(c candidate) bool { return c.Zone == m.cfg.Zone })
	return maxZonePenalty * float64(min(local, fullPenaltyBackends)) / fullPenaltyBackends
}

// Slowdown returns the expected slowdown of work that starts at a back end now; it is the mean for an unknown back end.
func (m *Model) Slowdown(now time.Time, backend string) float64 {
	b, ok := m.backends[backend]
	if !ok {
		return servicetime.MeanSlowdown
	}
	return b.slowdown(now)
}

// slowdown returns the expected slowdown of work that starts now: that of the last hint, which approaches the mean as the
// hint ages.
func (b *backendState) slowdown(now time.Time) float64 {
	if b.hintTime.IsZero() || b.hint.Slowdown <= 0 {
		return servicetime.MeanSlowdown
	}
	age := min(1, now.Sub(b.hintTime).Seconds()/slowdownDecay.Seconds())
	return b.hint.Slowdown + age*(servicetime.MeanSlowdown-b.hint.Slowdown)
}

// isFastAndFree reports whether a back end is fast and has a free slot for a request that another one refuses.
func (b *backendState) isFastAndFree(now time.Time, c candidate) bool {
	load := b.otherRequests + float64(b.inflight)
	return !b.hintTime.IsZero() && b.slowdown(now) <= maxFastSlowdown && load < float64(max(b.hint.Limit, 1)) &&
		c.State == admission.Ready && now.Sub(b.hintTime) <= silenceTimeout
}

// expectedCost returns the expected cost of one more request, in normal service times on an idle back end.
func (b *backendState) expectedCost(now time.Time, c candidate, load float64, q Query) float64 {
	limit := float64(max(b.hint.Limit, 1))
	if b.hintTime.IsZero() {
		limit = max(c.limit, 1)
	}
	cost := b.slowdown(now) * (1 + loadWeight*min(load/limit, 1))
	if excess := load + 1 - limit; excess > 0 {
		cost += b.slowdown(now) * q.queueWeight() * excess / limit
	}
	if c.State == admission.Cold {
		cost *= coldCostFactor
	}
	if !b.hintTime.IsZero() && now.Sub(b.hintTime) > silenceTimeout {
		cost += silencePenalty
	}
	cost += failureSharePenalty * b.hint.FailureShare
	if now.Sub(b.lastFailure) < recentFailurePeriod {
		cost += recentFailurePenalty
	}
	return cost
}

// Bounds of a back end that gets second attempts.
const (
	maxSpareLoad     = 0.7 // share of its concurrency limit
	maxSpareSlowdown = 1.5
)

// hasSpareCapacity reports whether a back end is fast and has enough free slots for a hedge to be worth its cost.
func (b *backendState) hasSpareCapacity(now time.Time, c candidate) bool {
	load := b.otherRequests + float64(b.inflight)
	return b.slowdown(now) <= maxSpareSlowdown && load < maxSpareLoad*float64(max(b.hint.Limit, 1)) && c.State == admission.Ready
}
