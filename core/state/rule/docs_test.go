package rule_test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"pollenhill.example/core/state/rule"
)

var (
	blocks   = regexp.MustCompile("(?s)```\n(.*?)```")
	sections = regexp.MustCompile("(?m)^### `([a-z]+)`$")
)

// Guards against a page for operators that shows rules which are refused, or that omits a verb: the examples of
// a verb are lines of its golden file, and TestFormat1 parses that.
func TestRulesPage(t *testing.T) {
	raw, err := os.ReadFile("../../../docs/rules.md")
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	if block := blocks.FindStringSubmatch(text); block == nil || block[1] != golden(t, "page") {
		t.Error("the whole file is not testdata/format1/page.rules")
	}
	if _, err := rule.Parse(golden(t, "page")); err != nil {
		t.Error(err)
	}
	var documented []string
	starts := sections.FindAllStringSubmatchIndex(text, -1)
	for i, at := range starts {
		end := len(text)
		if i+1 < len(starts) {
			end = starts[i+1][0]
		}
		verb := text[at[2]:at[3]]
		documented = append(documented, verb)
		checkExamples(t, verb, text[at[0]:end])
	}
	slices.Sort(documented)
	if !slices.Equal(documented, rule.Verbs()) {
		t.Errorf("documented are %v, verbs are %v", documented, rule.Verbs())
	}
}

func checkExamples(t *testing.T, verb, section string) {
	t.Helper()
	known := strings.Split(golden(t, verb), "\n")
	if verb == "out" {
		known = append(known, strings.Split(golden(t, "last"), "\n")...)
	}
	found := blocks.FindAllStringSubmatch(section, -1)
	if len(found) == 0 {
		t.Errorf("%s has no example", verb)
	}
	for _, block := range found {
		for _, line := range strings.Split(strings.TrimSpace(block[1]), "\n") {
			if !slices.Contains(known, line) || !strings.HasPrefix(line, verb+" ") {
				t.Errorf("the example %q of %s is not in its golden file", line, verb)
			}
		}
	}
}
