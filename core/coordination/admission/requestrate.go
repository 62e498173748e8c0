package admission

import (
	"time"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/protocol/requestlimit"
)

// This file holds the request limit that a back end names for all nodes together. All requests of a back end pass through
// its destination node, so that the count there is exact, whichever nodes they come from.

const (
	// rateBurst is the time of unused limit that may be used at once. A back end that names a limit is in need, so that its
	// requests are spread evenly.
	rateBurst = 250 * time.Millisecond
	// rateWindow is the sliding window in which the requests stay below rateWindowFactor times the limit, also those from
	// before a limit fell. Back ends expect half as much again at most, in any such window.
	rateWindow       = 4 * time.Second
	rateWindowFactor = 1.35
	// rateNotice is the notice that a back end gives of its first limit. Requests that leave the window within that time do
	// not count.
	rateNotice = 3 * time.Second
	// maxRateWait is the longest wait that is returned, also for a limit of 0.
	maxRateWait = time.Minute
)

// requestRate limits the requests per second to the back end, checks included, by a token bucket and a sliding window.
type requestRate struct {
	limit      requestlimit.Limit
	confirmed  bool    // the back end named the limit to this node itself
	tokens     float64 // requests that may be sent now; below 0 after checks, which are not held back
	refilledAt time.Time
	sent       recentTimes
	share      arrivalShare
}

// arrived counts an attempt that arrives, whether it is sent or not.
func (r *requestRate) arrived(now time.Time) {
	if perSecond, limited := r.limit.PerSecond(); limited {
		r.share.arrived(now, perSecond)
	}
}

// updateShare changes the share of the attempts that should arrive, after a time without any.
func (r *requestRate) updateShare(now time.Time) {
	if perSecond, limited := r.limit.PerSecond(); limited {
		r.share.update(now, perSecond)
	}
}

// record counts a request that is sent now.
func (r *requestRate) record(now time.Time) {
	perSecond, limited := r.limit.PerSecond()
	if !limited {
		r.sent.record(now, rateWindow-rateNotice)
		return
	}
	r.sent.record(now, rateWindow)
	r.refill(now)
	r.tokens = max(r.tokens-1, -max(1, perSecond))
}

// confirm applies what the back end named in its newest response.
func (r *requestRate) confirm(now time.Time, limit requestlimit.Limit) {
	r.confirmed = true
	r.set(now, limit)
}

// adopt applies a limit that another node has heard, unless the back end has named its limit to this node. After a restart
// of this node, that is the only knowledge before the first response.
func (r *requestRate) adopt(now time.Time, limit requestlimit.Limit) {
	perSecond, limited := limit.PerSecond()
	if current, holds := r.limit.PerSecond(); r.confirmed || !limited || holds && current <= perSecond {
		return
	}
	r.set(now, limit)
}

// set replaces the limit. The bucket of a new limit is empty.
func (r *requestRate) set(now time.Time, limit requestlimit.Limit) {
	r.refill(now)
	if _, limited := r.limit.PerSecond(); !limited {
		r.tokens = 0
		r.share = newArrivalShare(now)
	}
	r.limit = limit
}

// allows reports whether a request may be sent now.
func (r *requestRate) allows(now time.Time) bool {
	return r.wait(now, 0) == 0
}

// wait returns the time until a request may be sent that has so many others ahead of it.
func (r *requestRate) wait(now time.Time, ahead int) time.Duration {
	perSecond, limited := r.limit.PerSecond()
	if !limited {
		return 0
	}
	r.refill(now)
	return min(maxRateWait, max(r.tokenWait(perSecond, ahead), r.windowWait(now, perSecond, ahead)))
}

// tokenWait returns the time until the bucket has enough tokens.
func (r *requestRate) tokenWait(perSecond float64, ahead int) time.Duration {
	missing := float64(ahead+1) - r.tokens
	switch {
	case missing <= 0:
		return 0
	case missing >= perSecond*maxRateWait.Seconds():
		return maxRateWait
	}
	// Rounded up, so that the token is there when the time has passed.
	return time.Duration(missing/perSecond*float64(time.Second)) + time.Microsecond
}

// windowWait returns the time until enough requests have left the sliding window.
func (r *requestRate) windowWait(now time.Time, perSecond float64, ahead int) time.Duration {
	allowed := max(1, int(rateWindowFactor*rateWindow.Seconds()*perSecond))
	excess := r.sent.count(now, rateWindow) + ahead + 1 - allowed
	if excess <= 0 || len(r.sent) == 0 {
		return 0
	}
	// The last one that has to leave; if all of them are not enough, the tokens decide.
	last := r.sent[min(excess, len(r.sent))-1]
	return last.Add(rateWindow).Sub(now)
}

func (r *requestRate) refill(now time.Time) {
	elapsed := now.Sub(r.refilledAt)
	r.refilledAt = now
	perSecond, limited := r.limit.PerSecond()
	if !limited || elapsed <= 0 {
		return
	}
	// A single token must fit even into the bucket of a limit below 4 a second.
	size := max(1, perSecond*rateBurst.Seconds())
	r.tokens = min(size, r.tokens+perSecond*elapsed.Seconds())
}

// exceedsRequestLimit reports whether a request has to wait for the request limit and should not: another back end can
// take it now, or it would end too late.
func (m *Model) exceedsRequestLimit(now time.Time, a Arrive) bool {
	if m.requestRate.allows(now) {
		return false
	}
	if a.Movable {
		return true
	}
	if !m.limits.FixedLimit {
		start := now.Add(m.requestRate.wait(now, m.queue.ahead(a, byDeadline)))
		return start.Add(m.adaptive.medianLatency()).After(a.Deadline)
	}
	start := now.Add(m.requestRate.wait(now, m.queue.ahead(a, byPriority)))
	return start.Add(m.expectedCompletion(a)).After(a.finishBy())
}

// refuseForLimit refuses a request with the time until the back end takes another one.
func (m *Model) refuseForLimit(now time.Time, a Arrive) Cmd {
	wait := m.requestRate.wait(now, len(m.queue)+len(m.bestEffort))
	return Refuse{ID: a.ID, Reason: refusal.RequestLimit, RetryAfter: wait}
}
