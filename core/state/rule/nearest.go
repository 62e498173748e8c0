package rule

import (
	"slices"
	"strings"
)

// maxTypos is the number of wrong characters up to which a name counts as a misspelling of another.
const maxTypos = 2

// nearest returns the name that text most likely misspells, or "".
func nearest(text string, names []string) string {
	best, typos := "", maxTypos+1
	if len(text) > maxName {
		return ""
	}
	slices.Sort(names)
	for _, name := range names {
		if n := distance(strings.ToLower(text), strings.ToLower(name)); n < typos && n < len(name) {
			best, typos = name, n
		}
	}
	return best
}

// distance returns the Levenshtein distance of two words.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
