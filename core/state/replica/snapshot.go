package replica

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/protofield"
)

// SnapshotFormat is the version of the snapshot format; Restore refuses every other one.
const SnapshotFormat = 1

// Estimates of encoded sizes, by which Snapshot reserves its buffer to avoid copies while it grows.
const (
	claimOverheadBytes  = 48
	acceptedChangeBytes = 128
)

// Snapshot encodes the whole state; equal states have equal encodings.
func (r *Replica) Snapshot() []byte {
	r.compactClaims()
	var w protofield.Writer
	w.Grow(len(r.rules.Text) + r.claimBytes + len(r.claims)*claimOverheadBytes + len(r.acceptedChanges)*acceptedChangeBytes)
	w.Uint(1, SnapshotFormat)
	w.Uint(2, r.appliedIndex)
	w.Int(3, r.stateTime)
	w.Uint(4, r.rules.Revision)
	w.Uint(5, r.rules.ChangeNumber)
	w.String(6, r.rules.Text)
	for _, c := range r.acceptedChanges {
		w.Nested(7, c.write)
	}
	for _, f := range r.refusedChanges {
		w.Nested(8, f.write)
	}
	for _, c := range r.claimsByAge {
		w.Nested(9, c.write)
	}
	for _, m := range r.members {
		w.Nested(10, m.write)
	}
	for _, id := range r.departedIDs {
		w.String(11, id)
	}
	w.Uint(12, r.tableVersion)
	for _, e := range r.tableChanges {
		w.Nested(13, e.write)
	}
	for _, e := range r.endedInstances {
		w.Nested(14, e.write)
	}
	for _, o := range r.zoneOrders {
		w.Nested(15, o.write)
	}
	return w.Encoded()
}

// Restore returns the Replica of a snapshot. It returns an error for a damaged snapshot or another format, but does not
// validate the rule file again.
func Restore(cfg Config, b []byte) (*Replica, error) {
	r := New(cfg)
	format := uint64(0)
	err := protofield.ForEach(b, func(f protofield.Field) error {
		if f.Number == 1 {
			format = f.Uint
			return nil
		}
		return r.restoreField(f)
	})
	if err != nil {
		return nil, errors.Wrap(err, "restore replica")
	}
	if format != SnapshotFormat {
		return nil, errors.Newf("restore replica: snapshot has format version %d, this program reads version %d", format, SnapshotFormat)
	}
	return r, nil
}

// restoreField applies one field of a snapshot.
func (r *Replica) restoreField(f protofield.Field) error {
	switch f.Number {
	case 2:
		r.appliedIndex = f.Uint
	case 3:
		r.stateTime = f.Int()
	case 4:
		r.rules.Revision = f.Uint
	case 5:
		r.rules.ChangeNumber = f.Uint
	case 6:
		r.rules.Text = f.Text()
	case 7:
		return appendParsed(&r.acceptedChanges, f, (*AcceptedChange).parse)
	case 8:
		return appendParsed(&r.refusedChanges, f, (*refusedChange).parse)
	case 9:
		c := &claim{}
		if err := c.parse(f.Bytes); err != nil {
			return err
		}
		r.insertClaim(c)
	case 10:
		return appendParsed(&r.members, f, (*Member).parse)
	case 11:
		r.departedIDs = append(r.departedIDs, f.Text())
	case 12:
		r.tableVersion = f.Uint
	case 13:
		return appendParsed(&r.tableChanges, f, (*tableChange).parse)
	case 14:
		return appendParsed(&r.endedInstances, f, (*endedInstance).parse)
	case 15:
		return appendParsed(&r.zoneOrders, f, (*zoneOrder).parse)
	}
	return nil
}

// appendParsed parses a nested message and appends it to list.
func appendParsed[T any](list *[]T, f protofield.Field, parse func(*T, []byte) error) error {
	var v T
	if err := parse(&v, f.Bytes); err != nil {
		return err
	}
	*list = append(*list, v)
	return nil
}
