package rulefile_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pollenhill.example/control/transport/rulefile"
)

// testWatcher is a Watcher in a temporary folder that sends its executed commands to a channel.
type testWatcher struct {
	*rulefile.Watcher
	path        string // of the rule file
	cmds        chan rulefile.Cmd
	failSubmits *atomic.Bool // makes Submit fail
}

func startWatcher(t *testing.T, poll time.Duration) *testWatcher {
	t.Helper()
	g := &fakeGroup{}
	var fail atomic.Bool
	w := runWatcher(t, rulefile.Config{
		Path:         filepath.Join(t.TempDir(), "pollenhill.rules"),
		Delays:       rulefile.Delays{Debounce: 20 * time.Millisecond, IncompleteDebounce: 20 * time.Millisecond, RetryDelay: time.Millisecond},
		PollInterval: poll,
		Submit: func(_ context.Context, number uint64, text string) (rulefile.Verdict, error) {
			if fail.Load() {
				return rulefile.Verdict{}, errConnection
			}
			return g.submit(number, text), nil
		},
	})
	w.failSubmits = &fail
	return w
}

// runWatcher runs a Watcher until the test ends.
func runWatcher(t *testing.T, cfg rulefile.Config) *testWatcher {
	t.Helper()
	w := &testWatcher{path: cfg.Path, cmds: make(chan rulefile.Cmd, 1000)}
	cfg.OnCommand = func(cmd rulefile.Cmd, err error) {
		if err != nil {
			t.Errorf("%s: %v", commandName(cmd), err)
		}
		w.cmds <- cmd
	}
	w.Watcher = rulefile.NewWatcher(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return w
}

// waitFor waits for a command with one of the names that commandName returns; the timeout of the test bounds the wait.
func (w *testWatcher) waitFor(t *testing.T, names ...string) {
	t.Helper()
	for cmd := range w.cmds {
		if slices.Contains(names, commandName(cmd)) {
			return
		}
	}
}

func (w *testWatcher) answer(t *testing.T) string {
	t.Helper()
	return readFile(t, w.path+".answer")
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o640); err != nil {
		t.Fatal(err)
	}
}

// Guards against an edit that is not noticed: saved in place, by rename, after a deletion, or after results were lost.
func TestWatcher(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	w := startWatcher(t, time.Hour)
	w.waitFor(t, "missing")
	writeFile(t, w.path, ruleText(1, "in place"))
	w.waitFor(t, "accepted")

	writeFile(t, w.path+".new", ruleText(2, "by rename"))
	if err := os.Rename(w.path+".new", w.path); err != nil {
		t.Fatal(err)
	}
	w.waitFor(t, "accepted")

	if err := os.Remove(w.path); err != nil {
		t.Fatal(err)
	}
	w.waitFor(t, "missing")

	w.failSubmits.Store(true)
	writeFile(t, w.path, ruleText(3, "lost"))
	w.waitFor(t, "waiting")
	w.failSubmits.Store(false)
	w.waitFor(t, "accepted")

	w.NotifyAccepted(rulefile.AcceptedRules{Number: 4, Text: ruleText(4, "elsewhere")})
	w.waitFor(t, "rewrite")
	if got := readFile(t, w.path); got != ruleText(4, "elsewhere") {
		t.Fatalf("the file holds %q", got)
	}
	writeFile(t, w.path, ruleText(3, "mine"))
	w.waitFor(t, "rejected")
	if got := readFile(t, w.path); got != ruleText(3, "mine") {
		t.Fatalf("a rejected edit was changed to %q", got)
	}
	if got := w.answer(t); !strings.Contains(got, "change 3 # kari: lost") {
		t.Fatalf("the answer does not show the accepted change:\n%s", got)
	}
	assertNoTempFiles(t, filepath.Dir(w.path))
}

// assertNoTempFiles checks that no temporary file was left beside the rule file.
func assertNoTempFiles(t *testing.T, dir string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), ".") {
			t.Errorf("%s is left over", e.Name())
		}
	}
}

// Guards against edits that are not noticed without notifications, as when the rule file is a symbolic link into another
// folder.
func TestWatcherPolls(t *testing.T) {
	w := startWatcher(t, 10*time.Millisecond)
	target := filepath.Join(t.TempDir(), "target")
	writeFile(t, target, ruleText(1, "first"))
	if err := os.Symlink(target, w.path); err != nil {
		t.Fatal(err)
	}
	w.waitFor(t, "accepted")
	writeFile(t, target, ruleText(2, "second"))
	w.waitFor(t, "accepted")
	w.NotifyAccepted(rulefile.AcceptedRules{Number: 3, Text: ruleText(3, "third")})
	w.waitFor(t, "rewrite")
	if got := readFile(t, target); got != ruleText(3, "third") {
		t.Fatalf("the target of the link holds %q", got)
	}
	if info, err := os.Lstat(w.path); err != nil || info.Mode()&os.ModeSymlink == 0 {
		t.Fatalf("the link was replaced: %v %v", info, err)
	}
}

// Guards against a rewrite that overwrites a text other than the expected one or changes the mode of the file.
func TestRewrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pollenhill.rules")
	file := rulefile.File{Path: path}
	if err := file.Rewrite("old\n", "new\n"); !errors.Is(err, rulefile.ErrFileChanged) {
		t.Fatalf("missing file: %v", err)
	}
	writeFile(t, path, "old\n")
	if err := os.Chmod(path, 0o664); err != nil {
		t.Fatal(err)
	}
	if err := file.Rewrite("other\n", "new\n"); !errors.Is(err, rulefile.ErrFileChanged) || readFile(t, path) != "old\n" {
		t.Fatalf("other text: %v, %q", err, readFile(t, path))
	}
	if err := file.Rewrite("old\n", "new\n"); err != nil || readFile(t, path) != "new\n" {
		t.Fatalf("expected text: %v, %q", err, readFile(t, path))
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o664 {
		t.Fatalf("mode %v, %v", info.Mode(), err)
	}
	assertNoTempFiles(t, filepath.Dir(path))
}

// Guards against an edit that is lost because it is saved between the check of the old text and its replacement: a text
// that an editor saves at the same time as each rewrite must still be in the file afterwards.
func TestRewriteRace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pollenhill.rules")
	file := rulefile.File{Path: path}
	for i := range 300 {
		writeFile(t, path, "old\n")
		saved := make(chan error)
		go func() {
			err := os.WriteFile(path+".new", []byte("edit\n"), 0o640)
			saved <- errors.Join(err, os.Rename(path+".new", path))
		}()
		err := file.Rewrite("old\n", "new\n")
		if err := <-saved; err != nil {
			t.Fatal(err)
		}
		if got := readFile(t, path); got != "edit\n" {
			t.Fatalf("round %d: the edit is lost, the file holds %q; rewrite says %v", i, got, err)
		}
	}
}

// Guards against an answer file that can be read by users who may not read the rule file.
func TestAnswerMode(t *testing.T) {
	file := rulefile.File{Path: filepath.Join(t.TempDir(), "pollenhill.rules")}
	for _, mode := range []os.FileMode{0o644, 0o640, 0o600} {
		if err := file.WriteAnswer("a\n"); err != nil {
			t.Fatal(err)
		}
		if info, err := os.Stat(file.Path + ".answer"); err != nil || info.Mode().Perm() != mode {
			t.Fatalf("mode %v, %v; want %v", info.Mode(), err, mode)
		}
		writeFile(t, file.Path, "rules\n")
		if mode == 0o640 {
			if err := os.Chmod(file.Path, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Guards against an answer that is never written because the first write failed.
func TestAnswerIsWrittenAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pollenhill.rules")
	if err := os.Mkdir(path+".answer", 0o700); err != nil {
		t.Fatal(err)
	}
	results := make(chan error, 1000)
	w := rulefile.NewWatcher(rulefile.Config{
		Path: path, PollInterval: 5 * time.Millisecond, Delays: rulefile.Delays{Debounce: time.Millisecond},
		OnCommand: func(_ rulefile.Cmd, err error) { results <- err },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- w.Run(ctx) }()
	if err := <-results; err == nil {
		t.Error("writing the answer over a folder succeeded")
	}
	if err := os.Remove(path + ".answer"); err != nil {
		t.Fatal(err)
	}
	for err := range results {
		if err == nil {
			break
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if got := readFile(t, path+".answer"); !strings.HasPrefix(got, "missing") {
		t.Errorf("got %q", got)
	}
	assertNoTempFiles(t, filepath.Dir(path))
}

// Guards against reading something other than a regular file, such as a pipe, which would block, or all of a huge file.
func TestRead(t *testing.T) {
	dir := t.TempDir()
	if got := (rulefile.File{Path: dir}).Read(); !strings.Contains(got.Error, "not a regular file") {
		t.Fatalf("%+v", got)
	}
	path := filepath.Join(dir, "large")
	writeFile(t, path, "")
	if err := os.Truncate(path, 1<<40); err != nil {
		t.Fatal(err)
	}
	if got := (rulefile.File{Path: path}).Read(); len(got.Text) != 1<<20+1 {
		t.Fatalf("read %d bytes, error %q", len(got.Text), got.Error)
	}
}
