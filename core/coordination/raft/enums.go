package raft

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Role,MessageKind,RejectReason -linecomment -output=enums_string.go

// Role is the state of a member in the election protocol.
type Role int

// Roles of a member. A PreCandidate asks whether it could win before it becomes a Candidate.
const (
	Follower     Role = iota // follower
	PreCandidate             // pre-candidate
	Candidate                // candidate
	Leader                   // leader
)

// MessageKind is the kind of a Message. The numbers are part of the wire format.
type MessageKind int

// Kinds of messages, with the response of each kind after it.
const (
	PreVote                 MessageKind = iota + 1 // pre-vote
	PreVoteResponse                                // pre-voted
	Vote                                           // vote
	VoteResponse                                   // voted
	Append                                         // append
	AppendResponse                                 // appended
	InstallSnapshot                                // install
	InstallSnapshotResponse                        // installed
	ReadIndex                                      // read index
	ReadIndexResponse                              // read indexed
)

// RejectReason says why a proposal, membership change or read was rejected.
type RejectReason int

// Reasons for a rejection.
const (
	NotLeader               RejectReason = iota // not the leader
	Busy                                        // too much is not committed yet
	InvalidMembershipChange                     // not possible with these members
)

// Kinds of log entries. The numbers are part of the log format.
const (
	EntryCommand    = iota // command of the application
	EntryNoOp              // first entry of a term
	EntryMembership        // membership, with an optional command
)
