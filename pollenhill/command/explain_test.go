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
	if code := command.Run(t.Context(), []string{"pollenhill", "explain", "absent", played}, streams); code != command.ExitRefused {
		t.Errorf("exit code %d", code)
	}
}
