package rule

import (
	"slices"
	"strings"
)

// maxTypos is the largest edit distance, in bytes, at which a word counts as a misspelling of a name.
const maxTypos = 2

// closestName returns the name that text most likely misspells, ignoring case, or "". It sorts names in
// place, so that the result does not depend on their order.
func closestName(text string, names []string) string {
	best, typos := "", maxTypos+1
	if len(text) > maxNameBytes {
		return ""
	}
	slices.Sort(names)
	for _, name := range names {
		if n := levenshtein(strings.ToLower(text), strings.ToLower(name)); n < typos && n < len(name) {
			best, typos = name, n
		}
	}
	return best
}

// levenshtein returns the Levenshtein distance of two words in bytes.
func levenshtein(a, b string) int {
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
