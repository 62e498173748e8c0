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

// replicaGroup is a control group of one member with the real state machine and without a log.
type replicaGroup struct {
	mu      sync.Mutex
	replica *replica.Replica
	index   uint64        // of the last command
	changed chan struct{} // closed and replaced after each command
}

func newReplicaGroup() *replicaGroup {
	check := func(text string) error {
		_, err := rule.Parse(text)
		return err
	}
	return &replicaGroup{replica: replica.New(replica.Config{ValidateRules: check}), changed: make(chan struct{})}
}

// submitter returns the Submit function of one control process.
func (g *replicaGroup) submitter(name string) func(context.Context, uint64, string) (rulefile.Verdict, error) {
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
func (g *replicaGroup) follow(ctx context.Context, accept func(rulefile.AcceptedRules)) {
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

// startMember runs the Watcher of one control process of the group until the test ends.
func startMember(t *testing.T, g *replicaGroup, name string) *testWatcher {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	w := runWatcher(t, rulefile.Config{
		Path: path, PollInterval: time.Hour,
		Delays: rulefile.Delays{Debounce: 20 * time.Millisecond, IncompleteDebounce: 20 * time.Millisecond},
		Submit: g.submitter(name),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.follow(ctx, w.NotifyAccepted)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return w
}

// Guards against two accepted edits with one number, an overwritten edit, and a control process whose file is not updated
// to the rules in force; two processes share the real state machine.
func TestTwoProcesses(t *testing.T) {
	g := newReplicaGroup()
	a, b := startMember(t, g, "control-1"), startMember(t, g, "control-2")
	writeFile(t, a.path, ruleText(1, "first"))
	a.waitFor(t, "accepted")
	writeFile(t, b.path, ruleText(1, "first"))
	b.waitFor(t, "in force", "accepted") // accepted if the rules in force arrive after the debounce delay

	writeFile(t, a.path, ruleText(2, "from a"))
	a.waitFor(t, "accepted")
	b.waitFor(t, "rewrite")
	if got := readFile(t, b.path); got != ruleText(2, "from a") {
		t.Fatalf("the second file holds %q", got)
	}

	writeFile(t, b.path, ruleText(2, "from b"))
	b.waitFor(t, "rejected")
	answer := b.answer(t)
	for _, part := range []string{"from control-1 at 2027-01-15 08:00:00 UTC", "change 2 # kari: from a", `write "change 3"`} {
		if !strings.Contains(answer, part) {
			t.Errorf("the answer lacks %q:\n%s", part, answer)
		}
	}
	if got := readFile(t, b.path); got != ruleText(2, "from b") {
		t.Fatalf("the rejected edit became %q", got)
	}
}

// Guards against a control process that treats its own outdated file as an edit after a restart.
func TestRestartWithOldFile(t *testing.T) {
	g := newReplicaGroup()
	submit := g.submitter("control-2")
	for number := 1; number <= 3; number++ {
		if v, err := submit(context.Background(), uint64(number), ruleText(number, "x")); err != nil || v.Kind != rulefile.VerdictAccepted {
			t.Fatal(v, err)
		}
	}
	w := startMember(t, g, "control-1")
	writeFile(t, w.path, ruleText(1, "x"))
	w.waitFor(t, "rewrite")
	if got := readFile(t, w.path); got != ruleText(3, "x") {
		t.Fatalf("the file holds %q", got)
	}
}
