package follow

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
)

// State is the last valid state that a node received; a State is immutable.
type State struct {
	RulesText string            // rules in force, byte for byte
	Revision  uint64            // 0 before the first rules
	Members   []*control.Member // members that the node needs, sorted by node name
	Server    string            // followed control process, empty for none
	Confirmed bool              // a current control process confirms the rules
}

// ErrRulesMismatch reports a rules message that does not apply to the rules in the State or does not match its own hash; the
// full text is needed.
var ErrRulesMismatch = errors.New("rules message does not match the rules of this node")

// WithRules returns the state after a rules message; an older or equal revision leaves it unchanged. It returns the state
// unchanged and ErrRulesMismatch if the message does not apply.
func (s *State) WithRules(msg *control.Rules) (*State, error) {
	if msg.GetRevision() <= s.Revision {
		return s, nil
	}
	text, err := s.rulesText(msg)
	if err != nil {
		return s, err
	}
	if rule.Hash(text) != msg.GetHash() {
		return s, errors.Wrapf(ErrRulesMismatch, "wrong hash of revision %d", msg.GetRevision())
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
		if at, ok := next.findMember(node); ok {
			next.Members = slices.Delete(next.Members, at, at+1)
		}
	}
	next.Members = slices.Grow(next.Members, len(msg.GetSet()))
	for _, m := range msg.GetSet() {
		at, ok := next.findMember(m.GetNode())
		if !ok {
			next.Members = slices.Insert(next.Members, at, nil)
		}
		next.Members[at] = m
	}
	return &next
}

// findMember returns the index of a node in Members, or where to insert it.
func (s *State) findMember(node string) (index int, ok bool) {
	return slices.BinarySearchFunc(s.Members, node, func(m *control.Member, node string) int {
		return strings.Compare(m.GetNode(), node)
	})
}

// WithView returns the state with the followed control process of a View.
func (s *State) WithView(v View) *State {
	if s.Server == v.Server && s.Confirmed == v.Confirmed {
		return s
	}
	next := *s
	next.Server = v.Server
	next.Confirmed = v.Confirmed
	return &next
}

// rulesText returns the full text of a rules message, which may hold edits of an earlier revision instead.
func (s *State) rulesText(msg *control.Rules) (string, error) {
	if msg.GetBase() == 0 {
		return msg.GetText(), nil
	}
	if msg.GetBase() != s.Revision {
		return "", errors.Wrapf(ErrRulesMismatch, "edits of revision %d, have revision %d", msg.GetBase(), s.Revision)
	}
	edits := lo.Map(msg.GetEdits(), func(e *control.Edit, _ int) rule.Edit {
		return rule.Edit{Start: int(e.GetStart()), Count: int(e.GetCount()), Lines: e.GetLines()}
	})
	text, err := rule.Patch(s.RulesText, edits, msg.GetHash())
	return text, errors.Mark(err, ErrRulesMismatch)
}
