package raft

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/field"
	"pollenhill.example/core/state/wal"
)

// Message goes from one member to another; each kind uses only its own fields.
type Message struct {
	Kind         Kind
	From         string
	To           string
	Term         uint64
	Index        uint64 // PreVote, Vote: last entry; Append: entry before Entries; Appended: last equal or the rejected entry; Install: snapshot; ReadIndexed: read index
	LogTerm      uint64 // term of the entry at Index
	Commit       uint64 // Append
	Entries      []wal.Entry
	Reject       bool
	Offset       uint64 // rejected Appended: where to go on; Install, Installed: offset in bytes
	Round        uint64 // Append, Install and their answers: counts heartbeats; ReadIndex, ReadIndexed: token
	HasQuorum    bool   // Append: the leader has a quorum
	SnapshotSize uint64 // Install: size of the snapshot in bytes
	Membership   []byte // Install: membership of the snapshot
	Chunk        []byte // Install: part of the snapshot at Hint
}

// Encode returns the bytes of the message.
func (m Message) Encode() []byte {
	var w field.Writer
	w.Uint(1, uint64(m.Kind))
	w.String(2, m.From)
	w.String(3, m.To)
	w.Uint(4, m.Term)
	w.Uint(5, m.Index)
	w.Uint(6, m.LogTerm)
	w.Uint(7, m.Commit)
	for _, e := range m.Entries {
		w.Nested(8, e.Write)
	}
	w.Uint(9, flag(m.Reject))
	w.Uint(10, m.Offset)
	w.Uint(11, m.Round)
	w.Uint(12, flag(m.HasQuorum))
	w.Uint(13, m.SnapshotSize)
	w.Bytes(14, m.Membership)
	w.Bytes(15, m.Chunk)
	return w.Done()
}

func flag(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}

// valid returns whether the parts of a message fit together, so that a damaged one cannot harm the log.
func (m Message) valid() bool {
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term < term || e.Term > m.Term {
			return false
		}
		term = e.Term
	}
	return m.From != "" && m.From != m.To && m.LogTerm <= m.Term && uint64(len(m.Chunk)) <= m.SnapshotSize
}

// DecodeMessage reads bytes written by Encode.
func DecodeMessage(b []byte) (Message, error) {
	var m Message
	err := field.Read(b, m.read)
	return m, errors.Wrap(err, "decode raft message")
}

func (m *Message) read(f field.Field) error {
	switch f.Number {
	case 1:
		m.Kind = Kind(f.Uint)
	case 2:
		m.From = f.Text()
	case 3:
		m.To = f.Text()
	case 4:
		m.Term = f.Uint
	case 5:
		m.Index = f.Uint
	case 6:
		m.LogTerm = f.Uint
	case 7:
		m.Commit = f.Uint
	case 8:
		var e wal.Entry
		if err := e.Parse(f.Bytes); err != nil {
			return err
		}
		m.Entries = append(m.Entries, e)
	case 9:
		m.Reject = f.Uint == 1
	case 10:
		m.Offset = f.Uint
	case 11:
		m.Round = f.Uint
	case 12:
		m.HasQuorum = f.Uint == 1
	case 13:
		m.SnapshotSize = f.Uint
	case 14:
		m.Membership = f.Clone()
	case 15:
		m.Chunk = f.Clone()
	}
	return nil
}
