package loadreport

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/state/protofield"
)

// Datagram is a subscription if Backend is empty, otherwise a load report about Backend.
type Datagram struct {
	Node        string // sending node
	Incarnation uint64 // of the sending node
	Sequence    uint64 // increases with every report of an incarnation
	Backend     string
	Hint        hint.Hint
}

// Encode returns the wire form of the datagram.
func (d Datagram) Encode() []byte {
	var w protofield.Writer
	w.String(1, d.Node)
	w.Uint(2, d.Incarnation)
	w.Uint(3, d.Sequence)
	w.String(4, d.Backend)
	if d.Backend != "" {
		w.String(5, d.Hint.String())
	}
	return w.Encoded()
}

// Decode parses the wire form written by Encode; it fails if the form is malformed or names no sending node.
func Decode(b []byte) (Datagram, error) {
	var d Datagram
	err := protofield.ForEach(b, func(f protofield.Field) error {
		var err error
		switch f.Number {
		case 1:
			d.Node = f.Text()
		case 2:
			d.Incarnation = f.Uint
		case 3:
			d.Sequence = f.Uint
		case 4:
			d.Backend = f.Text()
		case 5:
			d.Hint, err = hint.Parse(f.Text())
		}
		return err
	})
	if err == nil && d.Node == "" {
		err = errors.New("sending node is missing")
	}
	return d, errors.Wrap(err, "decode load report")
}
