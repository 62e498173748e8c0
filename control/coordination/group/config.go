package group

import (
	"context"
	"net/netip"
	"time"

	"pollenhill.example/core/state/replica"
)

// Config describes one member of the control group.
type Config struct {
	Name    string // name of this control process, one of Peers
	Data    string // folder of the log and the snapshots
	Peers   []Peer // founding voters, this process included
	Join    bool   // start as a learner of an existing group
	Replica replica.Config

	Election  time.Duration // shortest election timeout, 0: 500 ms; timeouts are drawn up to twice as long
	Heartbeat time.Duration // 0: 100 ms

	// Send passes encoded messages to a member by name; it must not block, and it may lose them.
	Send func(to string, messages [][]byte)
	// Forward proposes an encoded command at the leader, where Serve answers it; nil: Propose returns NotLeader.
	Forward func(ctx context.Context, to string, command []byte) (result []byte, err error)
}

// Peer is a control process.
type Peer struct {
	Name    string
	Address netip.AddrPort
	Region  string
}

// View is a copy of the consensus state for status and heartbeats.
type View struct {
	ID       string // of this member, unique per data folder
	Leader   string // name, empty if unknown
	Term     uint64
	Commit   uint64
	Applied  uint64
	Current  bool     // leader with a quorum, or follower that heard such a leader, within the election timeout
	Voters   []string // names
	Learners []string // names
}
