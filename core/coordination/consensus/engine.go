package consensus

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/disk"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/wal"
)

// Limits that trigger a snapshot and thereby bound the log replay at a start. A snapshot is taken
//   - after SnapshotMinEntries applied entries if the log is at least as long as the last snapshot, so that a high rate of
//     claims doesn't make the group write snapshots all the time;
//   - after SnapshotMaxEntriesFactor times as many entries in any case;
//   - when the log reaches SnapshotMaxLogBytes and is at least as long as the last snapshot. The entries since the snapshot
//     stay in memory, so that this bounds them too.
const (
	SnapshotMinEntries       = 4096
	SnapshotMaxEntriesFactor = 16
	SnapshotMaxLogBytes      = 8 << 20
)

// Config configures one member.
type Config struct {
	Name      string // of the control process
	FS        disk.FS
	Dir       string // data folder
	Peers     []Peer // initial voters, including this member unless Join is set
	Join      bool   // start as a learner of an existing group
	MaxVoters int    // 0: every member becomes a voter, and operators choose the members
	Replica   replica.Config

	ElectionTimeout    time.Duration // 0: raft.DefaultElectionTimeout
	HeartbeatInterval  time.Duration // 0: raft.DefaultHeartbeatInterval
	SnapshotMinEntries uint64        // 0: the constant of that name
	TrailingEntries    uint64        // 0: raft.DefaultTrailingEntries
	Rand               *rand.Rand

	// Send sends messages to a member by process name. It may lose, duplicate and reorder them.
	Send func(to string, messages [][]byte)
	// ReplicaLock is held while the replica changes. It may be nil if no other goroutine reads the replica.
	ReplicaLock sync.Locker
}

// Peer names a control process and where it can be reached.
type Peer struct {
	Name    string
	Address string // host:port
	Region  string
}

// validate rejects process names that would be ambiguous in member IDs, and a member that is missing from the initial
// voters.
func (c Config) validate() error {
	seen := map[string]bool{}
	for _, p := range c.Peers {
		if p.Name == "" || strings.Contains(p.Name, "/") || seen[p.Name] {
			return errors.Newf("open member %s: peer name %q is empty, duplicate or contains a slash", c.Name, p.Name)
		}
		seen[p.Name] = true
	}
	if !c.Join && !seen[c.Name] {
		return errors.Newf("open member %s: not listed among its peers", c.Name)
	}
	return nil
}

// Errors of an Outcome. After ErrBusy, ErrInvalidMembershipChange and ErrSuperseded the command was not applied and never
// will be; after ErrOutcomeUnknown it may have been or may still be.
var (
	ErrBusy                    = errors.New("too many proposals are not committed yet")
	ErrInvalidMembershipChange = errors.New("not possible with these members")
	ErrSuperseded              = errors.New("another leader replaced the command before it was committed")
	ErrOutcomeUnknown          = errors.New("outcome of the proposal is unknown")
)

// NotLeaderError means that a command or read had no effect, because this member is not the leader or, for a read, because
// no leader confirmed it.
type NotLeaderError struct {
	Leader string // process name, empty if unknown
}

// Error returns a message with the name of the leader, if known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return "not the leader, the leader is " + e.Leader
}

// Engine is one member of the control group. It is not safe for concurrent use.
type Engine struct {
	cfg              Config
	log              *wal.Log
	openedContent    wal.Content // of the data folder; only Meta is kept once the model has started
	identity         identity
	bootstrap        *bootstrap  // nil once the initial voters are known
	model            *raft.Model // nil during bootstrap
	replica          *replica.Replica
	tokenOffset      uint64                      // random, added to tokens; no response to an earlier process matches a token of this one
	pendingProposals map[uint64][]pendingRequest // by log index
	pendingReads     []pendingRequest
	outbox           []outgoingBatch
	outcomes         []Outcome
	nextJoinRequest  time.Time
	snapshotSize     int    // of the last snapshot, in bytes
	loggedRules      uint64 // last entry of the opened log that may change the rules, 0 once this member has been current
	err              error
	formerPeers      []string // process names of the members before this one was removed; asked to join in addition to Peers
}

// pendingRequest is a proposal or a read that is answered when the entry at index is applied.
type pendingRequest struct {
	token uint64
	index uint64
	term  uint64 // of the proposed entry, unused for reads
}

type outgoingBatch struct {
	to       string
	messages [][]byte
}

// Open reads the data folder and starts the member. An empty folder becomes a new member with a new ID.
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
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, content, err := wal.Open(wal.Config{FS: cfg.FS, Dir: cfg.Dir})
	if err != nil && !errors.Is(err, wal.ErrEmpty) {
		return nil, errors.Wrapf(err, "open member %s", cfg.Name)
	}
	e := &Engine{
		cfg: cfg, log: log, openedContent: content, replica: replica.New(cfg.Replica),
		tokenOffset: cfg.Rand.Uint64(), pendingProposals: map[uint64][]pendingRequest{},
	}
	if err = e.initialize(now, err != nil); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "open member %s", cfg.Name), log.Close())
	}
	return e, nil
}

func (e *Engine) initialize(now time.Time, empty bool) error {
	if empty {
		e.identity = identity{id: newMemberID(e.cfg.Name, e.cfg.Rand), joined: e.cfg.Join}
		if !e.cfg.Join && e.cfg.MaxVoters > 0 {
			e.identity.initialPeers = peerNames(e.cfg.Peers)
		}
		e.openedContent.Identity = e.identity.encode()
		if err := e.log.Replace(e.openedContent); err != nil {
			return err
		}
	} else if err := e.identity.decode(e.openedContent.Identity); err != nil {
		return err
	}
	if ProcessName(e.identity.id) != e.cfg.Name {
		return errors.Newf("data folder belongs to member %s", e.identity.id)
	}
	if e.identity.hasMembership() {
		return e.startModel(now)
	}
	if e.identity.joined || e.cfg.Join && len(e.identity.initialPeers) == 0 {
		e.identity.joined = true // safe, because this folder has never voted
		return e.storeIdentityAndStart(now)
	}
	if len(e.identity.initialPeers) > 0 {
		// The process stopped during the bootstrap of the group; the other initial voters still wait for this folder.
		e.cfg.Peers = peersFromNames(e.identity.initialPeers)
	}
	e.bootstrap = newBootstrap(e.cfg.Name, e.identity.id)
	return e.tryFinishBootstrap(now)
}

func (e *Engine) startModel(now time.Time) error {
	if s := e.openedContent.Snapshot; s.Index > 0 {
		if err := e.restoreReplica(s); err != nil {
			return err
		}
	}
	model, err := raft.New(raft.Config{
		ID: e.identity.id, InitialMembership: e.identity.initialMembership(),
		ElectionTimeout: e.cfg.ElectionTimeout, HeartbeatInterval: e.cfg.HeartbeatInterval,
		TrailingEntries: e.cfg.TrailingEntries, Rand: e.cfg.Rand, MaxVoters: e.cfg.MaxVoters,
	}, now, e.openedContent)
	e.model = model
	e.loggedRules = e.lastRuleChange(e.openedContent.Entries)
	e.openedContent = wal.Content{Identity: e.openedContent.Identity}
	return err
}

// lastRuleChange returns the index of the last of the entries that may change the rules, 0 if they change none. The entries follow
// those that the replica has applied.
func (e *Engine) lastRuleChange(entries []wal.Entry) uint64 {
	if !slices.ContainsFunc(entries, func(entry wal.Entry) bool { return isCommand(entry) && e.replica.MayChangeRules(entry.Data) }) {
		return 0
	}
	for _, entry := range slices.Backward(entries) {
		if isCommand(entry) && replica.CanChangeRules(entry.Data) {
			return entry.Index
		}
	}
	return 0
}

func isCommand(entry wal.Entry) bool { return entry.Kind == raft.EntryCommand }

// PendingRules returns the index up to which there may be newer rules than those of the replica, 0 if none are known. There may be
// in entries of the opened log, as long as this member doesn't know whether they are committed, and in entries that a leader has
// committed and this member has not applied yet. Without either, the rules of the replica are the newest that this member can
// know of, even if it has no contact with a quorum. It takes the View of the same moment.
func (e *Engine) PendingRules(v raft.View) uint64 {
	switch {
	case v.Current:
		return 0
	case v.Applied < e.loggedRules:
		return max(v.Missing, e.loggedRules)
	}
	return v.Missing
}

// Err returns the error that stopped the member, or nil while it runs.
func (e *Engine) Err() error { return e.err }

// ID returns the member ID, which belongs to the data folder and changes if the member was replaced.
func (e *Engine) ID() string { return e.identity.id }

// Replica returns the replicated state. The caller must hold ReplicaLock or be the goroutine that calls Step.
func (e *Engine) Replica() *replica.Replica { return e.replica }

// View returns the consensus state. It is empty during bootstrap and after an error.
func (e *Engine) View(now time.Time) raft.View {
	if e.model == nil || e.err != nil {
		return raft.View{}
	}
	return e.model.View(now)
}

// Close closes the write-ahead log.
func (e *Engine) Close() error { return e.log.Close() }
