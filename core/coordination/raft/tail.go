package raft

import "pollenhill.example/core/state/wal"

// tail is the part of the log in memory, after the entry at base.
type tail struct {
	base     uint64
	baseTerm uint64
	entries  []wal.Entry
}

func (t *tail) last() uint64 { return t.base + uint64(len(t.entries)) }

func (t *tail) lastTerm() uint64 {
	term, _ := t.term(t.last())
	return term
}

func (t *tail) term(index uint64) (uint64, bool) {
	switch {
	case index == t.base:
		return t.baseTerm, true
	case index < t.base || index > t.last():
		return 0, false
	}
	return t.entries[index-t.base-1].Term, true
}

// from returns entries from an index on, at least one and otherwise at most size bytes.
func (t *tail) from(index uint64, size int) []wal.Entry {
	if index <= t.base || index > t.last() {
		return nil
	}
	list := t.entries[index-t.base-1:]
	for i, e := range list {
		size -= len(e.Data) + entryOverhead
		if size < 0 && i > 0 {
			return list[:i:i]
		}
	}
	return list[:len(list):len(list)]
}

// between returns the entries after one index up to another.
func (t *tail) between(after, to uint64) []wal.Entry {
	return t.entries[after-t.base : to-t.base : to-t.base]
}

// cut drops the entries from an index on; the slice is copied because effects may still hold the old one.
func (t *tail) cut(index uint64) {
	t.entries = append([]wal.Entry(nil), t.entries[:index-t.base-1]...)
}

// compact drops the entries up to an index.
func (t *tail) compact(index uint64) {
	if index <= t.base {
		return
	}
	t.baseTerm, _ = t.term(index)
	t.entries = append([]wal.Entry(nil), t.entries[index-t.base:]...)
	t.base = index
}
