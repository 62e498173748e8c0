package raft

import "pollenhill.example/core/state/wal"

// logTail is the part of the log kept in memory: the entries after baseIndex.
type logTail struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []wal.Entry
}

func (t *logTail) lastIndex() uint64 { return t.baseIndex + uint64(len(t.entries)) }

func (t *logTail) lastTerm() uint64 {
	term, _ := t.term(t.lastIndex())
	return term
}

func (t *logTail) term(index uint64) (uint64, bool) {
	switch {
	case index == t.baseIndex:
		return t.baseTerm, true
	case index < t.baseIndex || index > t.lastIndex():
		return 0, false
	}
	return t.entries[index-t.baseIndex-1].Term, true
}

// entriesFrom returns the entries from index on, limited to size bytes but at least one.
func (t *logTail) entriesFrom(index uint64, size int) []wal.Entry {
	if index <= t.baseIndex || index > t.lastIndex() {
		return nil
	}
	list := t.entries[index-t.baseIndex-1:]
	for i, e := range list {
		size -= len(e.Data) + entryOverheadBytes
		if size < 0 && i > 0 {
			return list[:i:i]
		}
	}
	return list[:len(list):len(list)]
}

// between returns the entries after the index after, up to and including the index to.
func (t *logTail) between(after, to uint64) []wal.Entry {
	return t.entries[after-t.baseIndex : to-t.baseIndex : to-t.baseIndex]
}

// truncateFrom drops the entries from index on. It copies the rest, because effects may still refer to the old slice.
func (t *logTail) truncateFrom(index uint64) {
	t.entries = append([]wal.Entry(nil), t.entries[:index-t.baseIndex-1]...)
}

// dropThrough drops the entries up to and including index.
func (t *logTail) dropThrough(index uint64) {
	if index <= t.baseIndex {
		return
	}
	t.baseTerm, _ = t.term(index)
	t.entries = append([]wal.Entry(nil), t.entries[index-t.baseIndex:]...)
	t.baseIndex = index
}
