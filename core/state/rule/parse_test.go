package rule_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/state/rule"
)

// golden returns the text of a rule file in testdata/format1.
func golden(t testing.TB, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "format1", name+".rules"))
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// Guards against a version that compiles existing rules differently: these files and their results must never change.
func TestFormat1(t *testing.T) {
	files, err := filepath.Glob("testdata/format1/*.rules")
	if err != nil || len(files) < len(rule.Verbs()) {
		t.Fatalf("%d golden files, %v", len(files), err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".rules")
		t.Run(name, func(t *testing.T) {
			set, err := rule.Parse(golden(t, name))
			if err != nil {
				t.Fatal(err)
			}
			got, err := json.MarshalIndent(set, "", "\t")
			if err != nil {
				t.Fatal(err)
			}
			want, err := os.ReadFile(strings.TrimSuffix(file, ".rules") + ".json")
			if err != nil || !bytes.Equal(bytes.TrimSpace(want), got) {
				t.Fatalf("%v: got\n%s\nwant\n%s", err, got, want)
			}
		})
	}
}

// Guards against a verb whose meaning may change unnoticed because no golden file uses it.
func TestEveryVerbHasGoldenFile(t *testing.T) {
	for _, verb := range rule.Verbs() {
		if !strings.Contains(golden(t, verb), "\n"+verb+" ") && !strings.HasPrefix(golden(t, verb), verb+" ") {
			t.Errorf("testdata/format1/%s.rules does not use the verb", verb)
		}
	}
}

const baseRules = `format 1
change 7 # kari: test
zone oslo-a region=oslo # ola: first site
zone oslo-b region=oslo # ola: second site
service booking host=booking.example path=/boats # kari: boat booking
`

// rejectedLines are invalid as the line after baseRules; reason is a part of the problem's reason.
var rejectedLines = []struct {
	line   string
	column int
	reason string
}{
	{"zone oslo-c region=oslo", 24, "who asked"},
	{"zone oslo-c region=oslo #", 25, "who asked"},
	{"zone oslo-c region=oslo # only why", 25, "who asked"},
	{"zone oslo-c region=oslo # : why", 25, "who asked"},
	{"zone oslo-c region=oslo # ola:", 25, "who asked"},
	{"zone oslo-c # ola: x", 12, "not complete"},
	{"zone oslo-c region= # ola: x", 20, "not a name"},
	{"zone oslo-c site=oslo # ola: x", 13, "options are region="},
	{"zone -c region=oslo # ola: x", 6, "not a name"},
	{"zone oslo-a region=bergen # ola: x", 6, "already set on line 3"},
	{"zoen oslo-c region=oslo # ola: x", 1, "is not a rule"},
	{"change 8 # ola: x", 1, "only as header"},
	{"format 1 # ola: x", 1, "only as header"},
	{"service booking path=/other # ola: x", 9, "already set on line 5"},
	{"service twin host=booking.example path=/boats # ola: x", 9, "route host=booking.example path=/boats is already set"},
	{"service two host=Two.Example:80 # ola: x", 18, "not a host name"},
	{"service two host= # ola: x", 18, "not a host name"},
	{"service two path=two # ola: x", 18, "not a path prefix"},
	{"service two path=/two/* # ola: x", 18, "not a path prefix"},
	{"service two path=/a/../b # ola: x", 18, "not a path prefix"},
	{"service two path=/a path=/b # ola: x", 21, "repeated"},
	{"service two path=/a three # ola: x", 21, "not expected"},
	{"idempotent bokking GET /boats # ola: x", 12, `service "bokking" is not defined`},
	{"idempotent records GET /boats # ola: x", 12, `service "records" is not defined`},
	{"idempotent booking get /boats # ola: x", 20, "not a method"},
	{"idempotent booking GET,,HEAD /boats # ola: x", 20, "not a method"},
	{"idempotent booking GET,GET /boats # ola: x", 20, "repeated"},
	{"idempotent booking GET /free # ola: x", 24, "outside of path=/boats"},
	{"idempotent booking GET # ola: x", 23, "not complete"},
	{"limit booking slots=0 # ola: x", 21, "from 1 to"},
	{"limit booking slots=012 # ola: x", 21, "from 1 to"},
	{"limit booking slots=100001 # ola: x", 21, "from 1 to"},
	{"limit booking queue=-1 # ola: x", 21, "from 0 to"},
	{"limit booking slots=20 connections=10 # ola: x", 15, "every slot needs a connection"},
	{"limit booking # ola: x", 14, "not complete"},
	{"deadline booking 2 # ola: x", 18, "not a deadline"},
	{"deadline booking 0s # ola: x", 18, "not a deadline"},
	{"deadline booking 1m1s # ola: x", 18, "not a deadline"},
	{"deadline booking 61m # ola: x", 18, "not a deadline"},
	{"retry booking 101% # ola: x", 15, "from 0% to 100%"},
	{"retry booking 0.1 # ola: x", 15, "not a share"},
	{"retry booking -1% # ola: x", 15, "not a share"},
	{"hedge booking 5% after=p100 # ola: x", 24, "not a latency quantile"},
	{"hedge booking 5% after=p5 # ola: x", 24, "not a latency quantile"},
	{"hedge booking 100.1% # ola: x", 15, "from 0% to 100%"},
	{"probe booking 1e1% # ola: x", 15, "not a share"},
	{"spill booking 0% # ola: x", 15, "from 1% to 100%"},
	{"cold booking 0 # ola: x", 14, "from 1 to"},
	{"cold booking 13 # ola: x", 14, "than it has slots (12)"},
	{"priority booking urgent /boats # ola: x", 18, "not a priority"},
	{"priority booking high boats # ola: x", 23, "not a path prefix"},
	{"out zone oslo-d # ola: x", 10, `zone "oslo-d" is not defined`},
	{"out zone bergen # ola: x", 10, `zone "bergen" is not defined`},
	{"out zone oslo-a last # ola: x", 17, "not the last one"},
	{"out zone oslo-a now # ola: x", 17, `only the word "last"`},
	{"out vm booking-3 # ola: x", 5, "cannot be taken out"},
	{"out backend booking-3 last # ola: x", 23, "not expected"},
	{"out zone oslo-a # ola: x\x01", 25, "U+0001"},
	{"out zone \u202eoslo-a # ola: x", 10, "U+202E"},
	{"out zøne oslo-a # ola: x", 5, "cannot be taken out"},
	{"retry  booking 10% 20% # ola: x", 20, "not expected"},
}

// Guards against accepting invalid rules, against problems with a wrong position, and against examples that are rejected
// themselves.
func TestRejectedLines(t *testing.T) {
	for _, c := range rejectedLines {
		t.Run(c.line, func(t *testing.T) {
			_, err := rule.Parse(baseRules + c.line + "\n")
			problems, _ := err.(rule.Problems)
			if len(problems) != 1 {
				t.Fatalf("%d problems: %v", len(problems), err)
			}
			p := problems[0]
			if p.Line != 6 || p.Column != c.column || !strings.Contains(p.Reason, c.reason) {
				t.Fatalf("got %+v, want column %d and %q", p, c.column, c.reason)
			}
			repeats := strings.Contains(p.Reason, "already set") || strings.Contains(p.Reason, "header")
			if _, err := rule.Parse(baseRules + p.Example + "\n"); err != nil && !repeats {
				t.Fatalf("the example %q is rejected: %v", p.Example, err)
			}
		})
	}
}

// Guards against two rules for the same thing, of which one would override the other unnoticed.
func TestRepeatedRules(t *testing.T) {
	for _, verb := range []string{"limit", "deadline", "retry", "hedge", "probe", "cold", "spill", "out"} {
		text := baseRules + rule.Example(verb) + "\n"
		if _, err := rule.Parse(text); err != nil {
			t.Fatal(err)
		}
		_, err := rule.Parse(text + rule.Example(verb) + "\n")
		if problems, _ := err.(rule.Problems); len(problems) != 1 || problems[0].Line != 7 {
			t.Errorf("%s twice: %v", verb, err)
		}
	}
	for _, line := range []string{"idempotent booking GET /boats/free # a: b\n", "priority booking low /boats/free # a: b\n"} {
		if _, err := rule.Parse(baseRules + line + line); err == nil {
			t.Errorf("%q twice is accepted", line)
		}
	}
}

// Guards against taking the last zone out of service by an ordinary edit, without the word "last".
func TestLastZone(t *testing.T) {
	out := baseRules + "out zone oslo-a # ola: x\nout zone oslo-b # ola: x\n"
	_, err := rule.Parse(out)
	problems, _ := err.(rule.Problems)
	if len(problems) != 1 || problems[0].Example != "out zone oslo-b last # ola: x" {
		t.Fatalf("got %v", err)
	}
	if _, err := rule.Parse(strings.Replace(out, "oslo-b # ola: x", "oslo-b last # ola: x", 1)); err != nil {
		t.Fatal(err)
	}
}

// Guards against a parser that stops at the first problem: an operator who has to take a zone out of service would need
// one attempt per problem.
func TestAllProblemsAtOnce(t *testing.T) {
	_, err := rule.Parse("format 2\nchange x # kari: y\nout zone a # b: c\ncold b 1\nservice b c # d: e\ncold b 0 # f: g\n")
	var lines []int
	problems, _ := err.(rule.Problems)
	for _, p := range problems {
		lines = append(lines, p.Line)
	}
	if fmt.Sprint(lines) != "[1 2 3 4 5 6]" {
		t.Fatalf("problems on lines %v: %v", lines, err)
	}
}

// Guards against accepting texts that are not rule files, or rule files in another encoding, and against problems that do
// not say so.
func TestMalformedFiles(t *testing.T) {
	const ok = "format 1\nchange 7 # kari: test\n"
	cases := map[string]struct{ text, reason string }{
		"empty":          {"", "the file is empty"},
		"one line":       {"format 1\n", "second line"},
		"no format":      {"change 7 # kari: test\n", `the first line must be "format 1"`},
		"other format":   {"format 2\nchange 7 # kari: test\n", "format \"2\" is unknown"},
		"bare format":    {"format\nchange 7 # kari: test\n", "format number is missing"},
		"bare change":    {"format 1\nchange # kari: test\n", "number of the change is missing"},
		"number 0":       {"format 1\nchange 0 # kari: test\n", "not a change number"},
		"leading zero":   {"format 1\nchange 07 # kari: test\n", "not a change number"},
		"too high":       {"format 1\nchange 9223372036854775808 # kari: test\n", "not a change number"},
		"no reason":      {"format 1\nchange 7\n", "who asked"},
		"byte order":     {"\ufeff" + ok, "byte order mark"},
		"utf-16":         {"f\x00o\x00r\x00m\x00a\x00t\x00", "U+0000"},
		"latin-1":        {ok + "# J\xf8rgen: x\n", "0xf8"},
		"nul":            {ok + "\x00", "U+0000"},
		"carriage":       {"format 1\rchange 7 # kari: test\r", "U+000D"},
		"too large":      {ok + strings.Repeat("#\n", rule.MaxFileSize/2), "larger than 1048576"},
		"line separator": {ok + "# a\u2028b\n", "U+2028"},
	}
	for name, c := range cases {
		if _, err := rule.Parse(c.text); err == nil || !strings.Contains(err.Error(), c.reason) {
			t.Errorf("%s: %v, want %q", name, err, c.reason)
		}
	}
	if _, err := rule.Parse(ok + strings.Repeat("#\n", (rule.MaxFileSize-len(ok))/2)); err != nil {
		t.Errorf("the largest file: %v", err)
	}
}

// Guards against an answer as long as an invalid file, and against minutes of work for it.
func TestManyProblems(t *testing.T) {
	_, err := rule.Parse(strings.Repeat("x\n", rule.MaxFileSize/2))
	if problems, _ := err.(rule.Problems); len(problems) != 100 || !strings.Contains(err.Error(), "more problems") {
		t.Fatalf("%d problems", len(problems))
	}
}

// Guards against a Set that needs Parse to find routes and defaults: tests of other packages build one without it.
func TestSetWithoutParse(t *testing.T) {
	set := &rule.Set{Services: map[string]rule.Service{"booking": {Name: "booking"}}}
	s, ok := set.ServiceFor("any.example", "/x")
	if !ok || s.Slots != rule.DefaultSlots || s.Deadline != 2*time.Second || s.SpillThreshold != rule.DefaultSpillThreshold {
		t.Fatalf("%+v %v", s, ok)
	}
}

// ruleLikeTexts draws texts of words that occur in rules, most of which are invalid.
func ruleLikeTexts() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		var text strings.Builder
		text.WriteString(rapid.SampledFrom([]string{"format 1\nchange 7 # a: b\n", ""}).Draw(t, "head"))
		tokens := append(rule.Verbs(), "booking", "oslo", "zone", "last", "host=a", "path=/", "region=x", "slots=1",
			"10%", "2s", "p95", "/a", "GET", "# a: b\n", "#", "\n", "\r\n", "\xff", "\x00", "ø", "=", "")
		for _, w := range rapid.SliceOfN(rapid.SampledFrom(tokens), 0, 60).Draw(t, "tokens") {
			text.WriteString(w + " ")
		}
		return text.String()
	})
}

// checkParse checks what holds for every text: no panic, a deterministic result, and problems that are in order and have
// positions in the text.
func checkParse(t testing.TB, text string) {
	set, err := rule.Parse(text)
	secondSet, secondErr := rule.Parse(text)
	if !reflect.DeepEqual(set, secondSet) || !reflect.DeepEqual(err, secondErr) {
		t.Fatalf("two results for %q", text)
	}
	if (set == nil) == (err == nil) {
		t.Fatalf("set %v and error %v", set, err)
	}
	problems, _ := err.(rule.Problems)
	for i, p := range problems {
		if p.Line < 1 || p.Column < 1 || p.Reason == "" || p.Line > strings.Count(text, "\n")+2 {
			t.Fatalf("problem %+v for %q", p, text)
		}
		if i > 0 && p.Line < problems[i-1].Line {
			t.Fatalf("problems out of order: %v", problems)
		}
	}
	if n := len(rule.Attributions(text)); n > strings.Count(text, "\n")+1 {
		t.Fatalf("%d attributions for %q", n, text)
	}
}

// Guards against a rule file that crashes the control processes, and against verdicts on it that differ between them.
func TestParseIsDeterministic(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) { checkParse(t, ruleLikeTexts().Draw(r, "text")) })
}

// Guards against the same failures as TestParseIsDeterministic; go test runs the seed corpus only.
func FuzzParse(f *testing.F) {
	for _, verb := range append(rule.Verbs(), "page", "bytes", "last") {
		f.Add(golden(f, verb))
	}
	for _, c := range rejectedLines {
		f.Add(baseRules + c.line)
	}
	f.Fuzz(func(t *testing.T, text string) { checkParse(t, text) })
}
