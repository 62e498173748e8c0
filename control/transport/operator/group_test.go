package operator_test

import (
	"context"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pollenhill.example/control/transport/operator"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/rule"
)

// consensus is a control group of one without a disk.
type consensus struct {
	mu      sync.Mutex
	replica *replica.Replica
	index   uint64
	changed chan struct{}
}

func newConsensus() *consensus {
	check := func(text string) error {
		_, err := rule.Parse(text)
		return err
	}
	return &consensus{replica: replica.New(replica.Config{Check: check}), changed: make(chan struct{})}
}

func (g *consensus) Propose(_ context.Context, cmd replica.Command) (replica.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index++
	result := g.replica.Apply(g.index, cmd)
	close(g.changed)
	g.changed = make(chan struct{})
	return result, nil
}

func (g *consensus) Read(f func(*replica.Replica)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.replica)
}

func (g *consensus) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// join starts the Watcher of one control process of the group.
func join(t *testing.T, g *consensus, name string) *site {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	s := startWith(t, operator.Config{
		Path: path, Poll: time.Hour,
		Times:  operator.Times{Settle: 20 * time.Millisecond, Unfinished: 20 * time.Millisecond},
		Submit: operator.Submitter(g, name, func() time.Time { return time.Unix(1_800_000_000, 0) }),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		operator.Follow(ctx, g, s.Accept)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

// Guards against two edits with one number that are both accepted, against an overwritten edit, and against a
// control VM whose file stays behind the rules in force, with the real state machine between two processes.
func TestTwoProcesses(t *testing.T) {
	g := newConsensus()
	a, b := join(t, g, "control-1"), join(t, g, "control-2")
	write(t, a.path, text(1, "first"))
	a.until(t, "accepted")
	write(t, b.path, text(1, "first"))
	b.until(t, "in force")

	write(t, a.path, text(2, "from a"))
	a.until(t, "accepted")
	b.until(t, "rewrite")
	if got := read(t, b.path); got != text(2, "from a") {
		t.Fatalf("the second file holds %q", got)
	}

	write(t, b.path, text(2, "from b"))
	b.until(t, "rejected")
	answer := b.answer(t)
	for _, part := range []string{"from control-1 at 2027-01-15 08:00:00 UTC", "change 2 # kari: from a", `write "change 3"`} {
		if !strings.Contains(answer, part) {
			t.Errorf("the answer lacks %q:\n%s", part, answer)
		}
	}
	if got := read(t, b.path); got != text(2, "from b") {
		t.Fatalf("the rejected edit became %q", got)
	}
}

// Guards against a control process that takes its own old file for an edit after a restart.
func TestRestartWithOldFile(t *testing.T) {
	g := newConsensus()
	submit := operator.Submitter(g, "control-2", time.Now)
	for number := 1; number <= 3; number++ {
		if v, err := submit(context.Background(), uint64(number), text(number, "x")); err != nil || v.Kind != operator.Accept {
			t.Fatal(v, err)
		}
	}
	told := make(chan operator.Accepted, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go operator.Follow(ctx, g, func(rules operator.Accepted) { told <- rules })
	rules := <-told
	cancel()
	if rules.Number != 3 || !slices.Contains(rules.Earlier, rule.Hash(text(1, "x"))) {
		t.Fatalf("got %+v", rules)
	}
	s := join(t, g, "control-1")
	write(t, s.path, text(1, "x"))
	s.until(t, "rewrite")
	if got := read(t, s.path); got != text(3, "x") {
		t.Fatalf("the file holds %q", got)
	}
}
