package consensus_test

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"

	"pollenhill.example/core/state/replica"
)

// operation is one operation of a client. The key is empty for operations on the rules.
type operation struct {
	kind    replica.CommandKind // None is a read of the rules
	number  uint64
	text    string
	key     string
	attempt string
}

// observation is the response that the client observed.
type observation struct {
	unknown bool // no response, or one saying that the outcome is unknown
	verdict replica.Verdict
	number  uint64
	text    string
	answer  string
}

// rulesState is the sequential specification of the rules. Its sets of changes are strings, because porcupine compares
// states by value.
type rulesState struct {
	number     uint64
	text       string
	accepted   string // ";number=text;" of each accepted change, in order
	outOfOrder string // ";number=text;" of each change refused as out of order
}

func (s rulesState) acceptedText(number uint64) (string, bool) {
	_, rest, ok := strings.Cut(s.accepted, fmt.Sprintf(";%d=", number))
	text, _, _ := strings.Cut(rest, ";")
	return text, ok
}

func (s rulesState) change(in operation) (replica.Verdict, rulesState) {
	entry := fmt.Sprintf(";%d=%s;", in.number, in.text)
	text, taken := s.acceptedText(in.number)
	switch {
	case taken && text == in.text:
		return replica.VerdictAccepted, s
	case strings.Contains(s.outOfOrder, entry):
		return replica.VerdictOutOfOrder, s
	case taken:
		return replica.VerdictRejected, s
	case in.number != s.number+1:
		s.outOfOrder += entry
		return replica.VerdictOutOfOrder, s
	}
	s.number = in.number
	s.text = in.text
	s.accepted += entry
	return replica.VerdictAccepted, s
}

// claimState is the sequential specification of one key.
type claimState struct {
	owner  string
	answer string
}

func (s claimState) step(in operation) (replica.Verdict, claimState) {
	switch {
	case in.kind == replica.CommandClaim && s.answer != "":
		return replica.VerdictDone, s
	case in.kind == replica.CommandClaim && (s.owner == "" || s.owner == in.attempt):
		return replica.VerdictGranted, claimState{owner: in.attempt}
	case in.kind == replica.CommandClaim:
		return replica.VerdictHeld, s
	case s.owner != in.attempt || s.answer != "":
		return replica.VerdictIgnored, s
	case in.kind == replica.CommandFinishClaim:
		return replica.VerdictStored, claimState{owner: in.attempt, answer: in.attempt}
	}
	return replica.VerdictStored, claimState{}
}

var rulesModel = porcupine.Model{
	Init: func() any { return rulesState{} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(rulesState), in.(operation), out.(observation)
		if i.kind == replica.CommandNone {
			return o.unknown || o.number == s.number && o.text == s.text, s
		}
		verdict, next := s.change(i)
		numberMatches := verdict != replica.VerdictRejected || o.number == i.number
		return o.unknown || o.verdict == verdict && numberMatches, next
	},
}

var claimModel = porcupine.Model{
	Init: func() any { return claimState{} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(claimState), in.(operation), out.(observation)
		verdict, next := s.step(i)
		answerMatches := verdict != replica.VerdictDone || o.answer == s.answer
		return o.unknown || o.verdict == verdict && answerMatches, next
	},
}
