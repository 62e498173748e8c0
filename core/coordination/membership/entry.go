package membership

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"pollenhill.example/core/protocol/control"
)

// version orders what is known of one node.
type version struct {
	incarnation uint64
	sequence    uint64
}

func (v version) compare(w version) int {
	return cmp.Or(cmp.Compare(v.incarnation, w.incarnation), cmp.Compare(v.sequence, w.sequence))
}

// entry is one node, or its tombstone when member is nil.
type entry struct {
	member  *control.Member // immutable; its sequence is that of the last change
	version version
	print   uint64
	gone    bool      // tombstone of a node that said it is gone; other tombstones come from expired leases
	expires time.Time // end of the lease or of the tombstone
	via     string    // control process it was learned through, empty if announced here
}

func newEntry(m *control.Member) *entry {
	return &entry{
		member:  m,
		version: version{incarnation: m.GetIncarnation(), sequence: m.GetSequence()},
		print:   hash(m),
		gone:    m.GetGone(),
	}
}

// newer reports whether e replaces old; the order is total, so that merging commutes.
func (e *entry) newer(old *entry) bool {
	if c := e.version.compare(old.version); c != 0 {
		return c > 0
	}
	if old.member == nil || e.gone {
		return e.gone && !old.gone
	}
	return e.print > old.print
}

// current returns the member with its current sequence.
func (e *entry) current(node string) *control.Member {
	m := &control.Member{Node: node, Incarnation: e.version.incarnation, Sequence: e.version.sequence, Gone: e.gone}
	if e.member != nil {
		m.Address = e.member.GetAddress()
		m.Zone = e.member.GetZone()
		m.Region = e.member.GetRegion()
		m.Backends = e.member.GetBackends()
		m.Hints = e.member.GetHints()
	}
	return m
}

func (e *entry) renewal(node string) *control.Renewal {
	return &control.Renewal{Node: node, Incarnation: e.version.incarnation, Sequence: e.version.sequence, Print: e.print}
}

// hash returns a hash of the member without its sequence.
func hash(m *control.Member) uint64 {
	sequence := m.GetSequence()
	m = proto.CloneOf(m)
	m.Sequence = 0
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Text that is not UTF-8; the sequence makes the member differ from every other version.
		return sequence
	}
	return xxhash.Sum64(raw)
}
