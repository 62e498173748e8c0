package admission

import (
	"cmp"
	"slices"

	"pollenhill.example/core/state/rule"
)

// queue holds waiting attempts, most urgent first: by priority, then by deadline.
type queue []Arrive

func order(a, b Arrive) int {
	if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
		return c
	}
	return a.Deadline.Compare(b.Deadline)
}

// ahead counts the waiting attempts that start before a.
func (q queue) ahead(a Arrive) int {
	n := 0
	for n < len(q) && order(q[n], a) <= 0 {
		n++
	}
	return n
}

func (q *queue) push(a Arrive) {
	*q = slices.Insert(*q, q.ahead(a), a)
}

func (q *queue) pop() Arrive {
	first := (*q)[0]
	*q = slices.Delete(*q, 0, 1)
	return first
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

// evict takes out the least urgent attempt if its priority is below level.
func (q *queue) evict(level rule.Level) (Arrive, bool) {
	if len(*q) == 0 || (*q)[len(*q)-1].Priority >= level {
		return Arrive{}, false
	}
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last, true
}
