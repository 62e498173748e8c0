package admission

import (
	"cmp"
	"slices"

	"pollenhill.example/core/state/rule"
)

// queue holds waiting attempts in one order, most urgent first.
type queue []Arrive

// order is by deadline, then by priority. Priority decides who leaves a full queue; starting by priority first would
// add the waits of short bursts to low priority alone and so lengthen the tail of all.
func order(a, b Arrive) int {
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(b.Priority, a.Priority)
}

// ahead counts the waiting attempts that start before a.
func (q queue) ahead(a Arrive, order func(a, b Arrive) int) int {
	n := 0
	for n < len(q) && order(q[n], a) <= 0 {
		n++
	}
	return n
}

func (q *queue) push(a Arrive, order func(a, b Arrive) int) {
	*q = slices.Insert(*q, q.ahead(a, order), a)
}

func (q *queue) pop() Arrive {
	first := (*q)[0]
	*q = slices.Delete(*q, 0, 1)
	return first
}

// take removes and returns the first attempt that matches, false if none does.
func (q *queue) take(match func(Arrive) bool) (Arrive, bool) {
	i := slices.IndexFunc(*q, match)
	if i < 0 {
		return Arrive{}, false
	}
	found := (*q)[i]
	*q = slices.Delete(*q, i, i+1)
	return found, true
}

// remove takes out and returns the attempts that match.
func (q *queue) remove(match func(Arrive) bool) []Arrive {
	var out []Arrive
	for _, a := range *q {
		if match(a) {
			out = append(out, a)
		}
	}
	if len(out) > 0 {
		*q = slices.DeleteFunc(*q, match)
	}
	return out
}

// evict takes out an attempt of the lowest priority, if it is below level: the one with most time left.
func (q *queue) evict(level rule.Level) (Arrive, bool) {
	victim := -1
	for i, a := range *q {
		if a.Priority < level && (victim < 0 || a.Priority <= (*q)[victim].Priority) {
			victim = i
		}
	}
	if victim < 0 {
		return Arrive{}, false
	}
	out := (*q)[victim]
	*q = slices.Delete(*q, victim, victim+1)
	return out, true
}
