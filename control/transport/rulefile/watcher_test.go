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

// site is a Watcher in a temporary folder whose commands arrive on a channel.
type site struct {
	*rulefile.Watcher
	path string
	cmds chan rulefile.Cmd
	fail *atomic.Bool // Submit fails
}

func start(t *testing.T, poll time.Duration) *site {
	t.Helper()
	g := &group{}
	var fail atomic.Bool
	s := startWith(t, rulefile.Config{
		Path:         filepath.Join(t.TempDir(), "pollenhill.rules"),
		Delays:       rulefile.Delays{Debounce: 20 * time.Millisecond, IncompleteDebounce: 20 * time.Millisecond, RetryDelay: time.Millisecond},
		PollInterval: poll,
		Submit: func(_ context.Context, number uint64, text string) (rulefile.Verdict, error) {
			if fail.Load() {
				return rulefile.Verdict{}, errLost
			}
			return g.submit(number, text), nil
		},
	})
	s.fail = &fail
	return s
}

// startWith runs a Watcher until the test ends.
func startWith(t *testing.T, cfg rulefile.Config) *site {
	t.Helper()
	s := &site{path: cfg.Path, cmds: make(chan rulefile.Cmd, 1000)}
	cfg.OnCommand = func(cmd rulefile.Cmd, err error) {
		if err != nil {
			t.Errorf("%s: %v", describe(cmd), err)
		}
		s.cmds <- cmd
	}
	s.Watcher = rulefile.NewWatcher(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s
}

// until waits for a command that describe gives one of the names; the test's own deadline ends a wait in vain.
func (s *site) until(t *testing.T, names ...string) {
	t.Helper()
	for cmd := range s.cmds {
		if slices.Contains(names, describe(cmd)) {
			return
		}
	}
}

func (s *site) answer(t *testing.T) string {
	t.Helper()
	return read(t, s.path+".answer")
}

func read(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o640); err != nil {
		t.Fatal(err)
	}
}

// Guards against a save that goes unnoticed: in place, by rename, after a deletion, after lost answers.
func TestWatcher(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	s := start(t, time.Hour)
	s.until(t, "missing")
	write(t, s.path, text(1, "in place"))
	s.until(t, "accepted")

	write(t, s.path+".new", text(2, "by rename"))
	if err := os.Rename(s.path+".new", s.path); err != nil {
		t.Fatal(err)
	}
	s.until(t, "accepted")

	if err := os.Remove(s.path); err != nil {
		t.Fatal(err)
	}
	s.until(t, "missing")

	s.fail.Store(true)
	write(t, s.path, text(3, "lost"))
	s.until(t, "waiting")
	s.fail.Store(false)
	s.until(t, "accepted")

	s.NotifyAccepted(rulefile.AcceptedRules{Number: 4, Text: text(4, "elsewhere")})
	s.until(t, "rewrite")
	if got := read(t, s.path); got != text(4, "elsewhere") {
		t.Fatalf("the file holds %q", got)
	}
	write(t, s.path, text(3, "mine"))
	s.until(t, "rejected")
	if got := read(t, s.path); got != text(3, "mine") {
		t.Fatalf("a rejected edit was changed to %q", got)
	}
	if got := s.answer(t); !strings.Contains(got, "change 3 # kari: lost") {
		t.Fatalf("the answer does not show the accepted change:\n%s", got)
	}
	assertClean(t, filepath.Dir(s.path))
}

// Guards against leftover temporary files beside the rules.
func assertClean(t *testing.T, dir string) {
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

// Guards against file systems without notifications, such as a symbolic link to another folder.
func TestWatcherPolls(t *testing.T) {
	s := start(t, 10*time.Millisecond)
	target := filepath.Join(t.TempDir(), "target")
	write(t, target, text(1, "first"))
	if err := os.Symlink(target, s.path); err != nil {
		t.Fatal(err)
	}
	s.until(t, "accepted")
	write(t, target, text(2, "second"))
	s.until(t, "accepted")
	s.NotifyAccepted(rulefile.AcceptedRules{Number: 3, Text: text(3, "third")})
	s.until(t, "rewrite")
	if got := read(t, target); got != text(3, "third") {
		t.Fatalf("the target of the link holds %q", got)
	}
	if info, err := os.Lstat(s.path); err != nil || info.Mode()&os.ModeSymlink == 0 {
		t.Fatalf("the link was replaced: %v %v", info, err)
	}
}

// Guards against losing an edit that is saved while the file is brought up to date, and against a changed mode.
func TestRewrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pollenhill.rules")
	file := rulefile.File{Path: path}
	if err := file.Rewrite("old\n", "new\n"); !errors.Is(err, rulefile.ErrFileChanged) {
		t.Fatalf("missing file: %v", err)
	}
	write(t, path, "old\n")
	if err := os.Chmod(path, 0o664); err != nil {
		t.Fatal(err)
	}
	if err := file.Rewrite("other\n", "new\n"); !errors.Is(err, rulefile.ErrFileChanged) || read(t, path) != "old\n" {
		t.Fatalf("other text: %v, %q", err, read(t, path))
	}
	if err := file.Rewrite("old\n", "new\n"); err != nil || read(t, path) != "new\n" {
		t.Fatalf("expected text: %v, %q", err, read(t, path))
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o664 {
		t.Fatalf("mode %v, %v", info.Mode(), err)
	}
	assertClean(t, filepath.Dir(path))
}

// Guards against edits lost in the moment between the check and the replacement: with an editor that
// saves again and again, every saved text is either still there or was replaced only after it was expected.
func TestRewriteRace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pollenhill.rules")
	file := rulefile.File{Path: path}
	for i := range 300 {
		write(t, path, "old\n")
		saved := make(chan error)
		go func() {
			err := os.WriteFile(path+".new", []byte("edit\n"), 0o640)
			saved <- errors.Join(err, os.Rename(path+".new", path))
		}()
		err := file.Rewrite("old\n", "new\n")
		if err := <-saved; err != nil {
			t.Fatal(err)
		}
		if got := read(t, path); got != "edit\n" {
			t.Fatalf("round %d: the edit is lost, the file holds %q; rewrite says %v", i, got, err)
		}
	}
}

// Guards against an answer that shows rules to those who may not read them.
func TestAnswerMode(t *testing.T) {
	file := rulefile.File{Path: filepath.Join(t.TempDir(), "pollenhill.rules")}
	for _, mode := range []os.FileMode{0o644, 0o640, 0o600} {
		if err := file.WriteAnswer("a\n"); err != nil {
			t.Fatal(err)
		}
		if info, err := os.Stat(file.Path + ".answer"); err != nil || info.Mode().Perm() != mode {
			t.Fatalf("mode %v, %v; want %v", info.Mode(), err, mode)
		}
		write(t, file.Path, "rules\n")
		if mode == 0o640 {
			if err := os.Chmod(file.Path, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Guards against an operator who never gets an answer because it could not be written once.
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
		t.Error("an answer was written over a folder")
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
	if got := read(t, path+".answer"); !strings.HasPrefix(got, "missing") {
		t.Errorf("got %q", got)
	}
	assertClean(t, filepath.Dir(path))
}

// Guards against reading a pipe or a huge file for ever.
func TestRead(t *testing.T) {
	dir := t.TempDir()
	if got := (rulefile.File{Path: dir}).Read(); !strings.Contains(got.Error, "not a regular file") {
		t.Fatalf("%+v", got)
	}
	path := filepath.Join(dir, "large")
	write(t, path, "")
	if err := os.Truncate(path, 1<<40); err != nil {
		t.Fatal(err)
	}
	if got := (rulefile.File{Path: path}).Read(); len(got.Text) != 1<<20+1 {
		t.Fatalf("read %d bytes, error %q", len(got.Text), got.Error)
	}
}
