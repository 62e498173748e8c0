package rule

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// maxEditDistance limits the lines that a minimal diff adds and removes, because its memory grows with their square.
// If texts differ by more, one edit replaces everything between their common first and last lines.
const maxEditDistance = 256

// Edit replaces Count lines of a text, beginning with line Start (0-based), by Lines, which include their line endings.
type Edit struct {
	Start int
	Count int
	Lines []string
}

// Hash returns the xxhash64 of a text.
func Hash(text string) uint64 {
	return xxhash.Sum64String(text)
}

// Diff returns the edits that turn old into text, in the order of their lines.
func Diff(old, text string) []Edit {
	a, b := splitLines(old), splitLines(text)
	prefix := commonLines(a, b, func(lines []string, i int) string { return lines[i] })
	a, b = a[prefix:], b[prefix:]
	suffix := commonLines(a, b, func(lines []string, i int) string { return lines[len(lines)-1-i] })
	a, b = a[:len(a)-suffix], b[:len(b)-suffix]
	if len(a) == 0 && len(b) == 0 {
		return nil
	}
	trace, ok := shortestEdits(a, b)
	if !ok {
		return []Edit{{Start: prefix, Count: len(a), Lines: b}}
	}
	return backtrack(trace, a, b, prefix)
}

// commonLines counts the equal lines of a and b up to the first difference; at(lines, i) returns the i-th line to compare.
func commonLines(a, b []string, at func(lines []string, i int) string) int {
	n := 0
	for n < len(a) && n < len(b) && at(a, n) == at(b, n) {
		n++
	}
	return n
}

// shortestEdits is the greedy forward search of Myers, "An O(ND) Difference Algorithm" (1986): x counts lines of a, y
// lines of b, and diagonal k holds the points with x-y = k. Entry d of the trace has, for every diagonal from -d to d,
// the furthest x that d edits reach. It returns false if more than maxEditDistance edits are needed.
func shortestEdits(a, b []string) (trace [][]int, ok bool) {
	for d := 0; d <= maxEditDistance; d++ {
		row := make([]int, 2*d+1)
		trace = append(trace, row)
		for k := -d; k <= d; k += 2 {
			x := entryX(trace, d, k)
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

// entryX returns the x at which diagonal k is entered with d edits.
func entryX(trace [][]int, d, k int) int {
	if d == 0 {
		return 0
	}
	if isInsertion(trace, d, k) {
		return furthestX(trace, d-1, k+1)
	}
	return furthestX(trace, d-1, k-1) + 1
}

// isInsertion reports whether the d-th edit, which enters diagonal k, adds a line of b instead of removing one of a.
func isInsertion(trace [][]int, d, k int) bool {
	return k == -d || k != d && furthestX(trace, d-1, k-1) < furthestX(trace, d-1, k+1)
}

func furthestX(trace [][]int, d, k int) int {
	return trace[d][k+d]
}

// backtrack follows the trace from the end of both texts to their start, joins adjacent edits, and adds offset to the
// line numbers.
func backtrack(trace [][]int, a, b []string, offset int) []Edit {
	var list []Edit
	x, y := len(a), len(b)
	for d := len(trace) - 1; d > 0; d-- {
		k := x - y
		entry := entryX(trace, d, k)
		e := Edit{Start: entry - 1, Count: 1}
		if isInsertion(trace, d, k) {
			e = Edit{Start: entry, Lines: []string{b[entry-k-1]}}
		}
		list = prependEdit(list, e)
		x, y = e.Start, entry-k-len(e.Lines)
	}
	slices.Reverse(list)
	for i := range list {
		list[i].Start += offset
	}
	return list
}

// prependEdit adds e, which lies before all edits of list, to list; list is in reverse order. It merges e with the last
// edit of list if the two are adjacent.
func prependEdit(list []Edit, e Edit) []Edit {
	if len(list) == 0 || e.Start+e.Count != list[len(list)-1].Start {
		return append(list, e)
	}
	last := &list[len(list)-1]
	last.Start, last.Count = e.Start, last.Count+e.Count
	last.Lines = append(slices.Clone(e.Lines), last.Lines...)
	return list
}

// Patch applies the edits of Diff to old. It returns an error if the edits do not fit old or if the Hash of the result is
// not hash.
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
	for _, l := range lines {
		text.WriteString(l)
	}
}
