package consensus

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/protofield"
	"pollenhill.example/core/state/replica"
)

// envelope is a message between control processes. Exactly one of raft, hello, join and removedID is set.
type envelope struct {
	raft      *raft.Message
	hello     *hello
	join      *replica.Member // request to become a learner
	forwarded bool            // join was forwarded by a follower
	removedID string          // ID of the receiver, which the group has removed
}

// hello is exchanged by the initial voters until each knows the ID of every other.
type hello struct {
	name     string
	id       string
	idByName map[string]string // IDs known to the sender, by process name
	isReply  bool
}

func (e envelope) encode() []byte {
	var w protofield.Writer
	switch {
	case e.raft != nil:
		w.Bytes(1, e.raft.Encode())
	case e.hello != nil:
		w.Nested(2, e.hello.write)
	case e.removedID != "":
		w.String(5, e.removedID)
	case e.join != nil:
		w.Bytes(3, replica.Command{Kind: replica.CommandJoin, Member: *e.join}.Encode())
	}
	if e.forwarded {
		w.Uint(4, 1)
	}
	return w.Encoded()
}

func decodeEnvelope(b []byte) (envelope, error) {
	var e envelope
	err := protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			m, err := raft.DecodeMessage(f.Bytes)
			e.raft = &m
			return err
		case 2:
			e.hello = &hello{idByName: map[string]string{}}
			return e.hello.read(f.Bytes)
		case 3:
			c, err := replica.DecodeCommand(f.Bytes)
			e.join = &c.Member
			return err
		case 4:
			e.forwarded = f.Uint == 1
		case 5:
			e.removedID = f.Text()
		}
		return nil
	})
	return e, errors.Wrap(err, "decode message")
}

func (h hello) write(w *protofield.Writer) {
	w.String(1, h.name)
	w.String(2, h.id)
	for _, name := range slices.Sorted(maps.Keys(h.idByName)) {
		w.String(3, h.idByName[name])
	}
	if h.isReply {
		w.Uint(4, 1)
	}
}

func (h *hello) read(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			h.name = f.Text()
		case 2:
			h.id = f.Text()
		case 3:
			h.idByName[ProcessName(f.Text())] = f.Text()
		case 4:
			h.isReply = f.Uint == 1
		}
		return nil
	})
}
