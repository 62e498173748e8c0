package wal

import "pollenhill.example/core/state/protofield"

// HardState is the durable part of the consensus state besides the log.
type HardState struct {
	Term uint64
	Vote string // member voted for in Term, empty for none
}

// Entry is one entry of the consensus log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  int // meaning given by the consensus model
	Data  []byte
}

// Snapshot replaces the entries up to Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership []byte // membership at Index, encoded by the consensus model
	Data       []byte // state at Index
}

// Content is everything that a data folder holds.
type Content struct {
	Identity  []byte // identity of the member, written once
	HardState HardState
	Snapshot  Snapshot // Index 0: none
	Entries   []Entry  // consecutive, from Snapshot.Index+1
}

// Write appends the fields of the state.
func (s HardState) Write(w *protofield.Writer) {
	w.Uint(1, s.Term)
	w.String(2, s.Vote)
}

// Parse reads the fields written by Write.
func (s *HardState) Parse(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			s.Term = f.Uint
		case 2:
			s.Vote = f.Text()
		}
		return nil
	})
}

// Write appends the fields of the entry.
func (e Entry) Write(w *protofield.Writer) {
	w.Uint(1, e.Index)
	w.Uint(2, e.Term)
	w.Uint(3, uint64(e.Kind))
	w.Bytes(4, e.Data)
}

// Parse reads the fields written by Write.
func (e *Entry) Parse(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			e.Index = f.Uint
		case 2:
			e.Term = f.Uint
		case 3:
			e.Kind = int(f.Uint)
		case 4:
			e.Data = f.Clone()
		}
		return nil
	})
}

// Write appends the fields of the snapshot.
func (s Snapshot) Write(w *protofield.Writer) {
	w.Uint(1, s.Index)
	w.Uint(2, s.Term)
	w.Bytes(3, s.Membership)
	w.Bytes(4, s.Data)
}

// Parse reads the fields written by Write.
func (s *Snapshot) Parse(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			s.Index = f.Uint
		case 2:
			s.Term = f.Uint
		case 3:
			s.Membership = f.Clone()
		case 4:
			s.Data = f.Clone()
		}
		return nil
	})
}
