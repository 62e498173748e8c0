package rule

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

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
	head := 0
	for head < len(a) && head < len(b) && a[head] == b[head] {
		head++
	}
	tail := 0
	for tail < len(a)-head && tail < len(b)-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	a, b = a[head:len(a)-tail], b[head:len(b)-tail]
	if len(a) == 0 && len(b) == 0 {
		return nil
	}
	return []Edit{{Start: head, Count: len(a), Lines: b}}
}

// Patch applies the edits of Diff to old; it fails unless the result has the given Hash.
func Patch(old string, edits []Edit, hash uint64) (string, error) {
	lines := splitLines(old)
	var text strings.Builder
	next := 0
	for i, e := range edits {
		if e.Start < next || e.Start > len(lines) || e.Count < 0 || e.Count > len(lines)-e.Start {
			return "", errors.Newf("patch rules: edit %d covers lines %d to %d of %d", i, e.Start, e.Start+e.Count, len(lines))
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
