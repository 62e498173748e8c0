package follow

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
)

// State is the last good state that a node received; a State is immutable.
type State struct {
	RulesText string            // rules in force, byte for byte
	Revision  uint64            // 0 before the first rules
	Members   []*control.Member // subset of the members, by node name
	Server    string            // followed control process, empty for none
	Confirmed bool              // a current control process confirms the rules
}

// ErrRulesMismatch reports edits that do not lead from the held rules to the stated hash; the full text is needed.
var ErrRulesMismatch = errors.New("edits do not fit the held rules")

// WithRules returns the state after a rules message; an older or equal revision leaves it unchanged.
func (s *State) WithRules(msg *control.Rules) (*State, error) {
	if msg.GetRevision() <= s.Revision {
		return s, nil
	}
	text, err := s.text(msg)
	if err != nil {
		return s, err
	}
	if rule.Hash(text) != msg.GetHash() {
		return s, errors.Wrapf(ErrRulesMismatch, "hash of revision %d", msg.GetRevision())
	}
	return s.WithRulesText(msg.GetRevision(), text), nil
}

// WithRulesText returns the state with newer rules; an older or equal revision leaves it unchanged.
func (s *State) WithRulesText(revision uint64, text string) *State {
	if revision <= s.Revision {
		return s
	}
	next := *s
	next.Revision = revision
	next.RulesText = text
	return &next
}

// WithMembers returns the state after a members message.
func (s *State) WithMembers(msg *control.Members) *State {
	next := *s
	next.Members = slices.Clone(s.Members)
	if msg.GetFull() {
		next.Members = nil
	}
	for _, node := range msg.GetGone() {
		if at, ok := next.find(node); ok {
			next.Members = slices.Delete(next.Members, at, at+1)
		}
	}
	next.Members = slices.Grow(next.Members, len(msg.GetSet()))
	for _, m := range msg.GetSet() {
		at, ok := next.find(m.GetNode())
		if !ok {
			next.Members = slices.Insert(next.Members, at, nil)
		}
		next.Members[at] = m
	}
	return &next
}

// find returns the place of a node in the members, which are sorted by node name.
func (s *State) find(node string) (at int, ok bool) {
	return slices.BinarySearchFunc(s.Members, node, func(m *control.Member, node string) int {
		return strings.Compare(m.GetNode(), node)
	})
}

// WithView returns the state with the failover decision.
func (s *State) WithView(v View) *State {
	if s.Server == v.Server && s.Confirmed == v.Confirmed {
		return s
	}
	next := *s
	next.Server = v.Server
	next.Confirmed = v.Confirmed
	return &next
}

func (s *State) text(msg *control.Rules) (string, error) {
	if msg.GetBase() == 0 {
		return msg.GetText(), nil
	}
	if msg.GetBase() != s.Revision {
		return "", errors.Wrapf(ErrRulesMismatch, "base %d, held %d", msg.GetBase(), s.Revision)
	}
	edits := lo.Map(msg.GetEdits(), func(e *control.Edit, _ int) rule.Edit {
		return rule.Edit{Start: int(e.GetStart()), Count: int(e.GetCount()), Lines: e.GetLines()}
	})
	text, err := rule.Patch(s.RulesText, edits, msg.GetHash())
	return text, errors.Mark(err, ErrRulesMismatch)
}
