package rule_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pollenhill.example/core/state/rule"
)

// ruleTexts draws texts from a few different lines, so that lines repeat and move, with every kind of line ending.
func ruleTexts() *rapid.Generator[string] {
	lines := rapid.SampledFrom([]string{"a\n", "b\n", "c\r\n", "\n", "d", "\xff\n", "\x00", "ø\n"})
	return rapid.Map(rapid.SliceOfN(lines, 0, 40), func(parts []string) string { return strings.Join(parts, "") })
}

// Guards against a node whose rules differ from the accepted text after a delta, even by one byte.
func TestPatchOfDiffIsIdentity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, text := ruleTexts().Draw(t, "old"), ruleTexts().Draw(t, "text")
		edits := rule.Diff(old, text)
		got, err := rule.Patch(old, edits, rule.Hash(text))
		if err != nil || got != text {
			t.Fatalf("patch of %q by %v gives %q, %v; want %q", old, edits, got, err, text)
		}
	})
}

// Guards against deltas that contain the lines between two distant edits, up to the whole file.
func TestDiffIsSmall(t *testing.T) {
	var old strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&old, "line %d\n", i)
	}
	text := strings.Replace(strings.Replace(old.String(), "line 1\n", "line one\n", 1), "line 900\n", "", 1)
	edits := rule.Diff(old.String(), text)
	want := []rule.Edit{{Start: 1, Count: 1, Lines: []string{"line one\n"}}, {Start: 900, Count: 1}}
	if fmt.Sprint(edits) != fmt.Sprint(want) {
		t.Fatalf("edits %v, want %v", edits, want)
	}
}

// Guards against unbounded memory for texts that share almost no lines: above maxEditDistance, Diff returns one edit,
// which must still lead to the new text.
func TestDiffOfUnrelatedTexts(t *testing.T) {
	old := "same\n" + strings.Repeat("a\n", 2000) + "end\n"
	text := "same\n" + strings.Repeat("b\n", 2000) + "end\n"
	edits := rule.Diff(old, text)
	if got, err := rule.Patch(old, edits, rule.Hash(text)); err != nil || got != text || len(edits) != 1 {
		t.Fatalf("%d edits, %v", len(edits), err)
	}
}

// targetSizeFile returns a rule file of the size that the design is for: 14 zones and 110 services.
func targetSizeFile() string {
	var b strings.Builder
	b.WriteString("format 1\nchange 7 # kari: test\n")
	for i := range 14 {
		fmt.Fprintf(&b, "zone zone-%d region=region-%d # ola: site\n", i, i%5)
	}
	for i := range 110 {
		fmt.Fprintf(&b, "service service-%d host=service-%d.example path=/ # kari: x\n", i, i)
		for _, verb := range []string{"idempotent", "limit", "deadline", "retry", "hedge", "probe", "cold", "spill", "priority"} {
			b.WriteString(strings.Replace(rule.Example(verb), " booking ", fmt.Sprintf(" service-%d ", i), 1) + "\n")
		}
	}
	return b.String()
}

func BenchmarkParse(b *testing.B) {
	text := targetSizeFile()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := rule.Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

// Measures a change of the change line and of a zone at the end; bytes/delta is the size of the lines in the edits.
func BenchmarkDiff(b *testing.B) {
	old := targetSizeFile()
	text := strings.Replace(old, "change 7", "change 8", 1) + "out zone zone-3 # kari: rewiring\n"
	bytes := 0
	for b.Loop() {
		bytes = 0
		for _, e := range rule.Diff(old, text) {
			bytes += len(strings.Join(e.Lines, ""))
		}
	}
	b.ReportMetric(float64(bytes), "bytes/delta")
	b.ReportMetric(float64(len(text)), "bytes/file")
}

// Guards against a corrupted delta that a node applies or that crashes it: edits outside of the text, out of order, or
// with a result of another hash.
func TestPatchRejectsCorruptedEdits(t *testing.T) {
	const old = "a\nb\n"
	cases := map[string][]rule.Edit{
		"wrong line":    {{Start: 1, Count: 1, Lines: []string{"x\n"}}},
		"beyond end":    {{Start: 3}},
		"count too big": {{Start: 1, Count: 2}},
		"overflow":      {{Start: 1, Count: int(^uint(0) >> 1)}},
		"negative":      {{Start: -1}},
		"out of order":  {{Start: 1, Count: 1}, {Start: 0, Count: 1}},
	}
	for name, edits := range cases {
		if got, err := rule.Patch(old, edits, rule.Hash("a\nc\n")); err == nil {
			t.Errorf("%s: no error, result %q", name, got)
		}
	}
}

// Guards against a line that is attributed to a change which did not touch it: kept lines must keep their numbers when
// lines before them are added or removed.
func TestLineChangeNumbers(t *testing.T) {
	first, second, third := "a\nb\nc\n", "a\nx\nc\n", "a\nc\nd\n"
	since := rule.LineChangeNumbers("", nil, first, 1)
	since = rule.LineChangeNumbers(first, since, second, 2)
	if fmt.Sprint(since) != "[1 2 1]" {
		t.Fatalf("after the second change: %v", since)
	}
	since = rule.LineChangeNumbers(second, since, third, 3)
	if fmt.Sprint(since) != "[1 1 3]" {
		t.Fatalf("after the third change: %v", since)
	}
}

// Guards against a history of changes without their reasons.
func TestChangeReason(t *testing.T) {
	if got := rule.ChangeReason(baseRules); got != "kari: test" {
		t.Errorf("got %q", got)
	}
	if got := rule.ChangeReason("format 1\n"); got != "" {
		t.Errorf("without change line: %q", got)
	}
}
