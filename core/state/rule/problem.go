package rule

import (
	"fmt"
	"strings"
)

// Problem is one reason why a rule file is rejected, with its position.
type Problem struct {
	Line    int    `json:"line"`    // 1-based
	Column  int    `json:"column"`  // 1-based, in characters
	Reason  string `json:"reason"`  // what is wrong
	Example string `json:"example"` // a valid line for this position, or empty
}

// String returns the problem as one or two lines of text.
func (p Problem) String() string {
	s := fmt.Sprintf("line %d, column %d: %s", p.Line, p.Column, p.Reason)
	if p.Example != "" {
		s += "\n    for example: " + p.Example
	}
	return s
}

// Problems is the error of Parse: the problems of a rule file in the order of their positions.
type Problems []Problem

// Error returns the texts of the problems, separated by newlines.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
