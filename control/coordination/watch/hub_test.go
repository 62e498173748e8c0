package watch_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"pollenhill.example/control/coordination/watch"
	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/coordination/membership"
	"pollenhill.example/core/coordination/subset"
	"pollenhill.example/core/protocol/control"
)

func newMember(node int, zone string, state control.State, services ...string) *control.Member {
	m := &control.Member{Node: fmt.Sprintf("n%02d", node), Zone: zone, Region: "r", Incarnation: 1, Sequence: 1}
	for _, s := range services {
		m.Backends = append(m.Backends, &control.Backend{Name: m.GetNode() + s, Service: s, State: state})
	}
	return m
}

// applyPending applies all pending messages to the state of a node and returns the new state.
func applyPending(t *rapid.T, w *watch.Watcher, s *follow.State) *follow.State {
	for _, msg := range w.TakePending() {
		if r := msg.GetRules(); r != nil {
			next, err := s.WithRules(r)
			if err != nil {
				t.Fatal(err)
			}
			s = next
		}
		if m := msg.GetMembers(); m != nil {
			s = s.WithMembers(m)
		}
	}
	return s
}

// expectedNodes returns the nodes that a node must know, which is the union of its subsets.
func expectedNodes(node string, locality subset.Locality, all map[string]*control.Member) []string {
	lists := map[string][]subset.Member{}
	for _, m := range all {
		for _, b := range m.GetBackends() {
			lists[b.GetService()] = append(lists[b.GetService()], subset.Member{
				Node: m.GetNode(), Locality: subset.Locality{Zone: m.GetZone(), Region: m.GetRegion()},
			})
		}
	}
	var names []string
	for _, l := range lists {
		names = append(names, subset.Pick(node, locality, l, subset.Size)...)
	}
	names = lo.Uniq(names)
	slices.Sort(names)
	return names
}

// Guards against a node whose members or rules differ from those of the hub after any sequence of deltas, however many
// changes each message combines.
func TestDeltasReproduceHubState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hub := watch.NewHub()
		all := map[string]*control.Member{}
		if rapid.Bool().Draw(t, "ready") {
			hub.MarkComplete()
		}
		w := hub.Watch(&control.WatchRequest{Node: "n", Zone: "a", Region: "r"})
		defer w.Close()
		state := &follow.State{}
		text := ""
		for revision := range rapid.IntRange(1, 40).Draw(t, "steps") {
			m := newMember(
				rapid.IntRange(0, 20).Draw(t, "node"),
				rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				rapid.SampledFrom([]control.State{control.State_STATE_COLD, control.State_STATE_READY}).Draw(t, "state"),
				rapid.SampledFrom([][]string{{"s"}, {"t"}, {"s", "t"}}).Draw(t, "services")...,
			)
			if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
				delete(all, m.GetNode())
				hub.UpdateMembers(membership.Change{Removed: []string{m.GetNode()}})
			} else {
				all[m.GetNode()] = m
				hub.UpdateMembers(membership.Change{Updated: []*control.Member{m}})
			}
			text += fmt.Sprintf("line %d\n", revision)
			hub.SetRules(uint64(revision+1), uint64(revision+1), text)
			if rapid.Bool().Draw(t, "take") {
				state = applyPending(t, w, state)
			}
		}
		state = applyPending(t, w, state)
		if state.RulesText != text {
			t.Fatalf("text %q, want %q", state.RulesText, text)
		}
		got := lo.Map(state.Members, func(m *control.Member, _ int) string { return m.GetNode() })
		if want := expectedNodes("n", subset.Locality{Zone: "a", Region: "r"}, all); !slices.Equal(got, want) {
			t.Fatalf("members %v, want %v", got, want)
		}
		for _, m := range state.Members {
			if m != all[m.GetNode()] {
				t.Fatalf("%s is stale", m.GetNode())
			}
		}
	})
}

// Guards against a control process that was restarted, does not know all members yet, and makes a node forget the others.
func TestFullMembersOnlyWhenComplete(t *testing.T) {
	hub := watch.NewHub()
	hub.UpdateMembers(membership.Change{Updated: []*control.Member{newMember(1, "a", control.State_STATE_READY, "s")}})
	w := hub.Watch(&control.WatchRequest{Node: "n", Zone: "a", Region: "r"})
	defer w.Close()
	if got := w.TakePending(); len(got) != 1 || got[0].GetMembers().GetFull() {
		t.Fatalf("before all members are known: %v", got)
	}
	hub.MarkComplete()
	if got := w.TakePending(); len(got) != 1 || !got[0].GetMembers().GetFull() {
		t.Fatalf("after all members are known: %v", got)
	}
}

// Guards against a whole text where a line delta is enough, and against a delta from a base that is no longer kept.
func TestRulesDeltas(t *testing.T) {
	hub := watch.NewHub()
	base := strings.Repeat("a line of the file\n", 100)
	for revision := uint64(1); revision <= 100; revision++ {
		hub.SetRules(revision, revision, base+fmt.Sprintf("change %d\n", revision))
	}
	tests := []struct {
		held  uint64
		delta bool
		none  bool
	}{
		{held: 0}, {held: 1}, {held: 99, delta: true}, {held: 60, delta: true}, {held: 100, none: true}, {held: 500, none: true},
	}
	for _, tt := range tests {
		w := hub.Watch(&control.WatchRequest{Node: "n", Revision: tt.held})
		got := w.TakePending()
		w.Close()
		if (len(got) == 0) != tt.none {
			t.Errorf("held %d: got %d messages", tt.held, len(got))
			continue
		}
		if tt.none {
			continue
		}
		r := got[0].GetRules()
		if isDelta := r.GetBase() == tt.held && r.GetText() == "" && len(r.GetEdits()) > 0; isDelta != tt.delta {
			t.Errorf("held %d: base %d, %d bytes of text", tt.held, r.GetBase(), len(r.GetText()))
		}
	}
}

// Guards against rule texts that are kept whatever their size (review/12), 64 of them: of large texts fewer are kept, and the
// newest delta is still one.
func TestKeptVersionsAreBoundedInBytes(t *testing.T) {
	hub := watch.NewHub()
	base := strings.Repeat("a line of a large file\n", 1<<20/23)
	for revision := uint64(1); revision <= 40; revision++ {
		hub.SetRules(revision, revision, base+fmt.Sprintf("change %d\n", revision))
	}
	for held, wantBase := range map[uint64]uint64{39: 39, 30: 30, 20: 0, 1: 0} {
		w := hub.Watch(&control.WatchRequest{Node: "n", Revision: held})
		got := w.TakePending()
		w.Close()
		if len(got) == 0 || got[0].GetRules().GetBase() != wantBase {
			t.Errorf("held %d: %d messages with base %d, want base %d", held, len(got), got[0].GetRules().GetBase(), wantBase)
		}
	}
}

// Guards against a starting node that gets rules while newer ones may be in force (review/14), against one that waits on when they are
// known, and against nodes with rules that wait.
func TestStartingNodesWaitForPendingRules(t *testing.T) {
	hub := watch.NewHub()
	hub.SetRules(5, 1, "old")
	hub.SetPendingRules(9)
	starting := hub.Watch(&control.WatchRequest{Node: "starting"})
	defer starting.Close()
	running := hub.Watch(&control.WatchRequest{Node: "running", Revision: 3})
	defer running.Close()
	if got := starting.TakePending(); len(got) > 0 {
		t.Errorf("starting node got %v while newer rules are pending", got)
	}
	if got := running.TakePending(); len(got) != 1 || got[0].GetRules().GetRevision() != 5 {
		t.Errorf("node with older rules got %v, want revision 5", got)
	}
	<-starting.Pending()
	hub.SetPendingRules(0)
	<-starting.Pending()
	if got := starting.TakePending(); len(got) != 1 || got[0].GetRules().GetRevision() != 5 {
		t.Errorf("starting node got %v once no newer rules are pending, want revision 5", got)
	}
}
