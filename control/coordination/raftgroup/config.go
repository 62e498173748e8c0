package raftgroup

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/disk"
	"pollenhill.example/core/state/replica"
)

// Config describes one member of the control group.
type Config struct {
	Name      string // name of this control process, one of Peers
	DataDir   string // folder of the log and the snapshots
	Peers     []Peer // founding voters, this process included; with Join the members to ask
	Join      bool   // start as a learner of an existing group
	MaxVoters int    // most voters, chosen without an operator; 0: operators name the members
	Replica   replica.Config

	ElectionTimeout   time.Duration // shortest election timeout, 0: 400 ms; timeouts are drawn up to twice as long
	HeartbeatInterval time.Duration // 0: 100 ms

	// Send passes encoded messages to a member by name; it must not block, and it may lose them. It is
	// called from one goroutine at a time, for the first time before Open returns.
	Send func(to string, messages [][]byte)
	// Forward proposes an encoded command at the leader, where Serve answers it; nil: Propose returns NotLeader.
	// It returns a NotLeader error only if the other member did; after any other error the outcome is unknown.
	Forward func(ctx context.Context, to string, command []byte) (result []byte, err error)

	FS  disk.FS          // nil: disk.Real
	Now func() time.Time // nil: time.Now
}

// Peer is a control process.
type Peer struct {
	Name    string
	Address netip.AddrPort
	Region  string
}

// View is a copy of the consensus state for status and heartbeats.
type View struct {
	ID           string // of this member, unique per data folder
	Leader       string // name, empty if unknown
	Term         uint64
	CommitIndex  uint64
	AppliedIndex uint64
	Current      bool     // leader with a quorum, or follower that heard such a leader, within the election timeout
	Voters       []string // names
	Learners     []string // names

	DynamicMembership bool // the group chooses its members, whose names are their addresses
}

func (c Config) withDefaults() Config {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = raft.DefaultElectionTimeout
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = raft.DefaultHeartbeatInterval
	}
	if c.FS == nil {
		c.FS = disk.Real{}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Send == nil {
		c.Send = func(string, [][]byte) {}
	}
	return c
}

func (g *Group) engineConfig() consensus.Config {
	c := g.cfg
	return consensus.Config{
		Name: c.Name, FS: c.FS, Dir: c.DataDir, Join: c.Join, MaxVoters: c.MaxVoters, Replica: c.Replica,
		ElectionTimeout: c.ElectionTimeout, HeartbeatInterval: c.HeartbeatInterval, Send: c.Send, ReplicaLock: &g.mu,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Peers: lo.Map(c.Peers, func(p Peer, _ int) consensus.Peer {
			return consensus.Peer{Name: p.Name, Address: p.Address.String(), Region: p.Region}
		}),
	}
}
