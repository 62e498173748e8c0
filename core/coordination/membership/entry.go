package membership

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"pollenhill.example/core/protocol/control"
)

// version orders the announcements of one node.
type version struct {
	incarnation uint64
	sequence    uint64
}

func (v version) compare(w version) int {
	return cmp.Or(cmp.Compare(v.incarnation, w.incarnation), cmp.Compare(v.sequence, w.sequence))
}

// entry is a node, or its tombstone if member is nil.
type entry struct {
	member        *control.Member // immutable; its sequence is that of the last change
	version       version
	fingerprint   uint64
	announcedGone bool      // tombstone of a node that announced its end; other tombstones come from expired leases
	expires       time.Time // end of the lease or of the tombstone
	source        string    // control process that it came from, empty if announced here
}

func newEntry(m *control.Member) *entry {
	return &entry{
		member:        m,
		version:       version{incarnation: m.GetIncarnation(), sequence: m.GetSequence()},
		fingerprint:   fingerprint(m),
		announcedGone: m.GetGone(),
	}
}

// isNewerThan reports whether e replaces old. The order is total, so that merging is commutative.
func (e *entry) isNewerThan(old *entry) bool {
	if c := e.version.compare(old.version); c != 0 {
		return c > 0
	}
	if old.member == nil || e.announcedGone {
		return e.announcedGone && !old.announcedGone
	}
	return e.fingerprint > old.fingerprint
}

// currentMember returns the member, or the announcement of its end, with the latest sequence.
func (e *entry) currentMember(node string) *control.Member {
	m := &control.Member{Node: node, Incarnation: e.version.incarnation, Sequence: e.version.sequence, Gone: e.announcedGone}
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
	return &control.Renewal{Node: node, Incarnation: e.version.incarnation, Sequence: e.version.sequence, Print: e.fingerprint}
}

// fingerprint returns a hash of the content of a member, without its sequence.
func fingerprint(m *control.Member) uint64 {
	sequence := m.GetSequence()
	m = proto.CloneOf(m)
	m.Sequence = 0
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// A string is not valid UTF-8. With the sequence as fingerprint, the member differs from all its other versions.
		return sequence
	}
	return xxhash.Sum64(raw)
}
