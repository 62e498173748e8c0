package command_test

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"

	"pollenhill.example/pollenhill/command"
)

const played = "../state/cause/testdata/played.log"

var examples = regexp.MustCompile("(?s)```\n\\$ pollenhill explain (\\S+) \\*\\.log\n(.*?)```")

// Guards against a page for on-call engineers that shows what the program does not print, and against log lines that
// lack what leads from the ID of a failed request to its cause. The lines are from a played day.
func TestOperationsPageMatchesPlayedLines(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	log, err := os.ReadFile(played)
	if err != nil {
		t.Fatal(err)
	}
	found := examples.FindAllSubmatch(page, -1)
	if len(found) != 3 {
		t.Fatalf("%d examples, want three kinds of failed request", len(found))
	}
	for _, m := range found {
		out, errs := &bytes.Buffer{}, &bytes.Buffer{}
		streams := command.Streams{In: bytes.NewReader(log), Out: out, Err: errs}
		if code := command.Run(t.Context(), []string{"pollenhill", "explain", string(m[1]), "-"}, streams); code != command.ExitOK {
			t.Errorf("%s: exit code %d: %s", m[1], code, errs)
		}
		if out.String() != string(m[2]) {
			t.Errorf("%s: the page shows\n%s\nprinted is\n%s", m[1], m[2], out)
		}
	}
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "{") && !strings.Contains(string(log), strings.TrimSpace(line)) {
			t.Errorf("the page shows a line that was not played: %s", line)
		}
	}
}

// Guards against a request that is explained by the lines of another one.
func TestExplainUnknownRequest(t *testing.T) {
	streams := command.Streams{In: strings.NewReader(""), Out: &bytes.Buffer{}, Err: &bytes.Buffer{}}
	if code := command.Run(t.Context(), []string{"pollenhill", "explain", "absent", played}, streams); code != command.ExitCheckFailed {
		t.Errorf("exit code %d", code)
	}
}

// Guards against a hedge that looks like an attempt of its own, and against a choice whose reason is not told: how long
// the back end had been fast. The line is from a played day.
func TestExplainHedgedCall(t *testing.T) {
	out := &bytes.Buffer{}
	streams := command.Streams{In: strings.NewReader(""), Out: out, Err: &bytes.Buffer{}}
	args := []string{"pollenhill", "explain", "b69722f6bc9102d5", "../state/cause/testdata/hedged.log"}
	if code := command.Run(t.Context(), args, streams); code != command.ExitOK {
		t.Fatalf("exit code %d", code)
	}
	for _, want := range []string{
		"1. i-0013c9f0f4 at sidecar-bkk-b-1, chosen by a report 39ms old (pace 1.00, load 3, fast for 109ms): unknown, cancelled",
		"2. i-fb046d7daa at sidecar-bkk-b-2, chosen by a report 65ms old (pace 1.00, load 4, fast for 198ms), beside or after a run: status 200",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("printed is\n%s\nwant a line with %s", out, want)
		}
	}
}
