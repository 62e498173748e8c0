package raft

import (
	"slices"
	"sort"

	"pollenhill.example/core/state/wal"
)

// logTail is the part of the log kept in memory: the entries after baseIndex.
type logTail struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []wal.Entry
	ends      []uint64 // by entry: bytes of the entries up to and including it, counted from an entry that may have been dropped
	baseEnd   uint64   // what ends would be for the entry at baseIndex
}

// newLogTail returns the log that follows an entry.
func newLogTail(baseIndex, baseTerm uint64, entries ...wal.Entry) logTail {
	t := logTail{baseIndex: baseIndex, baseTerm: baseTerm}
	t.append(entries...)
	return t
}

func (t *logTail) append(entries ...wal.Entry) {
	end := t.end(t.lastIndex())
	for _, e := range entries {
		end += uint64(len(e.Data) + entryOverheadBytes)
		t.entries = append(t.entries, e)
		t.ends = append(t.ends, end)
	}
}

// end returns the bytes of the entries up to the one at index, see ends.
func (t *logTail) end(index uint64) uint64 {
	if index <= t.baseIndex {
		return t.baseEnd
	}
	return t.ends[index-t.baseIndex-1]
}

// size returns the bytes of the entries after the index after, up to and including the index to. Entries that are not in
// memory count nothing.
func (t *logTail) size(after, to uint64) uint64 { return t.end(to) - t.end(after) }

// startOf returns the index before the entries up to index that have at most the given bytes together.
func (t *logTail) startOf(index, bytes uint64) uint64 {
	n := sort.Search(int(index-t.baseIndex), func(i int) bool { return t.size(t.baseIndex+uint64(i), index) <= bytes })
	return t.baseIndex + uint64(n)
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
	keep := index - t.baseIndex - 1
	t.entries = slices.Clone(t.entries[:keep])
	t.ends = t.ends[:keep]
}

// dropThrough drops the entries up to and including index.
func (t *logTail) dropThrough(index uint64) {
	if index <= t.baseIndex {
		return
	}
	t.baseTerm, _ = t.term(index)
	t.baseEnd = t.end(index)
	drop := index - t.baseIndex
	t.entries = slices.Clone(t.entries[drop:])
	t.ends = slices.Clone(t.ends[drop:])
	t.baseIndex = index
}
