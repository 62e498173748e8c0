package lint

import (
	"fmt"
	"maps"
	"slices"

	"pollenhill.example/core/state/rule"
)

// Finding is an entry of the rules that is valid and probably not meant.
type Finding struct {
	Class  Class  `json:"class"`
	Line   int    `json:"line,omitempty"` // 1-based line of the rule file, 0 if the entry has none
	Verb   string `json:"verb"`           // of the entry
	Name   string `json:"name"`           // of the entry
	Reason string `json:"reason"`         // what is probably not meant
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	place := ""
	if f.Line > 0 {
		place = fmt.Sprintf("line %d: ", f.Line)
	}
	return fmt.Sprintf("%s%s %s %s: %s", place, f.Verb, f.Name, f.Class, f.Reason)
}

// Check returns the findings about set, with the lines of text, which set was parsed from. Entries of one verb come together.
func Check(set *rule.Set, text string) []Finding {
	c := checker{set: set, lines: linesOf(text)}
	for i := range set.Routes {
		c.checkRoute(&set.Routes[i])
	}
	for _, p := range set.Pools {
		c.checkPool(p)
	}
	for _, name := range slices.Sorted(maps.Keys(set.Services)) {
		c.checkService(set.Services[name])
	}
	for _, a := range set.Accounts {
		c.checkAccount(a)
	}
	for _, r := range set.Rollouts {
		c.checkRollout(r)
	}
	return c.findings
}

// checker collects the findings about one set.
type checker struct {
	set      *rule.Set
	lines    map[entry]int
	findings []Finding
}

// entry identifies a line by its verb and the name after it.
type entry struct{ verb, name string }

// linesOf returns the lines of the entries in text.
func linesOf(text string) map[entry]int {
	lines := map[entry]int{}
	for _, a := range rule.Attributions(text) {
		if a.Name != "" {
			lines[entry{a.Verb, a.Name}] = a.Line
		}
	}
	return lines
}

func (c *checker) report(class Class, verb, name, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		Class: class, Line: c.lines[entry{verb, name}], Verb: verb, Name: name, Reason: fmt.Sprintf(format, args...),
	})
}
