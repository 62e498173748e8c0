// Package raft implements the Raft consensus protocol as a pure state machine: inputs and the current time go in,
// effects come out, and the caller carries them out.
//
// It supports pre-vote, check quorum, linearizable reads (ReadIndex), chunked snapshots, learners and membership
// changes of one member at a time. Votes and acknowledgements are sent only after they are durable.
//
// A member ID is unique per data folder. A member that lost its disk returns with a new ID and as a learner: its old
// votes and acknowledgements are gone, and counting it as the old member could elect a leader that lacks a committed
// entry.
package raft
