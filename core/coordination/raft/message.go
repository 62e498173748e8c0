package raft

import (
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/protofield"
	"pollenhill.example/core/state/wal"
)

// Message is sent from one member to another. Each kind uses only some of the fields.
//
// Index is, for PreVote and Vote, the last log entry of the candidate; for Append, the entry before Entries; for
// AppendResponse, the last entry that matches the leader's log or the rejected entry; for InstallSnapshot and
// InstallSnapshotResponse, the last entry in the snapshot; for ReadIndexResponse, the read index.
type Message struct {
	Kind         MessageKind
	From         string // member ID
	To           string // member ID
	Term         uint64
	Index        uint64 // depends on Kind, see above
	LogTerm      uint64 // term of the entry at Index
	Commit       uint64 // Append: commit index of the leader
	Entries      []wal.Entry
	Reject       bool
	Offset       uint64 // rejected AppendResponse: entry after which to continue; InstallSnapshot, its response: in bytes
	Round        uint64 // Append, InstallSnapshot, their responses: heartbeat round; ReadIndex, its response: token
	HasQuorum    bool   // Append: the leader is in contact with a quorum and knows every committed entry
	SnapshotSize uint64 // InstallSnapshot: in bytes
	Membership   []byte // InstallSnapshot: encoded membership at the snapshot
	Chunk        []byte // InstallSnapshot: snapshot data from Offset on
}

// Encode returns the wire format of the message.
func (m Message) Encode() []byte {
	var w protofield.Writer
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
	w.Uint(9, boolToUint(m.Reject))
	w.Uint(10, m.Offset)
	w.Uint(11, m.Round)
	w.Uint(12, boolToUint(m.HasQuorum))
	w.Uint(13, m.SnapshotSize)
	w.Bytes(14, m.Membership)
	w.Bytes(15, m.Chunk)
	return w.Encoded()
}

func boolToUint(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}

// valid reports whether the fields are consistent, so that a corrupted message cannot damage the log.
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

// DecodeMessage parses the wire format written by Encode.
func DecodeMessage(b []byte) (Message, error) {
	var m Message
	err := protofield.ForEach(b, m.read)
	return m, errors.Wrap(err, "decode raft message")
}

func (m *Message) read(f protofield.Field) error {
	switch f.Number {
	case 1:
		m.Kind = MessageKind(f.Uint)
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
