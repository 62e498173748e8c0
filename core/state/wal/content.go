package wal

import "pollenhill.example/core/state/protofield"

// HardState is the consensus state, besides the log, that must be durable before a message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote string // ID of the member voted for in Term, empty for none
}

// Entry is one entry of the consensus log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  int // defined by package raft
	Data  []byte
}

// Snapshot is the state after the entry at Index; it replaces the entries up to there.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership []byte // at Index, encoded by package raft
	Data       []byte // state of the state machine at Index
}

// Content is everything that the log of a data folder holds.
type Content struct {
	Identity  []byte // of the member, encoded by package consensus, written once
	HardState HardState
	Snapshot  Snapshot // none if Index is 0
	Entries   []Entry  // with consecutive indexes from Snapshot.Index+1
}

// Write appends the fields of the hard state to w.
func (s HardState) Write(w *protofield.Writer) {
	w.Uint(1, s.Term)
	w.String(2, s.Vote)
}

// Parse decodes the fields that Write wrote.
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

// Write appends the fields of the entry to w.
func (e Entry) Write(w *protofield.Writer) {
	w.Uint(1, e.Index)
	w.Uint(2, e.Term)
	w.Uint(3, uint64(e.Kind))
	w.Bytes(4, e.Data)
}

// Parse decodes the fields that Write wrote.
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

// writeHead appends the fields of the snapshot to w up to Data, whose bytes must follow.
func (s Snapshot) writeHead(w *protofield.Writer) {
	w.Uint(1, s.Index)
	w.Uint(2, s.Term)
	w.Bytes(3, s.Membership)
	w.BytesHead(4, len(s.Data))
}

// Parse decodes the fields that writeHead wrote and the data after them. Data aliases b.
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
			s.Data = f.Bytes
		}
		return nil
	})
}
