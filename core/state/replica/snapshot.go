package replica

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/protofield"
)

// SnapshotFormat is the version of the snapshot; Restore refuses every other one.
const SnapshotFormat = 1

// Estimates of encoded sizes in bytes, so that the snapshot is written without copies.
const (
	claimOverhead = 48
	changeSize    = 128
)

// Snapshot returns the whole state; equal states give equal bytes.
func (r *Replica) Snapshot() []byte {
	r.compact()
	var w protofield.Writer
	w.Grow(len(r.rules.Text) + r.bytes + len(r.claims)*claimOverhead + len(r.changes)*changeSize)
	w.Uint(1, SnapshotFormat)
	w.Uint(2, r.applied)
	w.Int(3, r.now)
	w.Uint(4, r.rules.Revision)
	w.Uint(5, r.rules.ChangeNumber)
	w.String(6, r.rules.Text)
	for _, c := range r.changes {
		w.Nested(7, c.write)
	}
	for _, f := range r.refusals {
		w.Nested(8, f.write)
	}
	for _, c := range r.order {
		w.Nested(9, c.write)
	}
	for _, m := range r.members {
		w.Nested(10, m.write)
	}
	for _, id := range r.left {
		w.String(11, id)
	}
	w.Uint(12, r.version)
	for _, e := range r.edits {
		w.Nested(13, e.write)
	}
	return w.Encoded()
}

// Restore returns the Replica of a snapshot; the rule text is not checked again.
func Restore(cfg Config, b []byte) (*Replica, error) {
	r := New(cfg)
	format := uint64(0)
	err := protofield.ForEach(b, func(f protofield.Field) error {
		if f.Number == 1 {
			format = f.Uint
			return nil
		}
		return r.read(f)
	})
	if err != nil {
		return nil, errors.Wrap(err, "restore replica")
	}
	if format != SnapshotFormat {
		return nil, errors.Newf("restore replica: snapshot has format %d, this program reads format %d", format, SnapshotFormat)
	}
	return r, nil
}

func (r *Replica) read(f protofield.Field) error {
	switch f.Number {
	case 2:
		r.applied = f.Uint
	case 3:
		r.now = f.Int()
	case 4:
		r.rules.Revision = f.Uint
	case 5:
		r.rules.ChangeNumber = f.Uint
	case 6:
		r.rules.Text = f.Text()
	case 7:
		return readInto(&r.changes, f, (*AcceptedChange).read)
	case 8:
		return readInto(&r.refusals, f, (*refusal).read)
	case 9:
		c := &claim{}
		if err := c.read(f.Bytes); err != nil {
			return err
		}
		r.insert(c)
	case 10:
		return readInto(&r.members, f, (*Member).read)
	case 11:
		r.left = append(r.left, f.Text())
	case 12:
		r.version = f.Uint
	case 13:
		return readInto(&r.edits, f, (*edit).read)
	}
	return nil
}

func readInto[T any](list *[]T, f protofield.Field, read func(*T, []byte) error) error {
	var v T
	if err := read(&v, f.Bytes); err != nil {
		return err
	}
	*list = append(*list, v)
	return nil
}
