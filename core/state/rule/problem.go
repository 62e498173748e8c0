package rule

import (
	"fmt"
	"strings"
)

// Problem is one reason why a rule file is refused.
type Problem struct {
	Line    int    `json:"line"`    // 1-based
	Column  int    `json:"column"`  // 1-based, in characters
	Reason  string `json:"reason"`  // what is wrong
	Example string `json:"example"` // a line that would be right at this place
}

// String returns the problem as one or two lines of text.
func (p Problem) String() string {
	s := fmt.Sprintf("line %d, column %d: %s", p.Line, p.Column, p.Reason)
	if p.Example != "" {
		s += "\n    for example: " + p.Example
	}
	return s
}

// Problems is the error of Parse: everything wrong with a text, in the order of its lines.
type Problems []Problem

// Error lists the problems, one after the other.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}
