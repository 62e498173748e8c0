package raft

import (
	"slices"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/protofield"
)

// Membership is the set of member IDs, in ascending order. Learners receive the log but don't vote.
type Membership struct {
	Voters   []string
	Learners []string
}

// Encode returns the encoding of the membership as used in log entries, without a command.
func (s Membership) Encode() []byte { return s.encode(nil) }

func (s Membership) encode(command []byte) []byte {
	var w protofield.Writer
	for _, id := range s.Voters {
		w.String(1, id)
	}
	for _, id := range s.Learners {
		w.String(2, id)
	}
	w.Bytes(3, command)
	return w.Encoded()
}

// DecodeMembership parses an encoded membership and the application command stored with it, if any.
func DecodeMembership(b []byte) (s Membership, command []byte, err error) {
	err = protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			s.Voters = append(s.Voters, f.Text())
		case 2:
			s.Learners = append(s.Learners, f.Text())
		case 3:
			command = f.Clone()
		}
		return nil
	})
	return s, command, errors.Wrap(err, "decode membership")
}

func (s Membership) isVoter(id string) bool { return slices.Contains(s.Voters, id) }

func (s Membership) contains(id string) bool { return s.isVoter(id) || slices.Contains(s.Learners, id) }

func (s Membership) isQuorum(n int) bool { return n > len(s.Voters)/2 }

func (s Membership) withLearner(id string) Membership {
	return Membership{Voters: s.Voters, Learners: insertSorted(s.Learners, id)}
}

func (s Membership) withPromoted(id string) Membership {
	return Membership{Voters: insertSorted(s.Voters, id), Learners: removeID(s.Learners, id)}
}

func (s Membership) without(id string) Membership {
	return Membership{Voters: removeID(s.Voters, id), Learners: removeID(s.Learners, id)}
}

func insertSorted(list []string, id string) []string {
	list = append(slices.Clone(list), id)
	slices.Sort(list)
	return list
}

func removeID(list []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(other string) bool { return other == id })
}
