// Package raft is the consensus of the control group as a pure model: messages and time in, effects out.
//
// It has pre-votes, check-quorum, durable votes, linearizable reads, chunked snapshots, learners and
// membership changes of one member at a time. A member is known by an ID that is unique per data folder: a
// member that lost its disk comes back with a new ID and hence as a learner, because its old votes and
// acknowledgements are gone and counting it again could elect a leader without a committed entry.
package raft
