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
	codeBlock   = regexp.MustCompile("(?s)```\n(.*?)```")
	verbSection = regexp.MustCompile("(?m)^### `([a-z]+)`$")
)

// Guards against a page for operators that shows rules which are rejected, or that leaves out a verb. Every example must
// be a line of the golden file of its verb, which TestFormat1 parses.
func TestRulesPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/rules.md")
	if err != nil {
		t.Fatal(err)
	}
	text := string(page)
	if block := codeBlock.FindStringSubmatch(text); block == nil || block[1] != golden(t, "page") {
		t.Error("the whole file is not testdata/format1/page.rules")
	}
	if _, err := rule.Parse(golden(t, "page")); err != nil {
		t.Error(err)
	}
	var documented []string
	headings := verbSection.FindAllStringSubmatchIndex(text, -1)
	for i, heading := range headings {
		end := len(text)
		if i+1 < len(headings) {
			end = headings[i+1][0]
		}
		verb := text[heading[2]:heading[3]]
		documented = append(documented, verb)
		checkExamples(t, verb, text[heading[0]:end])
	}
	slices.Sort(documented)
	if !slices.Equal(documented, rule.Verbs()) {
		t.Errorf("documented are %v, verbs are %v", documented, rule.Verbs())
	}
}

// checkExamples requires that the section of a verb has examples and that they are lines of its golden file.
func checkExamples(t *testing.T, verb, section string) {
	t.Helper()
	goldenLines := strings.Split(golden(t, verb), "\n")
	if verb == "out" {
		goldenLines = append(goldenLines, strings.Split(golden(t, "last"), "\n")...)
	}
	examples := codeBlock.FindAllStringSubmatch(section, -1)
	if len(examples) == 0 {
		t.Errorf("%s has no example", verb)
	}
	for _, block := range examples {
		for _, line := range strings.Split(strings.TrimSpace(block[1]), "\n") {
			if !slices.Contains(goldenLines, line) || !strings.HasPrefix(line, verb+" ") {
				t.Errorf("the example %q of %s is not in its golden file", line, verb)
			}
		}
	}
}
