package consensus

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/protofield"
)

// identity is stored in the data folder. It is written before the member sends any message.
type identity struct {
	id            string   // member ID
	initialVoters []string // IDs; empty during bootstrap and for a member that joined
	joined        bool     // started as a learner of an existing group
	initialPeers  []string // process names of the initial voters, to resume an interrupted bootstrap; empty if joined
}

func peerNames(peers []Peer) []string {
	return lo.Map(peers, func(p Peer, _ int) string { return p.Name })
}

func peersFromNames(names []string) []Peer {
	return lo.Map(names, func(name string, _ int) Peer { return Peer{Name: name, Address: name} })
}

// newMemberID returns the ID of a new data folder: the process name and a random number that distinguishes it from earlier
// folders of the same process.
func newMemberID(name string, r *rand.Rand) string {
	return fmt.Sprintf("%s/%016x", name, r.Uint64())
}

// ProcessName returns the name of the control process in a member ID.
func ProcessName(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}

func (i identity) encode() []byte {
	var w protofield.Writer
	w.String(1, i.id)
	for _, id := range i.initialVoters {
		w.String(2, id)
	}
	if i.joined {
		w.Uint(3, 1)
	}
	for _, name := range i.initialPeers {
		w.String(4, name)
	}
	return w.Encoded()
}

func (i *identity) decode(b []byte) error {
	err := protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			i.id = f.Text()
		case 2:
			i.initialVoters = append(i.initialVoters, f.Text())
		case 3:
			i.joined = f.Uint == 1
		case 4:
			i.initialPeers = append(i.initialPeers, f.Text())
		}
		return nil
	})
	return errors.Wrap(err, "decode identity")
}

// hasMembership reports whether the bootstrap is complete or was not needed.
func (i identity) hasMembership() bool { return i.joined || len(i.initialVoters) > 0 }

func (i identity) initialMembership() raft.Membership {
	return raft.Membership{Voters: i.initialVoters}
}
