package raft

import "pollenhill.example/core/state/wal"

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Tick checks the election and heartbeat timers.
type Tick struct{}

// Receive delivers a message from another member.
type Receive struct{ Message Message }

// Propose asks for commands to be appended to the log. Each is answered by Proposed or Rejected.
type Propose struct{ Proposals []Proposal }

// Proposal is one command. Its answer carries the same token.
type Proposal struct {
	Token uint64
	Data  []byte
}

// ChangeMembership asks for one member to be added as a learner or removed. It is answered by Proposed or Rejected.
type ChangeMembership struct {
	Token   uint64
	Member  string // member ID
	Remove  bool   // false adds the member as a learner
	Command []byte // application command in the same log entry
}

// Read asks for linearizable reads. Each token is answered by ReadReady or Rejected.
type Read struct{ Tokens []uint64 }

// Persisted reports that the Save or Rewrite with this sequence number and all before it are durable.
type Persisted struct{ Sequence uint64 }

// Compact hands over a snapshot of the application at an applied index, which replaces the log entries up to it.
type Compact struct {
	Index uint64
	Data  []byte
}

func (Tick) msg()             {}
func (Receive) msg()          {}
func (Propose) msg()          {}
func (ChangeMembership) msg() {}
func (Read) msg()             {}
func (Persisted) msg()        {}
func (Compact) msg()          {}

// Cmd is an effect returned by Model.Update. Effects are carried out in order, except that a Send doesn't have to wait
// for a Save or Rewrite before it.
type Cmd interface{ cmd() }

// Send sends a message to the member in its To field.
type Send struct{ Message Message }

// Save writes the state and appends entries to the log. An entry whose index is already in the log replaces it and all
// entries after it. It is answered by Persisted.
type Save struct {
	Sequence uint64
	State    wal.HardState
	Entries  []wal.Entry
}

// Rewrite replaces the whole content of the data folder. It is answered by Persisted.
type Rewrite struct {
	Sequence uint64
	State    wal.HardState
	Snapshot wal.Snapshot
	Entries  []wal.Entry
}

// Restore replaces the state of the application by a snapshot received from the leader.
type Restore struct{ Snapshot wal.Snapshot }

// Apply applies committed entries to the application.
type Apply struct{ Entries []wal.Entry }

// Proposed says that a proposal was appended to the leader's log. It is committed if the entry that is applied at Index
// has the same Term, and lost if it has another.
type Proposed struct {
	Token uint64
	Index uint64
	Term  uint64
}

// ReadReady says that a read may be served once Index is applied.
type ReadReady struct {
	Token uint64
	Index uint64
}

// Rejected says that a proposal, membership change or read was refused and had no effect.
type Rejected struct {
	Token  uint64
	Reason RejectReason
}

// Halt says that this member must stop: a safety property is violated or a membership entry can't be decoded.
type Halt struct{ Problem string }

func (Send) cmd()      {}
func (Save) cmd()      {}
func (Rewrite) cmd()   {}
func (Restore) cmd()   {}
func (Apply) cmd()     {}
func (Proposed) cmd()  {}
func (ReadReady) cmd() {}
func (Rejected) cmd()  {}
func (Halt) cmd()      {}
