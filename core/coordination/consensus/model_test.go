package consensus_test

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"

	"pollenhill.example/core/state/replica"
)

// input is one operation of a client; key is empty for operations on the rules.
type input struct {
	kind    replica.Kind // None: read of the rules
	number  uint64
	text    string
	key     string
	attempt string
}

// output is what the client saw.
type output struct {
	unknown bool // no answer, or one that says that the outcome is unknown
	verdict replica.Verdict
	number  uint64
	text    string
	answer  string
}

// rulesState is the specification of the rules: what was accepted, and what was refused as out of order.
type rulesState struct {
	number   uint64
	text     string
	accepted string // number=text; in order
	refused  string // number=text;
}

func (s rulesState) accept(number uint64) (string, bool) {
	_, rest, ok := strings.Cut(s.accepted, fmt.Sprintf(";%d=", number))
	text, _, _ := strings.Cut(rest, ";")
	return text, ok
}

func (s rulesState) change(in input) (replica.Verdict, rulesState) {
	entry := fmt.Sprintf(";%d=%s;", in.number, in.text)
	text, taken := s.accept(in.number)
	switch {
	case taken && text == in.text:
		return replica.Accepted, s
	case strings.Contains(s.refused, entry):
		return replica.OutOfOrder, s
	case taken:
		return replica.Rejected, s
	case in.number != s.number+1:
		s.refused += entry
		return replica.OutOfOrder, s
	}
	s.number = in.number
	s.text = in.text
	s.accepted += entry
	return replica.Accepted, s
}

// claimState is the specification of one key.
type claimState struct {
	owner  string
	answer string
}

func (s claimState) step(in input) (replica.Verdict, claimState) {
	switch {
	case in.kind == replica.Claim && s.answer != "":
		return replica.Done, s
	case in.kind == replica.Claim && (s.owner == "" || s.owner == in.attempt):
		return replica.Granted, claimState{owner: in.attempt}
	case in.kind == replica.Claim:
		return replica.Held, s
	case s.owner != in.attempt || s.answer != "":
		return replica.Ignored, s
	case in.kind == replica.Finish:
		return replica.Stored, claimState{owner: in.attempt, answer: in.attempt}
	}
	return replica.Stored, claimState{}
}

var rulesModel = porcupine.Model{
	Init: func() any { return rulesState{} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(rulesState), in.(input), out.(output)
		if i.kind == replica.None {
			return o.unknown || o.number == s.number && o.text == s.text, s
		}
		verdict, next := s.change(i)
		shown := verdict != replica.Rejected || o.number == i.number
		return o.unknown || o.verdict == verdict && shown, next
	},
}

var claimModel = porcupine.Model{
	Init: func() any { return claimState{} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(claimState), in.(input), out.(output)
		verdict, next := s.step(i)
		same := verdict != replica.Done || o.answer == s.answer
		return o.unknown || o.verdict == verdict && same, next
	},
}
