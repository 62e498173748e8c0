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
	Name    string // name of this control process, one of Peers
	DataDir string // folder of the log and the snapshots
	Peers   []Peer // initial voters, this process included; with Join the members to ask for admission
	Join    bool   // start as a learner of an existing group
	// MaxVoters bounds the voters of a group that adds and replaces members by itself; 0: operators choose the members.
	MaxVoters int
	Replica   replica.Config

	ElectionTimeout   time.Duration // minimum; each timeout is drawn between it and twice as much; 0: 400 ms
	HeartbeatInterval time.Duration // 0: 100 ms

	// Send passes encoded messages to the member with the given name. It must not block and may drop messages. It is
	// called from one goroutine at a time, for the first time before Open returns.
	Send func(to string, messages [][]byte)
	// Forward proposes an encoded command at the leader by ProposeForwarded; nil: Propose returns NotLeaderError.
	// It returns a NotLeaderError only if the other member did; after any other error the outcome is unknown.
	Forward func(ctx context.Context, to string, command []byte) (result []byte, err error)

	FS  disk.FS          // nil: disk.Real
	Now func() time.Time // nil: time.Now
}

// Peer is a control process in the group.
type Peer struct {
	Name    string
	Address netip.AddrPort
	Region  string
}

// View is a copy of the consensus state, as reported in status responses and heartbeats.
type View struct {
	ID           string // of this member, unique per data folder
	Leader       string // name, empty if unknown
	Term         uint64
	CommitIndex  uint64
	AppliedIndex uint64
	Current      bool     // in contact with a quorum within the election timeout, with everything applied that was committed before that contact
	PendingRules uint64   // index up to which there may be newer rules than those of the replica, 0 if none are known
	Voters       []string // names
	Learners     []string // names

	DynamicMembership bool // the group adds and replaces members by itself; their names are their addresses
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
