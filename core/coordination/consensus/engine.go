package consensus

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/disk"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/wal"
)

// A snapshot is taken after SnapshotEntries applied entries once the log is as long as the last snapshot, so that
// many claims do not make the group write snapshots all the time; in any case after SnapshotFactor times as many
// entries, or when the log has SnapshotBytes. This bounds the replay at a start.
const (
	SnapshotMinEntries       = 4096
	SnapshotMaxEntriesFactor = 16
	SnapshotMaxLogBytes      = 64 << 20
)

// Config describes one member.
type Config struct {
	Name      string
	FS        disk.FS
	Dir       string
	Peers     []Peer // first voters, this one included unless Join
	Join      bool   // start as a learner of an existing group
	MaxVoters int    // most voters; 0: every member becomes one
	Replica   replica.Config

	ElectionTimeout    time.Duration // 0: raft.DefaultElection
	HeartbeatInterval  time.Duration // 0: raft.DefaultHeartbeat
	SnapshotMinEntries uint64        // 0: SnapshotEntries
	TrailingEntries    uint64        // 0: raft.DefaultTrailing
	Rand               *rand.Rand

	// Send passes messages to a member by name; it may lose, repeat and reorder them.
	Send func(to string, messages [][]byte)
	// ReplicaLock is held while the replica changes; nil if nobody else reads it.
	ReplicaLock sync.Locker
}

// Peer is a control process.
type Peer struct {
	Name    string
	Address string // host:port
	Region  string
}

// check refuses names that cannot be told apart in member IDs.
func (c Config) check() error {
	seen := map[string]bool{}
	for _, p := range c.Peers {
		if p.Name == "" || strings.Contains(p.Name, "/") || seen[p.Name] {
			return errors.Newf("open member %s: peer name %q is empty, repeated or contains a slash", c.Name, p.Name)
		}
		seen[p.Name] = true
	}
	if !c.Join && !seen[c.Name] {
		return errors.Newf("open member %s: it is not among its peers", c.Name)
	}
	return nil
}

// Errors of outcomes. After ErrLost and ErrRefused the command is not and will not be applied.
var (
	ErrBusy                    = errors.New("too many proposals are not committed yet")
	ErrInvalidMembershipChange = errors.New("not possible with these members")
	ErrSuperseded              = errors.New("another leader replaced the command before it was committed")
	ErrOutcomeUnknown          = errors.New("outcome of the proposal is unknown")
)

// NotLeaderError means that the command was not proposed, because this member does not lead.
type NotLeaderError struct {
	Leader string // name, empty if unknown
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return "not the leader, the leader is " + e.Leader
}

// Engine is one member of the control group; it is not safe for concurrent use.
type Engine struct {
	cfg      Config
	log      *wal.Log
	content  wal.Content // as opened
	identity identity
	founding *founding // nil once the first voters are known
	model    *raft.Model
	replica  *replica.Replica
	salt     uint64 // added to tokens, so that an answer to a token of an earlier process matches none
	waiting  map[uint64][]waiter
	reads    []waiter // by index at which they may be answered
	outbox   []outgoing
	outcomes []Outcome
	joinAt   time.Time
	size     int // of the last snapshot in bytes
	err      error
	known    []string // names of members before this one left, asked besides the peers
}

// waiter is a proposal that waits for its index or a read that waits for an index.
type waiter struct {
	token uint64
	index uint64
	term  uint64
}

type outgoing struct {
	to       string
	messages [][]byte
}

// Open reads the data folder and starts the member; an empty folder becomes a new member.
func Open(cfg Config, now time.Time) (*Engine, error) {
	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = raft.DefaultElectionTimeout
	}
	if cfg.SnapshotMinEntries == 0 {
		cfg.SnapshotMinEntries = SnapshotMinEntries
	}
	if cfg.ReplicaLock == nil {
		cfg.ReplicaLock = &sync.Mutex{}
	}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	log, content, err := wal.Open(wal.Config{FS: cfg.FS, Dir: cfg.Dir})
	if err != nil && !errors.Is(err, wal.ErrEmpty) {
		return nil, errors.Wrapf(err, "open member %s", cfg.Name)
	}
	e := &Engine{
		cfg: cfg, log: log, content: content, replica: replica.New(cfg.Replica),
		salt: cfg.Rand.Uint64(), waiting: map[uint64][]waiter{},
	}
	if err = e.open(now, err != nil); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "open member %s", cfg.Name), log.Close())
	}
	return e, nil
}

func (e *Engine) open(now time.Time, empty bool) error {
	if empty {
		e.identity = identity{id: newID(e.cfg.Name, e.cfg.Rand), joined: e.cfg.Join}
		if !e.cfg.Join && e.cfg.MaxVoters > 0 {
			e.identity.peers = namesOf(e.cfg.Peers)
		}
		e.content.Meta = e.identity.encode()
		if err := e.log.Reset(e.content); err != nil {
			return err
		}
	} else if err := e.identity.decode(e.content.Meta); err != nil {
		return err
	}
	if ProcessName(e.identity.id) != e.cfg.Name {
		return errors.Newf("data folder belongs to member %s", e.identity.id)
	}
	if e.identity.founded() {
		return e.startModel(now)
	}
	if e.identity.joined || e.cfg.Join && len(e.identity.peers) == 0 {
		e.identity.joined = true // the folder has never voted
		return e.start(now)
	}
	if len(e.identity.peers) > 0 {
		// The process ended while it founded the group; the other first voters still wait for this folder.
		e.cfg.Peers = peersOf(e.identity.peers)
	}
	e.founding = newFounding(e.cfg.Name, e.identity.id)
	return e.tryFound(now)
}

func (e *Engine) startModel(now time.Time) error {
	if s := e.content.Snapshot; s.Index > 0 {
		if err := e.restore(s); err != nil {
			return err
		}
	}
	model, err := raft.New(raft.Config{
		ID: e.identity.id, InitialMembership: e.identity.membership(),
		ElectionTimeout: e.cfg.ElectionTimeout, HeartbeatInterval: e.cfg.HeartbeatInterval, TrailingEntries: e.cfg.TrailingEntries, Rand: e.cfg.Rand,
		MaxVoters: e.cfg.MaxVoters,
	}, now, e.content)
	e.model = model
	e.content = wal.Content{Meta: e.content.Meta}
	return err
}

// Err returns the error that stopped the member, or nil.
func (e *Engine) Err() error { return e.err }

// ID returns the ID of this member.
func (e *Engine) ID() string { return e.identity.id }

// Replica returns the state; the caller must hold the Guard or be the goroutine that calls Step.
func (e *Engine) Replica() *replica.Replica { return e.replica }

// View returns the consensus state; it is empty until the first voters know each other and after a failure.
func (e *Engine) View(now time.Time) raft.View {
	if e.model == nil || e.err != nil {
		return raft.View{}
	}
	return e.model.View(now)
}

// Close closes the log.
func (e *Engine) Close() error { return e.log.Close() }
