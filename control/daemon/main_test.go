package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pollenhill.example/control/daemon"
	"pollenhill.example/core/coordination/follow"
)

// saveSettings writes a settings file after change, if it is not nil, has edited the JSON object, and returns its path.
func saveSettings(t *testing.T, s daemon.Settings, change func(m map[string]any)) string {
	t.Helper()
	raw, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	m := map[string]any{}
	if err := json.Unmarshal(raw, &m); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(m)
	}
	raw, err = json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return writeFile(t, filepath.Join(t.TempDir(), "settings.json"), string(raw))
}

func writeFile(t *testing.T, path, content string) string {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against a failed start that does not name its reason, exits with 0, or leaves a listener or files behind.
func TestInvalidStart(t *testing.T) {
	tests := []struct {
		name string
		prep func(t *testing.T, s *daemon.Settings) string
		want string
	}{
		{"bad JSON", func(t *testing.T, _ *daemon.Settings) string {
			return writeFile(t, filepath.Join(t.TempDir(), "s.json"), `{"name": "c1",`)
		}, "parse"},
		{"missing file", func(*testing.T, *daemon.Settings) string { return "/nonexistent/settings.json" }, "no such file"},
		{"unknown field", func(t *testing.T, s *daemon.Settings) string {
			return saveSettings(t, *s, func(m map[string]any) { m["peers"].([]any)[0].(map[string]any)["color"] = "red" })
		}, "color"},
		{"missing name", func(t *testing.T, s *daemon.Settings) string {
			return saveSettings(t, *s, func(m map[string]any) { delete(m, "name") })
		}, "name"},
		{"not among the peers", func(t *testing.T, s *daemon.Settings) string {
			return saveSettings(t, *s, func(m map[string]any) { m["name"] = "c9" })
		}, `"c9"`},
		{"peer without an address", func(t *testing.T, s *daemon.Settings) string {
			return saveSettings(t, *s, func(m map[string]any) { delete(m["peers"].([]any)[0].(map[string]any), "address") })
		}, "peers[0].address"},
		{"address in use", func(t *testing.T, s *daemon.Settings) string {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			s.Listen = l.Addr().(*net.TCPAddr).AddrPort()
			return saveSettings(t, *s, nil)
		}, "address already in use"},
		{"missing data folder", func(t *testing.T, s *daemon.Settings) string {
			return saveSettings(t, *s, func(m map[string]any) { m["data"] = s.DataDir + "/missing" })
		}, "data folder"},
		{"data is a file", func(t *testing.T, s *daemon.Settings) string {
			return saveSettings(t, *s, func(m map[string]any) { m["data"] = writeFile(t, filepath.Join(t.TempDir(), "f"), "") })
		}, "not a folder"},
		{"unwritable disk", func(t *testing.T, s *daemon.Settings) string {
			// Not even root may create files in /proc.
			return saveSettings(t, *s, func(m map[string]any) { m["data"] = "/proc/self" })
		}, "cannot be written"},
		{"missing folder of the rules", func(t *testing.T, s *daemon.Settings) string {
			return saveSettings(t, *s, func(m map[string]any) { m["rules"] = "/nonexistent/rules" })
		}, "rules"},
		{"unwritable events", func(t *testing.T, s *daemon.Settings) string {
			return saveSettings(t, *s, func(m map[string]any) { m["events"] = "/nonexistent/events" })
		}, "event file"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := singleSettings(t)
			path := tt.prep(t, &s)
			var errs bytes.Buffer
			if code := daemon.Main([]string{"control", "--settings", path}, &errs); code == 0 {
				t.Error("exit code 0")
			}
			if !strings.Contains(errs.String(), tt.want) {
				t.Errorf("error %q does not mention %q", errs.String(), tt.want)
			}
			assertNothingLeft(t, s, tt.name != "address in use")
		})
	}
}

// assertNothingLeft checks that the data folder is empty and, if the address should be free, that nothing listens.
func assertNothingLeft(t *testing.T, s daemon.Settings, free bool) {
	t.Helper()
	files, err := os.ReadDir(s.DataDir)
	if err != nil || len(files) > 0 {
		t.Errorf("data folder holds %v, %v", files, err)
	}
	if !free {
		return
	}
	l, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		t.Errorf("the listener was not closed: %v", err)
		return
	}
	_ = l.Close()
}

// Guards against a program that reads a data folder in the format of another version.
func TestWrongDataLayout(t *testing.T) {
	s := singleSettings(t)
	writeFile(t, filepath.Join(s.DataDir, "layout"), "pollenhill data 2\n")
	_, err := daemon.New(s)
	if err == nil || !strings.Contains(err.Error(), `"pollenhill data 2"`) {
		t.Fatalf("error %v", err)
	}
}

// Guards against a SIGTERM that does not lead to exit code 0 while a stream is open.
func TestTerminate(t *testing.T) {
	s := singleSettings(t)
	path := saveSettings(t, s, nil)
	code := make(chan int, 1)
	var errs bytes.Buffer
	go func() { code <- daemon.Main([]string{"control", "--settings", path}, &errs) }()
	c := startClient(t, "n", s)
	awaitState(t, c, "stream", func(s *follow.State) bool { return s.Confirmed })
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-code:
		if got != 0 {
			t.Fatalf("exit code %d: %s", got, errs.String())
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no exit")
	}
}

// Guards against an operator's edit that does not reach the nodes, and against a rejected edit without an answer.
func TestRuleFile(t *testing.T) {
	s := singleSettings(t)
	s.RuleFile = filepath.Join(t.TempDir(), "rules")
	writeFile(t, s.RuleFile, ruleText(1))
	start(t, s)
	c := startClient(t, "n", s)
	awaitState(t, c, "first rules", func(s *follow.State) bool { return s.RulesText == ruleText(1) })
	writeFile(t, s.RuleFile, ruleText(2))
	awaitState(t, c, "second rules", func(s *follow.State) bool { return s.RulesText == ruleText(2) })
	writeFile(t, s.RuleFile, ruleText(7))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	awaitAnswer(ctx, t, s.RuleFile+".answer", "7")
	if got := c.State().RulesText; got != ruleText(2) {
		t.Fatalf("in force: %q", got)
	}
}

// awaitAnswer waits until the answer file contains want.
func awaitAnswer(ctx context.Context, t *testing.T, path, want string) {
	t.Helper()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for {
		raw, _ := os.ReadFile(path)
		if strings.Contains(string(raw), want) {
			return
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			t.Fatalf("answer %q does not mention %q", raw, want)
		}
	}
}
