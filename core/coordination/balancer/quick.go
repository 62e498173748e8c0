package balancer

import (
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/coordination/servicetime"
)

// Weights of the expected time at a back end whose speed changes many times a second.
const (
	// paceMemory is how long a report of speed tells anything: the older it is, the more likely a change is on its way.
	paceMemory = 400 * time.Millisecond
	// fastPace is the speed up to which a back end counts as fast.
	fastPace = 2.0
	// silence is the age of a report after which the node may be down; its node reports ten times a second.
	silence     = 600 * time.Millisecond
	silentCost  = 4.0
	bounceTime  = 50 * time.Millisecond // after a refusal, for which the report that explains it may be late
	bounceCost  = 1.0
	faultCost   = 6.0  // a failed attempt costs its time, that of the next one, and a part of the retry budget
	loadCost    = 0.5  // of a full back end over an empty one
	farCost     = 0.25 // of another zone, if the own one has nearChoice back ends or more; in proportion if it has fewer
	nearChoice  = 3
	farBytes    = 80_000.0 // bytes between zones that cost as much as the usual time of a request
	randomCost  = 0.25
	coldCost    = 2.0 // a cold back end takes about twice as long
	queueWeight = 1.5
)

// quickest returns the candidate at which one more request is expected to end first. The random part keeps entry
// nodes with the same reports from choosing the same back end.
func (m *Model) quickest(now time.Time, open []candidate, q Query) (Target, bool) {
	best := -1
	least := 0.0
	others := 0
	far := m.far(open)
	for i, c := range open {
		l := m.loads[c.Backend]
		if q.SpareCapacityOnly && !l.spare(now, c) {
			continue
		}
		if l.fast(now, c) {
			others++
		}
		cost := l.expected(now, c) * (1 + randomCost*m.cfg.Rand.Float64())
		if c.Zone != m.cfg.Zone {
			cost += far + float64(q.ResponseBytes)/farBytes
		}
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		return Target{}, false
	}
	t := open[best].Target
	l := m.loads[t.Backend]
	t.Observed = Observation{Slowdown: l.pace(now), Requests: l.others + float64(l.inflight)}
	if !l.at.IsZero() {
		t.Observed.HintAge = now.Sub(l.at)
	}
	if l.fast(now, open[best]) {
		others--
	}
	t.Observed.FastAlternatives = others
	return t, true
}

// far is the cost of another zone. With few back ends in the own zone a choice among all serves requests sooner; with
// several the own zone has a fast one with room nearly always.
func (m *Model) far(open []candidate) float64 {
	near := lo.CountBy(open, func(c candidate) bool { return c.Zone == m.cfg.Zone })
	return farCost * float64(min(near, nearChoice)) / nearChoice
}

// Slowdown returns how long work takes at a back end now over its usual time, as far as a report tells.
func (m *Model) Slowdown(now time.Time, backend string) float64 {
	l, ok := m.loads[backend]
	if !ok {
		return servicetime.MeanSlowdown
	}
	return l.pace(now)
}

// pace is how long work that starts now takes over its usual time: what the newest report says, and the usual average
// the more the older it is.
func (l *load) pace(now time.Time) float64 {
	if l.at.IsZero() || l.hint.Pace <= 0 {
		return servicetime.MeanSlowdown
	}
	old := min(1, now.Sub(l.at).Seconds()/paceMemory.Seconds())
	return l.hint.Pace + old*(servicetime.MeanSlowdown-l.hint.Pace)
}

// fast says whether a back end is fast and has room for a request that another one refuses.
func (l *load) fast(now time.Time, c candidate) bool {
	load := l.others + float64(l.inflight)
	return !l.at.IsZero() && l.pace(now) <= fastPace && load < float64(max(l.hint.Limit, 1)) &&
		c.State == admission.Ready && now.Sub(l.at) <= silence
}

// expected is the expected time of one more request, over its usual time on an idle back end.
func (l *load) expected(now time.Time, c candidate) float64 {
	limit := float64(max(l.hint.Limit, 1))
	if l.at.IsZero() {
		limit = max(c.limit, 1)
	}
	load := l.others + float64(l.inflight)
	cost := l.pace(now) * (1 + loadCost*min(load/limit, 1))
	if over := load + 1 - limit; over > 0 {
		cost += l.pace(now) * queueWeight * over / limit
	}
	if c.State == admission.Cold {
		cost *= coldCost
	}
	if !l.at.IsZero() && now.Sub(l.at) > silence {
		cost += silentCost
	}
	cost += faultCost * l.hint.Faults
	if now.Sub(l.bounced) < bounceTime {
		cost += bounceCost
	}
	return cost
}

// spareLoad is the share of its limit up to which a back end gets a request that is only a second try, and sparePace
// the speed.
const (
	spareLoad = 0.7
	sparePace = 1.5
)

// spare says whether a back end has room and is fast, so that a hedge there is worth its cost.
func (l *load) spare(now time.Time, c candidate) bool {
	load := l.others + float64(l.inflight)
	return l.pace(now) <= sparePace && load < spareLoad*float64(max(l.hint.Limit, 1)) && c.State == admission.Ready
}
