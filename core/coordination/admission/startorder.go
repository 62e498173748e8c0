package admission

import (
	"cmp"
	"slices"
	"time"
)

// guaranteedShare is the share of the slot time that goes to classes that others keep waiting, so that every class gets a
// part of a back end without room for all.
const guaranteedShare = 0.125

// maxRank is the largest rank that is told apart.
const maxRank = 15

// class returns the position of a request among those that compete for slots, 0 for the first: by rank, which may be that
// of its account, then by the rank of its route, then nested requests first, since the requests that they run for hold
// slots. What an account sends above its usual load goes after all others.
func (a Arrive) class() int {
	class := 0
	if a.exceedsUsual {
		class = 1
	}
	class = class*(maxRank+1) + min(max(a.Rank, 0), maxRank)
	class = class*(maxRank+1) + min(max(a.RouteRank, 0), maxRank)
	if a.Nested {
		return 2 * class
	}
	return 2*class + 1
}

// compareCost orders requests by class, then neglected routes first, then by the latest start that still meets the
// objective, then by work.
func (m *Model) compareCost(a, b Arrive) int {
	return cmp.Or(
		cmp.Compare(a.class(), b.class()),
		compareBool(b.neglected, a.neglected),
		m.latestStart(a).Compare(m.latestStart(b)),
		cmp.Compare(m.slotTime(a), m.slotTime(b)),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// latestStart returns the latest time at which a request can start to meet its objective.
func (m *Model) latestStart(a Arrive) time.Time {
	return a.ObjectiveAt.Add(-m.slotTime(a))
}

// startOrder returns the queued requests in the order in which they will start: by cost, but the request of a later class
// that has waited longest has its turn when the starts before it have used their share of the slot time.
func (m *Model) startOrder() []Arrive {
	waiting := slices.Clone(m.queue)
	slices.SortStableFunc(waiting, m.compareCost)
	order := make([]Arrive, 0, len(waiting))
	used := m.usedByFirst
	for len(waiting) > 0 {
		i := longestPassedOver(waiting)
		if i < 0 {
			return append(order, waiting...)
		}
		if m.hasTurn(used, waiting[i]) {
			used = 0
		} else {
			i, used = 0, used+m.slotTime(waiting[0])
		}
		order = append(order, waiting[i])
		waiting = slices.Delete(waiting, i, i+1)
	}
	return order
}

// hasTurn reports whether requests of earlier classes have used so much slot time that one of a later class may start.
func (m *Model) hasTurn(used time.Duration, a Arrive) bool {
	return guaranteedShare*float64(used) >= (1-guaranteedShare)*float64(m.slotTime(a))
}

// longestPassedOver returns the index of the request that has waited longest among those of a later class than the first,
// or -1 if there is none. What an account sends above its usual load has no guaranteed share.
func longestPassedOver(waiting []Arrive) int {
	first, found := waiting[0].class(), -1
	for i, a := range waiting {
		if a.class() > first && !a.exceedsUsual && (found < 0 || a.arrivedAt.Before(waiting[found].arrivedAt)) {
			found = i
		}
	}
	return found
}

// recordTurn adds the slot time of a start that passes over requests of a later class, and begins anew after one of these
// has its turn.
func (m *Model) recordTurn(started Arrive) {
	class := started.class()
	earlier := slices.ContainsFunc(m.queue, func(a Arrive) bool { return a.class() < class })
	later := slices.ContainsFunc(m.queue, func(a Arrive) bool { return a.class() > class && !a.exceedsUsual })
	switch {
	case earlier:
		m.usedByFirst = 0
	case later:
		m.usedByFirst += m.slotTime(started)
	}
}
