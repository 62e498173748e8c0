package raft

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Role,Kind,Reason -linecomment -output=role_string.go

// Role is what a member does in its term.
type Role int

// Roles of a member.
const (
	Follower     Role = iota // follower
	PreCandidate             // pre-candidate
	Candidate                // candidate
	Leader                   // leader
)

// Kind is the kind of a Message; the numbers are part of the wire format.
type Kind int

// Kinds of messages.
const (
	PreVote                 Kind = iota + 1 // pre-vote
	PreVoteResponse                         // pre-voted
	Vote                                    // vote
	VoteResponse                            // voted
	Append                                  // append
	AppendResponse                          // appended
	InstallSnapshot                         // install
	InstallSnapshotResponse                 // installed
	ReadIndex                               // read index
	ReadIndexResponse                       // read indexed
)

// Reason says why a proposal or a read was rejected before it had any effect.
type Reason int

// Reasons of a rejection.
const (
	NotLeader               Reason = iota // not the leader
	Busy                                  // too much is not committed yet
	InvalidMembershipChange               // not possible with these members
)

// Kinds of log entries; the numbers are part of the log format.
const (
	EntryCommand    = iota // command of the application
	EntryNoOp              // first entry of a term
	EntryMembership        // membership, with an optional command
)
