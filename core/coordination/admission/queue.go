package admission

import (
	"cmp"
	"slices"

	"pollenhill.example/core/state/rule"
)

// queue holds waiting attempts, the next one to start first.
type queue []Arrive

// byDeadline orders attempts by deadline, then by priority. Priority comes first only in the choice of the attempt that a
// full queue drops: starting by priority would put the waits of short bursts on low priority alone and lengthen the tail
// latency of all requests.
func byDeadline(a, b Arrive) int {
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(b.Priority, a.Priority)
}

// byPriority orders attempts by priority, then by the end of their latency objective.
func byPriority(a, b Arrive) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), a.ObjectiveAt.Compare(b.ObjectiveAt))
}

// ahead returns the number of waiting attempts that start before a.
func (q queue) ahead(a Arrive, compare func(a, b Arrive) int) int {
	n := 0
	for n < len(q) && compare(q[n], a) <= 0 {
		n++
	}
	return n
}

func (q *queue) insert(a Arrive, compare func(a, b Arrive) int) {
	*q = slices.Insert(*q, q.ahead(a, compare), a)
}

func (q *queue) pop() Arrive {
	first := (*q)[0]
	*q = slices.Delete(*q, 0, 1)
	return first
}

// takeFirst removes and returns the first attempt that matches; it returns false if none does.
func (q *queue) takeFirst(match func(Arrive) bool) (Arrive, bool) {
	i := slices.IndexFunc(*q, match)
	if i < 0 {
		return Arrive{}, false
	}
	found := (*q)[i]
	*q = slices.Delete(*q, i, i+1)
	return found, true
}

// remove removes and returns all attempts that match.
func (q *queue) remove(match func(Arrive) bool) []Arrive {
	var removed []Arrive
	for _, a := range *q {
		if match(a) {
			removed = append(removed, a)
		}
	}
	if len(removed) > 0 {
		*q = slices.DeleteFunc(*q, match)
	}
	return removed
}

// evict removes and returns an attempt of the lowest priority in the queue, if that is below the given one. Among several
// it chooses the last in the queue, which has the most time left. It returns false if there is none.
func (q *queue) evict(priority rule.Priority) (Arrive, bool) {
	victim := -1
	for i, a := range *q {
		if a.Priority < priority && (victim < 0 || a.Priority <= (*q)[victim].Priority) {
			victim = i
		}
	}
	if victim < 0 {
		return Arrive{}, false
	}
	evicted := (*q)[victim]
	*q = slices.Delete(*q, victim, victim+1)
	return evicted, true
}
