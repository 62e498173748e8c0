package raft

import "pollenhill.example/core/state/wal"

// Msg is an input of Model.Update.
type Msg interface{ msg() }

// Tick lets time pass.
type Tick struct{}

// Receive delivers a message of another member.
type Receive struct{ Message Message }

// Propose asks for entries; the answer to each is Proposed or Reject.
type Propose struct{ Proposals []Proposal }

// Proposal is one command with the token of its answer.
type Proposal struct {
	Token uint64
	Data  []byte
}

// ChangeMembership asks for a membership change; the answer is Proposed or Reject.
type ChangeMembership struct {
	Token   uint64
	Member  string
	Remove  bool   // otherwise the member is added as a learner
	Command []byte // command applied with the change
}

// Read asks for linearizable reads; the answer to each token is Ready or Reject.
type Read struct{ Tokens []uint64 }

// Persisted reports that everything up to the effect with this sequence number is durable.
type Persisted struct{ Sequence uint64 }

// Compact reports a snapshot of the application at an applied index.
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

// Cmd is an effect that Model.Update asks for; effects are carried out in order, except that Send need not
// wait for a Save or Rewrite before it.
type Cmd interface{ cmd() }

// Send passes a message to another member.
type Send struct{ Message Message }

// Save appends to the log and is answered by Persisted.
type Save struct {
	Sequence uint64
	State    wal.State
	Entries  []wal.Entry
}

// Rewrite replaces the content of the data folder and is answered by Persisted.
type Rewrite struct {
	Sequence uint64
	State    wal.State
	Snapshot wal.Snapshot
	Entries  []wal.Entry
}

// Restore replaces the state of the application.
type Restore struct{ Snapshot wal.Snapshot }

// Apply runs committed entries on the application.
type Apply struct{ Entries []wal.Entry }

// Proposed says at which index and term an entry will be applied, if it is.
type Proposed struct {
	Token uint64
	Index uint64
	Term  uint64
}

// ReadReady says that a read may be answered once Index is applied.
type ReadReady struct {
	Token uint64
	Index uint64
}

// Rejected says that a proposal or read had no effect.
type Rejected struct {
	Token  uint64
	Reason Reason
}

// Halt says that the log contradicts another member's and that this member must stop.
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
