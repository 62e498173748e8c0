package loadreport

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/state/protofield"
)

// Datagram is one datagram: a subscription if it names no back end, else a report.
type Datagram struct {
	Node        string // sender
	Incarnation uint64 // of the sender
	Sequence    uint64 // of the report, rising within an incarnation
	Backend     string
	Hint        hint.Hint
}

// Encode returns the bytes of the datagram.
func (n Datagram) Encode() []byte {
	var w protofield.Writer
	w.String(1, n.Node)
	w.Uint(2, n.Incarnation)
	w.Uint(3, n.Sequence)
	w.String(4, n.Backend)
	if n.Backend != "" {
		w.String(5, n.Hint.String())
	}
	return w.Encoded()
}

// Decode reads the form written by Encode.
func Decode(b []byte) (Datagram, error) {
	var n Datagram
	err := protofield.ForEach(b, func(f protofield.Field) error {
		var err error
		switch f.Number {
		case 1:
			n.Node = f.Text()
		case 2:
			n.Incarnation = f.Uint
		case 3:
			n.Sequence = f.Uint
		case 4:
			n.Backend = f.Text()
		case 5:
			n.Hint, err = hint.Parse(f.Text())
		}
		return err
	})
	if err == nil && n.Node == "" {
		err = errors.New("no sender")
	}
	return n, errors.Wrap(err, "decode notice")
}
