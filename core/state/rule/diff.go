package rule

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// maxDistance bounds the lines that a minimal diff may add and remove: its memory grows with the square.
// Texts that differ more are replaced as one block between their common first and last lines.
const maxDistance = 256

// Edit replaces Count lines of the old text from Start (0-based) by Lines, which keep their line endings.
type Edit struct {
	Start int
	Count int
	Lines []string
}

// Hash returns the xxhash64 of a text.
func Hash(text string) uint64 {
	return xxhash.Sum64String(text)
}

// Diff returns the edits that lead from old to text, in the order of their lines.
func Diff(old, text string) []Edit {
	a, b := splitLines(old), splitLines(text)
	head := common(a, b, func(lines []string, i int) string { return lines[i] })
	a, b = a[head:], b[head:]
	tail := common(a, b, func(lines []string, i int) string { return lines[len(lines)-1-i] })
	a, b = a[:len(a)-tail], b[:len(b)-tail]
	if len(a) == 0 && len(b) == 0 {
		return nil
	}
	trace, ok := walk(a, b)
	if !ok {
		return []Edit{{Start: head, Count: len(a), Lines: b}}
	}
	return edits(trace, a, b, head)
}

// common counts the leading lines that a and b share, in the order in which at reads them.
func common(a, b []string, at func(lines []string, i int) string) int {
	n := 0
	for n < len(a) && n < len(b) && at(a, n) == at(b, n) {
		n++
	}
	return n
}

// walk is the greedy forward search of Myers, "An O(ND) Difference Algorithm" (1986).
// Entry d of the trace holds, for every diagonal k from -d to d, the furthest x reached with d edits.
func walk(a, b []string) (trace [][]int, ok bool) {
	for d := 0; d <= maxDistance; d++ {
		row := make([]int, 2*d+1)
		trace = append(trace, row)
		for k := -d; k <= d; k += 2 {
			x := start(trace, d, k)
			for x < len(a) && x-k < len(b) && a[x] == b[x-k] {
				x++
			}
			row[k+d] = x
			if x >= len(a) && x-k >= len(b) {
				return trace, true
			}
		}
	}
	return nil, false
}

// start returns the x at which diagonal k is entered with d edits.
func start(trace [][]int, d, k int) int {
	if d == 0 {
		return 0
	}
	if down(trace, d, k) {
		return reach(trace, d-1, k+1)
	}
	return reach(trace, d-1, k-1) + 1
}

// down reports whether diagonal k is entered by adding a line of b rather than removing one of a.
func down(trace [][]int, d, k int) bool {
	return k == -d || k != d && reach(trace, d-1, k-1) < reach(trace, d-1, k+1)
}

func reach(trace [][]int, d, k int) int {
	return trace[d][k+d]
}

// edits follows the trace back from the end and joins neighbouring changes.
func edits(trace [][]int, a, b []string, offset int) []Edit {
	var list []Edit
	x, y := len(a), len(b)
	for d := len(trace) - 1; d > 0; d-- {
		k := x - y
		from := start(trace, d, k)
		e := Edit{Start: from - 1, Count: 1}
		if down(trace, d, k) {
			e = Edit{Start: from, Lines: []string{b[from-k-1]}}
		}
		list = prepend(list, e)
		x, y = e.Start, from-k-len(e.Lines)
	}
	slices.Reverse(list)
	for i := range list {
		list[i].Start += offset
	}
	return list
}

// prepend adds an edit in front of the last one in list, which is in reverse order.
func prepend(list []Edit, e Edit) []Edit {
	if len(list) == 0 || e.Start+e.Count != list[len(list)-1].Start {
		return append(list, e)
	}
	last := &list[len(list)-1]
	last.Start, last.Count = e.Start, last.Count+e.Count
	last.Lines = append(slices.Clone(e.Lines), last.Lines...)
	return list
}

// Patch applies the edits of Diff to old; it fails unless the result has the given Hash.
func Patch(old string, edits []Edit, hash uint64) (string, error) {
	lines := splitLines(old)
	var text strings.Builder
	next := 0
	for i, e := range edits {
		if e.Start < next || e.Start > len(lines) || e.Count < 0 || e.Count > len(lines)-e.Start {
			return "", errors.Newf("patch rules: edit %d covers %d lines from %d of %d", i, e.Count, e.Start, len(lines))
		}
		writeLines(&text, lines[next:e.Start])
		writeLines(&text, e.Lines)
		next = e.Start + e.Count
	}
	writeLines(&text, lines[next:])
	if got := Hash(text.String()); got != hash {
		return "", errors.Newf("patch rules: result has hash %016x, want %016x", got, hash)
	}
	return text.String(), nil
}

func writeLines(text *strings.Builder, lines []string) {
	for _, one := range lines {
		text.WriteString(one)
	}
}
