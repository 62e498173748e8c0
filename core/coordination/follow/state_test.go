package follow_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
)

func rulesText(revision uint64) string { return fmt.Sprintf("first\nrevision %d\nlast\n", revision) }

func fullRules(revision uint64) *control.Rules {
	return &control.Rules{Revision: revision, Text: rulesText(revision), Hash: rule.Hash(rulesText(revision))}
}

func deltaRules(base, revision uint64) *control.Rules {
	edits := lo.Map(rule.Diff(rulesText(base), rulesText(revision)), func(e rule.Edit, _ int) *control.Edit {
		return &control.Edit{Start: uint32(e.Start), Count: uint32(e.Count), Lines: e.Lines}
	})
	return &control.Rules{Revision: revision, Base: base, Edits: edits, Hash: rule.Hash(rulesText(revision))}
}

// Guards against a return to older rules and against text that no control process accepted, when messages are duplicated, late,
// lost or corrupt.
func TestWithRules(t *testing.T) {
	wrong := fullRules(9)
	wrong.Text += "extra\n"
	outside := deltaRules(5, 6)
	outside.Edits[0].Start = 1000
	tests := []struct {
		name     string
		msg      *control.Rules
		want     uint64
		mismatch bool
	}{
		{"full text", fullRules(8), 8, false},
		{"delta from the current revision", deltaRules(5, 6), 6, false},
		{"duplicate", fullRules(5), 5, false},
		{"older, as after a restart with older state", fullRules(3), 5, false},
		{"older delta that arrives late", deltaRules(3, 4), 5, false},
		{"delta after a lost one", deltaRules(6, 7), 5, true},
		{"wrong hash", wrong, 5, true},
		{"edit outside the text", outside, 5, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := (&follow.State{}).WithRulesText(5, rulesText(5))
			got, err := s.WithRules(tt.msg)
			if errors.Is(err, follow.ErrRulesMismatch) != tt.mismatch || (err != nil) != tt.mismatch {
				t.Errorf("error %v, want a mismatch: %v", err, tt.mismatch)
			}
			if got.Revision != tt.want || got.RulesText != rulesText(tt.want) {
				t.Errorf("revision %d with %q, want %d", got.Revision, got.RulesText, tt.want)
			}
		})
	}
}

// Guards against a revision that decreases, or a text of another revision, after any sequence of messages.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &follow.State{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			before := s.Revision
			revision := rapid.Uint64Range(1, 20).Draw(t, "revision")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				s, _ = s.WithRules(fullRules(revision))
			case 1:
				s, _ = s.WithRules(deltaRules(rapid.Uint64Range(1, 20).Draw(t, "base"), revision))
			case 2:
				s = s.WithRulesText(revision, rulesText(revision))
			}
			if s.Revision < before {
				t.Fatalf("revision went from %d to %d", before, s.Revision)
			}
			if s.Revision > 0 && s.RulesText != rulesText(s.Revision) {
				t.Fatalf("revision %d has text %q", s.Revision, s.RulesText)
			}
		}
	})
}

// Guards against members that differ from a map with the same changes, and against changes to an earlier State.
func TestWithMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &follow.State{}
		want := map[string]uint64{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 0, 4)
			msg := &control.Members{Full: rapid.IntRange(0, 5).Draw(t, "full") == 0, Gone: names.Draw(t, "gone")}
			if msg.GetFull() {
				clear(want)
			}
			for _, n := range msg.GetGone() {
				delete(want, n)
			}
			for _, n := range names.Draw(t, "set") {
				m := &control.Member{Node: n, Sequence: rapid.Uint64().Draw(t, "sequence")}
				msg.Set = append(msg.Set, m)
				want[n] = m.GetSequence()
			}
			before := memberSequences(s)
			next := s.WithMembers(msg)
			if !maps.Equal(memberSequences(s), before) {
				t.Fatal("the old state changed")
			}
			s = next
			if !maps.Equal(memberSequences(s), want) || len(s.Members) != len(want) {
				t.Fatalf("members %v, want %v", memberSequences(s), want)
			}
			if !slices.IsSortedFunc(s.Members, func(a, b *control.Member) int { return strings.Compare(a.GetNode(), b.GetNode()) }) {
				t.Fatalf("members are not sorted: %v", s.Members)
			}
		}
	})
}

func memberSequences(s *follow.State) map[string]uint64 {
	return lo.SliceToMap(s.Members, func(m *control.Member) (string, uint64) { return m.GetNode(), m.GetSequence() })
}
