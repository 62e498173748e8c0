package consensus

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/field"
)

// identity is what a data folder says about its member; it is written before any message is sent.
type identity struct {
	id       string
	founders []string // IDs of the first voters; empty while they are not known and for a member that joined
	joined   bool
	peers    []string // names of the first voters, for a start that was interrupted; empty for a member that joined
}

func namesOf(peers []Peer) []string {
	return lo.Map(peers, func(p Peer, _ int) string { return p.Name })
}

func peersOf(names []string) []Peer {
	return lo.Map(names, func(name string, _ int) Peer { return Peer{Name: name, Address: name} })
}

// newID returns the ID of a new data folder: the number tells it from every earlier folder of the same name.
func newID(name string, r *rand.Rand) string {
	return fmt.Sprintf("%s/%016x", name, r.Uint64())
}

// ProcessName returns the name of the control process of a member ID.
func ProcessName(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}

func (i identity) encode() []byte {
	var w field.Writer
	w.String(1, i.id)
	for _, id := range i.founders {
		w.String(2, id)
	}
	if i.joined {
		w.Uint(3, 1)
	}
	for _, name := range i.peers {
		w.String(4, name)
	}
	return w.Done()
}

func (i *identity) decode(b []byte) error {
	err := field.Read(b, func(f field.Field) error {
		switch f.Number {
		case 1:
			i.id = f.Text()
		case 2:
			i.founders = append(i.founders, f.Text())
		case 3:
			i.joined = f.Uint == 1
		case 4:
			i.peers = append(i.peers, f.Text())
		}
		return nil
	})
	return errors.Wrap(err, "decode identity")
}

func (i identity) founded() bool { return i.joined || len(i.founders) > 0 }

func (i identity) membership() raft.Membership { return raft.Membership{Voters: i.founders} }
