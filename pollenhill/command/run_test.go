package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/control/controlconnect"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/pollenhill/command"
)

const rules = `format 1
change 7 # kari: zone b is rewired tonight
zone oslo-a region=oslo # ola: first site
zone oslo-b region=oslo # ola: second site
service booking path=/ # kari: boat booking
out zone oslo-b # kari: rewiring
out backend booking-3 # ola: broken disk
`

// process is a control process that answers from fixed state.
type process struct {
	controlconnect.UnimplementedControlHandler
	status *control.StatusResponse
	rules  *control.RulesResponse
}

func (p *process) Status(context.Context, *connect.Request[control.StatusRequest]) (*connect.Response[control.StatusResponse], error) {
	if p.status == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("starting"))
	}
	return connect.NewResponse(p.status), nil
}

func (p *process) Rules(context.Context, *connect.Request[control.RulesRequest]) (*connect.Response[control.RulesResponse], error) {
	if p.rules == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("starting"))
	}
	return connect.NewResponse(p.rules), nil
}

// serve starts p on a loopback address and returns the address.
func serve(t *testing.T, p *process) string {
	t.Helper()
	_, handler := controlconnect.NewControlHandler(p)
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func inForce(number uint64, text string) *control.RulesResponse {
	return &control.RulesResponse{
		Rules: &control.Rules{Revision: number + 100, Number: number, Text: text, Hash: rule.Hash(text)},
		Changes: []*control.Change{
			{Number: number - 1, Revision: number + 99, Time: 1_700_000_000_000, Origin: "control-2", Reason: "ola: before"},
			{Number: number, Revision: number + 100, Time: 1_800_000_000_000, Origin: "control-1", Reason: "kari: now"},
		},
	}
}

func healthy() *process {
	backend := func(name string, state control.State) *control.Backend {
		return &control.Backend{Name: name, Service: "booking", Address: "127.0.0.9:80", Slots: 12, Connections: 240, State: state}
	}
	return &process{
		rules: inForce(7, rules),
		status: &control.StatusResponse{
			Id: "control-1/5f0a", Leader: "control-1", Term: 3, Applied: 42, Current: true, Revision: 107, Number: 7,
			Voters: []string{"control-1", "control-2"}, Learners: []string{"control-3"},
			Members: []*control.Member{
				{Node: "node-2", Zone: "oslo-b", Region: "oslo", Address: "127.0.0.2:81", Backends: []*control.Backend{backend("booking-2", control.State_STATE_COLD)}},
				{Node: "node-1", Zone: "oslo-a", Region: "oslo", Address: "127.0.0.1:81", Backends: []*control.Backend{backend("booking-3", control.State_STATE_READY)}},
				{Node: "node-9", Zone: "oslo-c", Region: "oslo", Address: "127.0.0.3:81"},
			},
		},
	}
}

// run carries out one command line.
func run(t *testing.T, in string, args ...string) (code int, out, err string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	streams := command.Streams{In: strings.NewReader(in), Out: &stdout, Err: &stderr}
	code = command.Run(context.Background(), append([]string{"pollenhill"}, args...), streams)
	return code, stdout.String(), stderr.String()
}

// file writes a file for one test.
func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// want checks the exit code and parts of the output.
func want(t *testing.T, code, wantCode int, out string, parts ...string) {
	t.Helper()
	if code != wantCode {
		t.Fatalf("exit code %d, want %d; output:\n%s", code, wantCode, out)
	}
	for _, part := range parts {
		if !strings.Contains(out, part) {
			t.Fatalf("the output lacks %q:\n%s", part, out)
		}
	}
}

// Guards against exit codes other than the documented ones, and against errors without a next step.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		args []string
		code int
		err  string
	}{
		{[]string{}, command.ExitOK, ""},
		{[]string{"chek"}, command.ExitUsage, `"chek" is not a command`},
		{[]string{"check"}, command.ExitUsage, "needs FILE"},
		{[]string{"check", "a", "b"}, command.ExitUsage, `"b" is not expected`},
		{[]string{"check", "/does/not/exist"}, command.ExitFileError, "no such file"},
		{[]string{"status"}, command.ExitUsage, "POLLENHILL_CONTROL"},
		{[]string{"status", "--foo"}, command.ExitUsage, "pollenhill status --help"},
		{[]string{"status", "--control", "localhost"}, command.ExitUsage, "want an IP address and a port"},
		{[]string{"status", "--control", "127.0.0.1:1", "--bind", "x"}, command.ExitUsage, "want an IP address"},
		{[]string{"status", "--control", "127.0.0.1:1"}, command.ExitUnreachable, "127.0.0.1:1"},
		{[]string{"show", "--control", "127.0.0.1:1", "--control", "127.0.0.1:2"}, command.ExitUnreachable, "127.0.0.1:2"},
		{[]string{"show", "--control", "127.0.0.1:1", "--ca", "/does/not/exist"}, command.ExitFileError, "TLS"},
		{[]string{"refusal", "bogus"}, command.ExitUsage, "reasons are none, full"},
		{[]string{"timeline"}, command.ExitUsage, "needs FILE"},
		{[]string{"timeline", "/does/not/exist"}, command.ExitFileError, "no such file"},
	}
	t.Setenv("POLLENHILL_CONTROL", "")
	for _, c := range cases {
		code, _, err := run(t, "", c.args...)
		if code != c.code || !strings.Contains(err, c.err) {
			t.Errorf("%v: exit code %d, %q; want %d, %q", c.args, code, err, c.code, c.err)
		}
	}
}

// Guards against a check that lets a wrong file pass, or that hides where it is wrong.
func TestCheck(t *testing.T) {
	code, out, _ := run(t, rules, "check", "-")
	want(t, code, command.ExitOK, out, "good: change 7, zones: 2, services: 1")

	code, out, _ = run(t, "", "check", file(t, rules+"cold booking 0 # a: b\n"))
	want(t, code, command.ExitCheckFailed, out, "line 8, column 14", "for example: cold booking 12 # a: b")

	code, out, _ = run(t, "format 1\nchange 7\n", "check", "--json", "-")
	var result struct {
		Good     bool
		Problems []rule.Problem
	}
	if err := json.Unmarshal([]byte(out), &result); err != nil || result.Good || len(result.Problems) != 1 || code != command.ExitCheckFailed {
		t.Fatalf("%d %v %s", code, err, out)
	}
}

// Guards against an edit that drops a line of somebody else unnoticed, and against a number that does not follow.
func TestCheckAgainstRulesInForce(t *testing.T) {
	address := serve(t, healthy())
	next := strings.Replace(strings.Replace(rules, "change 7", "change 8", 1), "out backend booking-3 # ola: broken disk\n", "", 1)
	code, out, _ := run(t, next, "check", "--control", address, "-")
	want(t, code, command.ExitOK, out, "- out backend booking-3", "+ change 8")

	code, out, _ = run(t, strings.Replace(rules, "change 7", "change 9", 1), "check", "--control", address, "-")
	want(t, code, command.ExitCheckFailed, out, "change 9 does not follow change 7", "change 8 # kari: zone b")

	code, out, _ = run(t, rules, "check", "--control", "127.0.0.1:1", "-")
	want(t, code, command.ExitUnreachable, out, "good: change 7")
}

// Guards against rules that read differently from what was accepted, or that hide who asked for them.
func TestShow(t *testing.T) {
	address := serve(t, healthy())
	code, out, _ := run(t, "", "show", "--control", address, "--text")
	if code != command.ExitOK || out != rules {
		t.Fatalf("exit code %d, text %q", code, out)
	}
	code, out, _ = run(t, "", "show", "--control", address, "--history", "5")
	want(t, code, command.ExitOK, out, "change 7, revision 107, in force since 2027-01-15T08:00:00Z, from control-1",
		"kari  rewiring", "out zone oslo-b\n", "ola: before")
	code, out, _ = run(t, "", "show", "--json", "--control", address)
	var shown struct {
		Text  string
		Lines []rule.Attribution
	}
	if err := json.Unmarshal([]byte(out), &shown); err != nil || shown.Text != rules || shown.Lines[5].Author != "kari" || code != 0 {
		t.Fatalf("%d %v %s", code, err, out)
	}
}

// Guards against showing old rules of a process that is cut off, damaged rules, or nothing because one is down.
func TestShowTakesNewestRules(t *testing.T) {
	old, newer, starting := healthy(), healthy(), &process{}
	newer.rules = inForce(8, strings.Replace(rules, "change 7", "change 8", 1))
	code, out, _ := run(t, "", "show", "--control", serve(t, starting), "--control", serve(t, old), "--control", serve(t, newer))
	want(t, code, command.ExitOK, out, "change 8, revision 108")

	damaged := healthy()
	damaged.rules.Rules.Hash++
	code, _, errText := run(t, "", "show", "--control", serve(t, damaged))
	want(t, code, command.ExitUnreachable, errText, "have hash")

	empty := &process{rules: &control.RulesResponse{}}
	code, out, _ = run(t, "", "show", "--control", serve(t, empty))
	want(t, code, command.ExitOK, out, "no rules are in force yet")
}

// Guards against a status that hides a zone or back end that is out, or a process that does not answer.
func TestStatus(t *testing.T) {
	address := serve(t, healthy())
	code, out, _ := run(t, "", "status", "--control", address+",127.0.0.1:1")
	want(t, code, command.ExitOK, out, "leader", "no answer", "connection refused",
		"voters: control-1, control-2\nlearners: control-3\n",
		"oslo-b  oslo    out", "in, not in the rules", "ready, out", "booking-2")

	code, out, _ = run(t, "", "status", "--control", address, "--zone", "oslo-b", "--service", "booking")
	want(t, code, command.ExitOK, out, "booking-2")
	if strings.Contains(out, "booking-3") || strings.Contains(out, "node-9") {
		t.Fatalf("the filters let other nodes through:\n%s", out)
	}
	code, out, _ = run(t, "", "--json", "status", "--control", address)
	var s struct {
		Zones []struct {
			Name string
			Cold int
			Out  bool
		}
	}
	if err := json.Unmarshal([]byte(out), &s); err != nil || code != 0 || len(s.Zones) != 3 || !s.Zones[1].Out || s.Zones[1].Cold != 1 {
		t.Fatalf("%d %v %s", code, err, out)
	}
}

// Guards against old state that is taken for the present one when the group has no quorum.
func TestStatusNotCurrent(t *testing.T) {
	cut := healthy()
	cut.status.Current = false
	cut.status.Leader = ""
	cut.rules = nil
	code, out, errText := run(t, "", "status", "--control", serve(t, cut))
	want(t, code, command.ExitStale, out+errText, "follower, not current", "is confirmed by a quorum; the state may be old", "oslo    unknown", "node-1")
}

// Guards against showing the nodes that a process knows which is cut off and has more of the log.
func TestStatusPrefersCurrent(t *testing.T) {
	cut := healthy()
	cut.status.Id, cut.status.Current, cut.status.Applied, cut.status.Members = "control-2", false, 1000, nil
	code, out, _ := run(t, "", "status", "--control", serve(t, cut), "--control", serve(t, healthy()))
	want(t, code, command.ExitOK, out, "node-1")
}

// Guards against an explanation that does not find the reason in a header line.
func TestRefusal(t *testing.T) {
	code, out, _ := run(t, "", "refusal", `Proxy-Status: cold-1; error=destination_unavailable; details="zone-out"; level=0`)
	want(t, code, command.ExitOK, out, "zone-out\n", "remove the line")
	code, out, _ = run(t, "", "refusal", "--json", "no-quorum")
	want(t, code, command.ExitOK, out, `"reason": "no-quorum"`)
	code, out, _ = run(t, "", "refusal")
	want(t, code, command.ExitOK, out, "full\n", "route\n")
}

// Guards against events out of order, lost events, and a filter that selects the wrong ones.
func TestTimeline(t *testing.T) {
	a := file(t, `{"level":"info","ts":1,"msg":"attempt refused","process":"node-1","event":1004,"stamp":"1800000000000002.0","attempt":"node-2/1/7","zone":"oslo-a"}
{"msg":"node stopped","process":"a-node","event":1002,"stamp":"1800000000000003.1"}
{"msg":"half a li`)
	b := file(t, `{"msg":"leader changed","process":"control-1","event":2002,"stamp":"1800000000000003.0","leader":"control-2"}
{"msg":"rules in force","process":"node-2","event":1005,"stamp":"1800000000000001.0","revision":18446744073709551615}
`)
	code, out, errText := run(t, "", "timeline", a, b)
	want(t, code, command.ExitOK, out, "2027-01-15 08:00:00.000003+1  a-node", "revision=18446744073709551615", "attempt=node-2/1/7")
	want(t, code, command.ExitOK, errText, "file:3: not a JSON object")
	order := []string{"rules in force", "attempt refused", "leader changed", "node stopped"}
	for i, name := range order[1:] {
		if strings.Index(out, order[i]) > strings.Index(out, name) {
			t.Fatalf("%q comes after %q:\n%s", order[i], name, out)
		}
	}
	filters := map[string][]string{
		"attempt refused": {"--request", "node-2/1/7"},
		"leader changed":  {"--peer", "control-2"},
		"node stopped":    {"--event", "1002", "--peer", "a-node"},
		"rules in force":  {"--event", "Rules in Force"},
	}
	for name, args := range filters {
		_, out, _ := run(t, "", append([]string{"timeline", a, b, "--json"}, args...)...)
		if strings.Count(out, "\n") != 1 || !strings.Contains(out, name) {
			t.Errorf("%v gives %q", args, out)
		}
	}
	_, out, _ = run(t, "", "timeline", "--zone", "oslo-a", a, b)
	if strings.Count(out, "\n") != 1 {
		t.Errorf("zone filter: %q", out)
	}
}

// Guards against a completion script that the shells cannot load because it is missing.
func TestCompletion(t *testing.T) {
	for shell, part := range map[string]string{"bash": "pollenhill", "zsh": "pollenhill", "fish": "pollenhill", "pwsh": "Register-ArgumentCompleter"} {
		code, out, _ := run(t, "", "completion", shell)
		want(t, code, command.ExitOK, out, part)
	}
	code, out, _ := run(t, "", "refusal", "--generate-shell-completion")
	want(t, code, command.ExitOK, out, "zone-out")
}
