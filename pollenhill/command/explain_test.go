package command_test

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"

	"pollenhill.example/pollenhill/command"
)

// Log lines of nodes, recorded in scenario runs.
const (
	failedCallsLog = "../state/cause/testdata/failed_calls.log"
	hedgedCallLog  = "../state/cause/testdata/hedged_call.log"
)

// pageExamples matches the request ID and the output of each example of explain on the operations page.
var pageExamples = regexp.MustCompile("(?s)```\n\\$ pollenhill explain (\\S+) \\*\\.log\n(.*?)```")

// Guards against examples on the page for on-call engineers that differ from what the program prints, and against log
// lines without the fields that lead from the ID of a failed request to its cause. Both come about when log fields or the
// output of explain change.
func TestOperationsPageMatchesRecordedLog(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	log, err := os.ReadFile(failedCallsLog)
	if err != nil {
		t.Fatal(err)
	}
	examples := pageExamples.FindAllSubmatch(page, -1)
	if len(examples) != 3 {
		t.Fatalf("%d examples, want three kinds of failed request", len(examples))
	}
	for _, m := range examples {
		stdout, stderr := &bytes.Buffer{}, &bytes.Buffer{}
		streams := command.Streams{In: bytes.NewReader(log), Out: stdout, Err: stderr}
		if code := command.Run(t.Context(), []string{"pollenhill", "explain", string(m[1]), "-"}, streams); code != command.ExitOK {
			t.Errorf("%s: exit code %d: %s", m[1], code, stderr)
		}
		if stdout.String() != string(m[2]) {
			t.Errorf("%s: the page shows\n%s\nthe program prints\n%s", m[1], m[2], stdout)
		}
	}
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "{") && !strings.Contains(string(log), strings.TrimSpace(line)) {
			t.Errorf("the page shows a log line that %s does not hold: %s", failedCallsLog, line)
		}
	}
}

// Guards against a request that was refused for its key, of which the log has another event than of other calls.
func TestExplainRefusedKey(t *testing.T) {
	const line = `{"level":"info","ts":1779722111.0,"msg":"request without a known key refused","process":"oslo-1","event":1030,` +
		`"stamp":"1779722111000000.0","request":"r1","sent":true,"revision":7,"status":401,"outcome":"not-run","reason":"key"}` + "\n"
	stdout := &bytes.Buffer{}
	streams := command.Streams{In: strings.NewReader(line), Out: stdout, Err: &bytes.Buffer{}}
	code := command.Run(t.Context(), []string{"pollenhill", "explain", "r1", "-"}, streams)
	if out := stdout.String(); code != command.ExitOK || !strings.Contains(out, "at oslo-1: status 401") || !strings.Contains(out, "before any attempt: key") {
		t.Errorf("exit code %d: %s", code, out)
	}
}

// Guards against explaining a request by the log lines of another one, when its own lines are missing.
func TestExplainUnknownRequest(t *testing.T) {
	streams := command.Streams{In: strings.NewReader(""), Out: &bytes.Buffer{}, Err: &bytes.Buffer{}}
	if code := command.Run(t.Context(), []string{"pollenhill", "explain", "absent", failedCallsLog}, streams); code != command.ExitCheckFailed {
		t.Errorf("exit code %d", code)
	}
}

// Guards against an explanation that does not mark a hedged attempt as such, and against one that leaves out why a back
// end was chosen: how long it had been fast.
func TestExplainHedgedCall(t *testing.T) {
	stdout := &bytes.Buffer{}
	streams := command.Streams{In: strings.NewReader(""), Out: stdout, Err: &bytes.Buffer{}}
	args := []string{"pollenhill", "explain", "b69722f6bc9102d5", hedgedCallLog}
	if code := command.Run(t.Context(), args, streams); code != command.ExitOK {
		t.Fatalf("exit code %d", code)
	}
	for _, want := range []string{
		"1. i-0013c9f0f4 at sidecar-bkk-b-1, chosen by a report 39ms old (pace 1.00, load 3, fast for 109ms): unknown, cancelled",
		"2. i-fb046d7daa at sidecar-bkk-b-2, chosen by a report 65ms old (pace 1.00, load 4, fast for 198ms), beside or after a run: status 200",
	} {
		if !strings.Contains(stdout.String(), want) {
			t.Errorf("the program prints\n%s\nwant a line with %s", stdout, want)
		}
	}
}
