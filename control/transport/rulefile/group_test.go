package rulefile_test

import (
	"context"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"pollenhill.example/control/transport/rulefile"
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
	return &consensus{replica: replica.New(replica.Config{ValidateRules: check}), changed: make(chan struct{})}
}

// submitter returns the Submit function of one control process.
func (g *consensus) submitter(name string) func(context.Context, uint64, string) (rulefile.Verdict, error) {
	return func(_ context.Context, number uint64, text string) (rulefile.Verdict, error) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.index++
		result := g.replica.Apply(g.index, replica.Command{
			Kind: replica.CommandChangeRules, ProposedAt: time.Unix(1_800_000_000, 0), ChangeNumber: number, Text: text, Origin: name, Reason: rule.ChangeReason(text),
		})
		close(g.changed)
		g.changed = make(chan struct{})
		return rulefile.VerdictFromResult(result)
	}
}

// follow passes the rules in force and the hashes of all changes to accept until ctx ends.
func (g *consensus) follow(ctx context.Context, accept func(rulefile.AcceptedRules)) {
	for {
		g.mu.Lock()
		changed := g.changed
		rules := rulefile.AcceptedRules{Number: g.replica.Rules().ChangeNumber, Text: g.replica.Rules().Text}
		for _, c := range g.replica.AcceptedChanges() {
			rules.EarlierHashes = append(rules.EarlierHashes, c.TextHash)
		}
		g.mu.Unlock()
		if rules.Number > 0 {
			accept(rules)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// join starts the Watcher of one control process of the group.
func join(t *testing.T, g *consensus, name string) *site {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	s := startWith(t, rulefile.Config{
		Path: path, PollInterval: time.Hour,
		Delays: rulefile.Delays{Debounce: 20 * time.Millisecond, IncompleteDebounce: 20 * time.Millisecond},
		Submit: g.submitter(name),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.follow(ctx, s.NotifyAccepted)
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
	b.until(t, "in force", "accepted") // accepted if the rules in force arrive after the file has settled

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
	submit := g.submitter("control-2")
	for number := 1; number <= 3; number++ {
		if v, err := submit(context.Background(), uint64(number), text(number, "x")); err != nil || v.Kind != rulefile.VerdictAccepted {
			t.Fatal(v, err)
		}
	}
	s := join(t, g, "control-1")
	write(t, s.path, text(1, "x"))
	s.until(t, "rewrite")
	if got := read(t, s.path); got != text(3, "x") {
		t.Fatalf("the file holds %q", got)
	}
}
