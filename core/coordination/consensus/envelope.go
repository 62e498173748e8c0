package consensus

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/field"
	"pollenhill.example/core/state/replica"
)

// envelope is what travels between members: exactly one of raft, hello, join and left is set.
type envelope struct {
	raft    *raft.Message
	hello   *hello
	join    *replica.Member
	relayed bool   // join: by a follower
	left    string // ID of the receiver, which the group has removed
}

// hello is exchanged by founding members until each knows the ID of every other.
type hello struct {
	name   string
	id     string
	ids    map[string]string // ID by name, as far as the sender knows them
	answer bool
}

func (e envelope) encode() []byte {
	var w field.Writer
	switch {
	case e.raft != nil:
		w.Bytes(1, e.raft.Encode())
	case e.hello != nil:
		w.Nested(2, e.hello.write)
	case e.left != "":
		w.String(5, e.left)
	case e.join != nil:
		w.Bytes(3, replica.Command{Kind: replica.Join, Member: *e.join}.Encode())
	}
	if e.relayed {
		w.Uint(4, 1)
	}
	return w.Done()
}

func decodeEnvelope(b []byte) (envelope, error) {
	var e envelope
	err := field.Read(b, func(f field.Field) error {
		switch f.Number {
		case 1:
			m, err := raft.DecodeMessage(f.Bytes)
			e.raft = &m
			return err
		case 2:
			e.hello = &hello{ids: map[string]string{}}
			return e.hello.read(f.Bytes)
		case 3:
			c, err := replica.DecodeCommand(f.Bytes)
			e.join = &c.Member
			return err
		case 4:
			e.relayed = f.Uint == 1
		case 5:
			e.left = f.Text()
		}
		return nil
	})
	return e, errors.Wrap(err, "decode message")
}

func (h hello) write(w *field.Writer) {
	w.String(1, h.name)
	w.String(2, h.id)
	for _, name := range slices.Sorted(maps.Keys(h.ids)) {
		w.String(3, h.ids[name])
	}
	if h.answer {
		w.Uint(4, 1)
	}
}

func (h *hello) read(b []byte) error {
	return field.Read(b, func(f field.Field) error {
		switch f.Number {
		case 1:
			h.name = f.Text()
		case 2:
			h.id = f.Text()
		case 3:
			h.ids[ProcessName(f.Text())] = f.Text()
		case 4:
			h.answer = f.Uint == 1
		}
		return nil
	})
}
