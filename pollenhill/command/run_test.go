package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
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

const ruleFile = `format 1
change 7 # kari: zone b is rewired tonight
zone oslo-a region=oslo # ola: first site
zone oslo-b region=oslo # ola: second site
service booking path=/ # kari: boat booking
out zone oslo-b # kari: rewiring
out backend booking-3 # ola: broken disk
`

// fakeControlProcess answers with fixed responses; without a response it answers that it is starting.
type fakeControlProcess struct {
	controlconnect.UnimplementedControlHandler
	status *control.StatusResponse
	rules  *control.RulesResponse
}

func (p *fakeControlProcess) Status(context.Context, *connect.Request[control.StatusRequest]) (*connect.Response[control.StatusResponse], error) {
	if p.status == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("starting"))
	}
	return connect.NewResponse(p.status), nil
}

func (p *fakeControlProcess) Rules(context.Context, *connect.Request[control.RulesRequest]) (*connect.Response[control.RulesResponse], error) {
	if p.rules == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("starting"))
	}
	return connect.NewResponse(p.rules), nil
}

// serveControl serves p on a loopback address, which it returns.
func serveControl(t *testing.T, p *fakeControlProcess) string {
	t.Helper()
	srv := newControlServer(p)
	srv.Start()
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// newControlServer returns a server for p that speaks HTTP/1.1 and HTTP/2, as control processes do.
func newControlServer(p *fakeControlProcess) *httptest.Server {
	_, handler := controlconnect.NewControlHandler(p)
	srv := httptest.NewUnstartedServer(handler)
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetHTTP1(true)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	return srv
}

// newRulesResponse returns the rules of text in force under the change number, and the last two changes.
func newRulesResponse(number uint64, text string) *control.RulesResponse {
	return &control.RulesResponse{
		Rules: &control.Rules{Revision: number + 100, Number: number, Text: text, Hash: rule.Hash(text)},
		Changes: []*control.Change{
			{Number: number - 1, Revision: number + 99, Time: 1_700_000_000_000, Origin: "control-2", Reason: "ola: before"},
			{Number: number, Revision: number + 100, Time: 1_800_000_000_000, Origin: "control-1", Reason: "kari: now"},
		},
	}
}

// newHealthyProcess returns the leader of a group with a quorum, with three nodes, two back ends and ruleFile in force.
func newHealthyProcess() *fakeControlProcess {
	backend := func(name string, state control.State) *control.Backend {
		return &control.Backend{Name: name, Service: "booking", Address: "127.0.0.9:80", Slots: 12, Connections: 240, State: state}
	}
	return &fakeControlProcess{
		rules: newRulesResponse(7, ruleFile),
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

// runCommand runs one command line with in as standard input.
func runCommand(t *testing.T, in string, args ...string) (code int, out, err string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	streams := command.Streams{In: strings.NewReader(in), Out: &stdout, Err: &stderr}
	code = command.Run(context.Background(), append([]string{"pollenhill"}, args...), streams)
	return code, stdout.String(), stderr.String()
}

// writeTempFile writes text to a temporary file named "file" and returns its path.
func writeTempFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// requireOutput ends the test unless the exit code is wantCode and out contains all parts.
func requireOutput(t *testing.T, code, wantCode int, out string, parts ...string) {
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

// Guards against undocumented exit codes, and against errors that do not tell the operator what to correct.
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
	for _, tc := range cases {
		code, _, err := runCommand(t, "", tc.args...)
		if code != tc.code || !strings.Contains(err, tc.err) {
			t.Errorf("%v: exit code %d, %q; want %d, %q", tc.args, code, err, tc.code, tc.err)
		}
	}
}

// Guards against a check that accepts an invalid rule file, or that does not report the place of the problem.
func TestCheck(t *testing.T) {
	code, out, _ := runCommand(t, ruleFile, "check", "-")
	requireOutput(t, code, command.ExitOK, out, "good: change 7, zones: 2, services: 1")

	code, out, _ = runCommand(t, "", "check", writeTempFile(t, ruleFile+"cold booking 0 # a: b\n"))
	requireOutput(t, code, command.ExitCheckFailed, out, "line 8, column 14", "for example: cold booking 12 # a: b")

	code, out, _ = runCommand(t, "format 1\nchange 7\n", "check", "--json", "-")
	var result struct {
		Good     bool
		Problems []rule.Problem
	}
	if err := json.Unmarshal([]byte(out), &result); err != nil || result.Good || len(result.Problems) != 1 || code != command.ExitCheckFailed {
		t.Fatalf("%d %v %s", code, err, out)
	}
}

// Guards against a check that does not show that an edit removes a line of another author, or that accepts a change number
// that does not follow the one in force.
func TestCheckAgainstRulesInForce(t *testing.T) {
	address := serveControl(t, newHealthyProcess())
	next := strings.Replace(strings.Replace(ruleFile, "change 7", "change 8", 1), "out backend booking-3 # ola: broken disk\n", "", 1)
	code, out, _ := runCommand(t, next, "check", "--control", address, "-")
	requireOutput(t, code, command.ExitOK, out, "- out backend booking-3", "+ change 8")

	code, out, _ = runCommand(t, strings.Replace(ruleFile, "change 7", "change 9", 1), "check", "--control", address, "-")
	requireOutput(t, code, command.ExitCheckFailed, out, "change 9 does not follow change 7", "change 8 # kari: zone b")

	code, out, _ = runCommand(t, ruleFile, "check", "--control", "127.0.0.1:1", "-")
	requireOutput(t, code, command.ExitUnreachable, out, "good: change 7")
}

// Guards against a check that passes over an entry which can never match, or that ends as failed because of one.
func TestCheckShowsFindings(t *testing.T) {
	code, out, _ := runCommand(t, ruleFile+"pool records # ola: unused\n", "check", "-")
	requireOutput(t, code, command.ExitOK, out, "line 8: pool records never matches: no route leads to it", "good: change 7")

	code, out, _ = runCommand(t, ruleFile+"pool records # ola: unused\n", "check", "--json", "-")
	requireOutput(t, code, command.ExitOK, out, `"class": "never matches"`, `"line": 8`)
}

const tableFile = `{"version":3,"routes":[{"name":"logs","host":"records.example","path":"/logs/","kind":"download","timeout":1000,"aim":2000,"rank":1,"service":"records","tries":2}],
 "services":[{"name":"records","health":"/health","connections":240,"cold":3,"rate":35}]}`

// Guards against a check of a table or a patch that finds less than one of a rule file: errors, contradictions and the lines
// that would change.
func TestCheckTable(t *testing.T) {
	code, out, _ := runCommand(t, tableFile, "check", "-")
	requireOutput(t, code, command.ExitOK, out, "route logs contradicts: aim=2s is longer than within=1s", "good: change 1")

	code, out, _ = runCommand(t, strings.Replace(tableFile, "download", "odd", 1), "check", "-")
	requireOutput(t, code, command.ExitCheckFailed, out, `kind "odd" is unknown`)

	code, out, _ = runCommand(t, strings.Replace(tableFile, `"service":"records"`, `"service":"other"`, 1), "check", "-")
	requireOutput(t, code, command.ExitCheckFailed, out, `service "other" is not defined`)

	address := serveControl(t, newHealthyProcess())
	code, out, _ = runCommand(t, tableFile, "check", "--control", address, "-")
	requireOutput(t, code, command.ExitOK, out, "+ pool records", "+ route logs", "good: change 8, zones: 2")
}

// Guards against a patch that is checked without the table that it changes.
func TestCheckPatch(t *testing.T) {
	const patch = `{"version":9,"set":{"services":[{"name":"stock"}]},"drop":{"routes":["logs"]}}`
	code, out, _ := runCommand(t, patch, "check", "-")
	requireOutput(t, code, command.ExitCheckFailed, out, "name a control process with --control")

	process := newHealthyProcess()
	process.rules = newRulesResponse(7, ruleFile+"pool records # ola: logs\nroute logs host=records.example path=/logs/ to=records # ola: logs\n")
	code, out, _ = runCommand(t, patch, "check", "--control", serveControl(t, process), "-")
	requireOutput(t, code, command.ExitOK, out, "- route logs", "+ pool stock", "pool records never matches")
}

// Guards against showing rules that differ from the accepted text, or not showing the author and reason of a line.
func TestShow(t *testing.T) {
	address := serveControl(t, newHealthyProcess())
	code, out, _ := runCommand(t, "", "show", "--control", address, "--text")
	if code != command.ExitOK || out != ruleFile {
		t.Fatalf("exit code %d, text %q", code, out)
	}
	code, out, _ = runCommand(t, "", "show", "--control", address, "--history", "5")
	requireOutput(t, code, command.ExitOK, out, "change 7, revision 107, in force since 2027-01-15T08:00:00Z, from control-1",
		"kari  rewiring", "out zone oslo-b\n", "ola: before")
	code, out, _ = runCommand(t, "", "show", "--json", "--control", address)
	var shown struct {
		Text  string
		Lines []rule.Attribution
	}
	if err := json.Unmarshal([]byte(out), &shown); err != nil || shown.Text != ruleFile || shown.Lines[5].Author != "kari" || code != 0 {
		t.Fatalf("%d %v %s", code, err, out)
	}
}

// Guards against keys of client accounts on the screen of whoever looks at the rules or compares a change with them.
func TestKeysAreNotShown(t *testing.T) {
	process := newHealthyProcess()
	accounts := ruleFile + "account harbour keys=secret-1,secret-2 rank=0 # kari: harbour office\n"
	process.rules = newRulesResponse(7, accounts)
	address := serveControl(t, process)
	next := strings.Replace(strings.Replace(accounts, "change 7", "change 8", 1), "secret-1", "secret-3,secret-1", 1)
	for _, args := range [][]string{{"show"}, {"status"}, {"check", "-"}, {"check", "--json", "-"}} {
		code, out, errText := runCommand(t, next, append(args, "--control", address)...)
		if code != command.ExitOK || strings.Contains(out+errText, "secret") {
			t.Errorf("%v: exit code %d, %s%s", args, code, out, errText)
		}
		if want := map[string]string{"show": "keys=(2)", "status": "accounts: 1 with 2 keys", "check": "keys=(3)"}[args[0]]; !strings.Contains(out, want) {
			t.Errorf("%v: no %q in %s", args, want, out)
		}
	}
	if _, out, _ := runCommand(t, "", "show", "--text", "--control", address); out != accounts {
		t.Errorf("show --text is not byte for byte: %q", out)
	}
}

// Guards against showing the old rules of a control process that is cut off, rules that do not match their hash, or nothing
// because one control process is down.
func TestShowNewestIntactRules(t *testing.T) {
	old, newer, starting := newHealthyProcess(), newHealthyProcess(), &fakeControlProcess{}
	newer.rules = newRulesResponse(8, strings.Replace(ruleFile, "change 7", "change 8", 1))
	code, out, _ := runCommand(t, "", "show", "--control", serveControl(t, starting), "--control", serveControl(t, old), "--control", serveControl(t, newer))
	requireOutput(t, code, command.ExitOK, out, "change 8, revision 108")

	damaged := newHealthyProcess()
	damaged.rules.Rules.Hash++
	code, _, errText := runCommand(t, "", "show", "--control", serveControl(t, damaged))
	requireOutput(t, code, command.ExitUnreachable, errText, "have hash")

	empty := &fakeControlProcess{rules: &control.RulesResponse{}}
	code, out, _ = runCommand(t, "", "show", "--control", serveControl(t, empty))
	requireOutput(t, code, command.ExitOK, out, "no rules are in force yet")
}

// Guards against a status that does not show a zone or back end that is out of service, or a control process that does not
// answer.
func TestStatus(t *testing.T) {
	address := serveControl(t, newHealthyProcess())
	code, out, _ := runCommand(t, "", "status", "--control", address+",127.0.0.1:1")
	requireOutput(t, code, command.ExitOK, out, "leader", "no answer", "connection refused",
		"voters: control-1, control-2\nlearners: control-3\n",
		"oslo-b  oslo    out", "in, not in the rules", "ready, out", "booking-2")

	code, out, _ = runCommand(t, "", "status", "--control", address, "--zone", "oslo-b", "--service", "booking")
	requireOutput(t, code, command.ExitOK, out, "booking-2")
	if strings.Contains(out, "booking-3") || strings.Contains(out, "node-9") {
		t.Fatalf("the filters let other nodes through:\n%s", out)
	}
	code, out, _ = runCommand(t, "", "--json", "status", "--control", address)
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

// Guards against taking old state for the current one when the group has lost its quorum.
func TestStatusWithoutQuorum(t *testing.T) {
	isolated := newHealthyProcess()
	isolated.status.Current = false
	isolated.status.Leader = ""
	isolated.rules = nil
	code, out, errText := runCommand(t, "", "status", "--control", serveControl(t, isolated))
	requireOutput(t, code, command.ExitStale, out+errText, "follower, not current", "is confirmed by a quorum; the state may be old", "oslo    unknown", "node-1")
}

// Guards against showing the nodes that an isolated control process knows, because it has applied more of the log than the
// others.
func TestStatusPrefersConfirmedAnswer(t *testing.T) {
	isolated := newHealthyProcess()
	isolated.status.Id, isolated.status.Current, isolated.status.Applied, isolated.status.Members = "control-2", false, 1000, nil
	code, out, _ := runCommand(t, "", "status", "--control", serveControl(t, isolated), "--control", serveControl(t, newHealthyProcess()))
	requireOutput(t, code, command.ExitOK, out, "node-1")
}

// Guards against not finding the refusal reason in a whole header line, as operators copy it from a response.
func TestRefusalExplainsReason(t *testing.T) {
	code, out, _ := runCommand(t, "", "refusal", `Proxy-Status: cold-1; error=destination_unavailable; details="zone-out"; level=0`)
	requireOutput(t, code, command.ExitOK, out, "zone-out\n", "remove the line")
	code, out, _ = runCommand(t, "", "refusal", "--json", "no-quorum")
	requireOutput(t, code, command.ExitOK, out, `"reason": "no-quorum"`)
	code, out, _ = runCommand(t, "", "refusal")
	requireOutput(t, code, command.ExitOK, out, "full\n", "route\n")
}

// Guards against events out of order when files of several processes are merged, lost events, and filters that select
// the wrong ones.
func TestTimelineOrderAndFilters(t *testing.T) {
	a := writeTempFile(t, `{"level":"info","ts":1,"msg":"attempt refused","process":"node-1","event":1004,"stamp":"1800000000000002.0","attempt":"node-2/1/7","zone":"oslo-a"}
{"msg":"node stopped","process":"a-node","event":1002,"stamp":"1800000000000003.1"}
{"msg":"half a li`)
	b := writeTempFile(t, `{"msg":"leader changed","process":"control-1","event":2002,"stamp":"1800000000000003.0","leader":"control-2"}
{"msg":"rules in force","process":"node-2","event":1005,"stamp":"1800000000000001.0","revision":18446744073709551615}
`)
	code, out, errText := runCommand(t, "", "timeline", a, b)
	requireOutput(t, code, command.ExitOK, out, "2027-01-15 08:00:00.000003+1  a-node", "revision=18446744073709551615", "attempt=node-2/1/7")
	requireOutput(t, code, command.ExitOK, errText, "file:3: not a JSON object")
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
		_, out, _ := runCommand(t, "", append([]string{"timeline", a, b, "--json"}, args...)...)
		if strings.Count(out, "\n") != 1 || !strings.Contains(out, name) {
			t.Errorf("%v gives %q", args, out)
		}
	}
	_, out, _ = runCommand(t, "", "timeline", "--zone", "oslo-a", a, b)
	if strings.Count(out, "\n") != 1 {
		t.Errorf("zone filter: %q", out)
	}
}

// Guards against a shell that cannot load its completion script because the program prints none.
func TestShellCompletion(t *testing.T) {
	for shell, part := range map[string]string{"bash": "pollenhill", "zsh": "pollenhill", "fish": "pollenhill", "pwsh": "Register-ArgumentCompleter"} {
		code, out, _ := runCommand(t, "", "completion", shell)
		requireOutput(t, code, command.ExitOK, out, part)
	}
	code, out, _ := runCommand(t, "", "refusal", "--generate-shell-completion")
	requireOutput(t, code, command.ExitOK, out, "zone-out")
}
