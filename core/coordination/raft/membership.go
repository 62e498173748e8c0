package raft

import (
	"slices"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/field"
)

// Membership is the set of members, by ID in order.
type Membership struct {
	Voters   []string
	Learners []string
}

// Encode returns the bytes of the membership.
func (s Membership) Encode() []byte { return s.encode(nil) }

func (s Membership) encode(command []byte) []byte {
	var w field.Writer
	for _, id := range s.Voters {
		w.String(1, id)
	}
	for _, id := range s.Learners {
		w.String(2, id)
	}
	w.Bytes(3, command)
	return w.Done()
}

// DecodeMembership reads a membership and the command that came with it.
func DecodeMembership(b []byte) (s Membership, command []byte, err error) {
	err = field.Read(b, func(f field.Field) error {
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

func (s Membership) voter(id string) bool { return slices.Contains(s.Voters, id) }

func (s Membership) has(id string) bool { return s.voter(id) || slices.Contains(s.Learners, id) }

func (s Membership) quorum(n int) bool { return n > len(s.Voters)/2 }

func (s Membership) with(id string) Membership {
	return Membership{Voters: s.Voters, Learners: insert(s.Learners, id)}
}

func (s Membership) promote(id string) Membership {
	return Membership{Voters: insert(s.Voters, id), Learners: without(s.Learners, id)}
}

func (s Membership) drop(id string) Membership {
	return Membership{Voters: without(s.Voters, id), Learners: without(s.Learners, id)}
}

func insert(list []string, id string) []string {
	list = append(slices.Clone(list), id)
	slices.Sort(list)
	return list
}

func without(list []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(other string) bool { return other == id })
}
