package raft

import (
	"math/rand/v2"
	"time"

	"pollenhill.example/core/state/wal"
)

// Defaults of Config. A message takes about 1 ms within and between zones and a disk sync takes a few, so an election
// timeout of 400 ms tolerates long pauses and an election still finishes well within a second.
const (
	DefaultElectionTimeout    = 400 * time.Millisecond
	DefaultHeartbeatInterval  = 100 * time.Millisecond
	DefaultMaxAppendBytes     = 1 << 20   // entries per Append message, in bytes
	DefaultSnapshotChunkBytes = 256 << 10 // snapshot data per InstallSnapshot message, in bytes
	DefaultTrailingEntries    = 256       // entries kept before the snapshot, so that slow followers need no snapshot
	DefaultTrailingBytes      = 4 << 20   // of those entries
)

const (
	maxUncommittedEntries   = 8192     // further proposals are rejected as Busy
	maxUncommittedBytes     = 16 << 20 // of those entries
	maxInflightEntries      = 4096     // sent to one follower and not acknowledged
	maxInflightBytes        = 4 << 20  // of those entries
	maxElectionBackoffShift = 8        // doublings of the retry delay, which the election timeout bounds in any case
	entryOverheadBytes      = 24       // size of an entry besides its data
)

// Config configures one member. Zero values of the fields with a Default constant select that default.
type Config struct {
	ID                 string
	InitialMembership  Membership    // membership before the first log entry, equal on all members
	ElectionTimeout    time.Duration // minimum; each timeout is drawn between this and twice this
	HeartbeatInterval  time.Duration
	MaxAppendBytes     int    // entries per Append message, in bytes
	SnapshotChunkBytes int    // snapshot data per InstallSnapshot message, in bytes
	TrailingEntries    uint64 // entries kept in memory before the snapshot
	TrailingBytes      uint64 // of those entries; with less, fewer are kept
	MaxVoters          int    // further members stay learners until a voter is lost; 0 promotes every learner
	Rand               *rand.Rand
}

func (c Config) withDefaults() Config {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.MaxAppendBytes == 0 {
		c.MaxAppendBytes = DefaultMaxAppendBytes
	}
	if c.SnapshotChunkBytes == 0 {
		c.SnapshotChunkBytes = DefaultSnapshotChunkBytes
	}
	if c.TrailingEntries == 0 {
		c.TrailingEntries = DefaultTrailingEntries
	}
	if c.TrailingBytes == 0 {
		c.TrailingBytes = DefaultTrailingBytes
	}
	return c
}

// Model is the consensus state of one member. It is not safe for concurrent use.
type Model struct {
	cfg          Config
	role         Role
	state        wal.HardState
	stateChanged bool // state was changed after the last Save or Rewrite
	leader       string
	log          logTail
	snapshot     wal.Snapshot
	memberships  []logMembership // ascending by index, starting with the one in force at the snapshot
	commitIndex  uint64
	appliedIndex uint64
	durableIndex uint64 // last entry known to be on disk

	issuedSequence    uint64 // of the last Save or Rewrite
	persistedSequence uint64 // of the last Persisted
	pendingWrites     []pendingWrite
	heldMessages      []heldMessage

	now           time.Time
	electionAt    time.Time // when the next election starts
	leaderHeardAt time.Time // last message from the leader
	quorumHeardAt time.Time // last message from a leader that was in contact with a quorum
	contactIndex  uint64    // commit index of that leader when the contact with the quorum began

	electionTries    int // pre-votes started since a leader was heard or a vote was granted
	votes            map[string]bool
	voteSequence     uint64 // sequence of the Save that makes the own vote durable
	leaderState      leaderState
	incomingSnapshot wal.Snapshot // snapshot being received
	incomingFrom     string       // sender of incomingSnapshot

	cmds []Cmd
}

// logMembership is the membership set by the log entry at index.
type logMembership struct {
	index      uint64
	membership Membership
}

// pendingWrite is a Save or Rewrite that is not yet durable, with the last log entry that it covers.
type pendingWrite struct {
	sequence uint64
	index    uint64
	term     uint64
}

// heldMessage is sent once the write with its sequence number is durable.
type heldMessage struct {
	sequence uint64
	message  Message
}

// New returns the Model of a member, restored from the content of its data folder.
func New(cfg Config, now time.Time, c wal.Content) (*Model, error) {
	cfg = cfg.withDefaults()
	m := &Model{
		cfg: cfg, now: now, state: c.HardState, snapshot: c.Snapshot,
		log:         newLogTail(c.Snapshot.Index, c.Snapshot.Term, c.Entries...),
		commitIndex: c.Snapshot.Index, appliedIndex: c.Snapshot.Index,
		memberships: []logMembership{{membership: cfg.InitialMembership}},
	}
	if c.Snapshot.Index > 0 {
		members, _, err := DecodeMembership(c.Snapshot.Membership)
		if err != nil {
			return nil, err
		}
		m.memberships = []logMembership{{c.Snapshot.Index, members}}
	}
	for _, e := range c.Entries {
		if err := m.recordMembership(e); err != nil {
			return nil, err
		}
	}
	m.durableIndex = m.log.lastIndex()
	m.resetElectionTimer()
	// The first election comes early: after a power loss of all members there is no leader, and without a leader no rules
	// can be served. This doesn't disturb a running leader, because members that hear from it refuse pre-votes.
	m.electionAt = now.Add(m.cfg.ElectionTimeout/4 + time.Duration(m.cfg.Rand.Int64N(int64(m.cfg.ElectionTimeout)/2)))
	if members := m.membership(); len(members.Voters) == 1 && members.isVoter(cfg.ID) {
		m.electionAt = now
	}
	return m, nil
}

// Update handles one input at the given time and returns the effects to carry out.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if now.After(m.now) {
		m.now = now
	}
	m.cmds = nil
	switch msg := msg.(type) {
	case Tick:
		m.tick()
	case Receive:
		m.receive(msg.Message)
	case Propose:
		m.propose(msg.Proposals)
	case ChangeMembership:
		m.changeMembership(msg)
	case Read:
		m.read("", msg.Tokens)
	case Persisted:
		m.onPersisted(msg.Sequence)
	case Compact:
		m.compact(msg)
	}
	if m.stateChanged {
		m.save(nil)
	}
	m.applyCommitted()
	return m.cmds
}

func (m *Model) tick() {
	switch {
	case m.role == Leader:
		m.tickLeader()
	case m.now.Before(m.electionAt):
	case m.membership().isVoter(m.cfg.ID):
		m.startPreVote()
	default:
		m.resetElectionTimer()
	}
}

func (m *Model) emit(c Cmd) { m.cmds = append(m.cmds, c) }

// send emits Append and InstallSnapshot messages immediately. All others depend on the persistent state of this member
// and are held until every earlier write is durable.
func (m *Model) send(msg Message) {
	if m.stateChanged {
		m.save(nil)
	}
	msg.From = m.cfg.ID
	if msg.Term == 0 {
		msg.Term = m.state.Term
	}
	if m.persistedSequence < m.issuedSequence && msg.Kind != Append && msg.Kind != InstallSnapshot {
		m.heldMessages = append(m.heldMessages, heldMessage{m.issuedSequence, msg})
		return
	}
	m.emit(Send{msg})
}

func (m *Model) save(entries []wal.Entry) {
	m.issuedSequence++
	m.stateChanged = false
	m.pendingWrites = append(m.pendingWrites, pendingWrite{m.issuedSequence, m.log.lastIndex(), m.log.lastTerm()})
	m.emit(Save{m.issuedSequence, m.state, entries})
}

func (m *Model) rewrite() {
	m.issuedSequence++
	m.stateChanged = false
	m.pendingWrites = append(m.pendingWrites, pendingWrite{m.issuedSequence, m.log.lastIndex(), m.log.lastTerm()})
	m.emit(Rewrite{m.issuedSequence, m.state, m.snapshot, m.log.between(m.snapshot.Index, m.log.lastIndex())})
}

func (m *Model) onPersisted(sequence uint64) {
	m.persistedSequence = max(m.persistedSequence, sequence)
	for len(m.pendingWrites) > 0 && m.pendingWrites[0].sequence <= m.persistedSequence {
		w := m.pendingWrites[0]
		m.pendingWrites = m.pendingWrites[1:]
		if term, ok := m.log.term(w.index); ok && term == w.term {
			m.durableIndex = max(m.durableIndex, w.index)
		}
	}
	for len(m.heldMessages) > 0 && m.heldMessages[0].sequence <= m.persistedSequence {
		m.emit(Send{m.heldMessages[0].message})
		m.heldMessages = m.heldMessages[1:]
	}
	if m.role == Candidate && m.voteSequence <= m.persistedSequence {
		m.countVote(m.cfg.ID, true)
	}
	if m.role == Leader {
		m.tryCommit()
	}
}

// applyCommitted emits the entries that are committed and durable on this member.
func (m *Model) applyCommitted() {
	to := min(m.commitIndex, m.durableIndex)
	if to <= m.appliedIndex {
		return
	}
	m.emit(Apply{m.log.between(m.appliedIndex, to)})
	m.appliedIndex = to
}

// becomeFollower switches to the follower role in the given term, which may be the current one.
func (m *Model) becomeFollower(term uint64, leader string) {
	if term > m.state.Term {
		m.state = wal.HardState{Term: term}
		m.stateChanged = true
	}
	if m.role == Leader {
		m.rejectPendingReads()
	}
	m.role = Follower
	m.leader = leader
	m.resetElectionTimer()
}

func (m *Model) resetElectionTimer() {
	m.electionTries = 0
	m.electionAt = m.now.Add(m.cfg.ElectionTimeout + time.Duration(m.cfg.Rand.Int64N(int64(m.cfg.ElectionTimeout))))
}

func (m *Model) receive(msg Message) {
	switch {
	case msg.To != m.cfg.ID || !msg.valid() || !m.acceptTerm(msg):
		return
	case msg.Kind == PreVote:
		m.onPreVote(msg)
	case msg.Kind == PreVoteResponse:
		m.onPreVoteResponse(msg)
	case msg.Kind == Vote:
		m.onVote(msg)
	case msg.Kind == VoteResponse && m.role == Candidate:
		m.countVote(msg.From, !msg.Reject)
	case msg.Kind == Append:
		m.onAppend(msg)
	case msg.Kind == InstallSnapshot:
		m.onInstallSnapshot(msg)
	case msg.Kind == AppendResponse && m.role == Leader:
		m.onAppendResponse(msg)
	case msg.Kind == InstallSnapshotResponse && m.role == Leader:
		m.onInstallSnapshotResponse(msg)
	case msg.Kind == ReadIndex:
		m.onReadIndex(msg)
	case msg.Kind == ReadIndexResponse:
		m.onReadIndexResponse(msg)
	}
}

// acceptTerm checks the term of a message, adopts a newer one and reports whether the message should be handled.
func (m *Model) acceptTerm(msg Message) bool {
	switch {
	case msg.Kind == PreVote || msg.Kind == PreVoteResponse && !msg.Reject:
		return true
	case msg.Kind == Vote && msg.Term > m.state.Term && m.hasActiveLeader():
		return false
	case msg.Term > m.state.Term:
		m.becomeFollower(msg.Term, "")
		return true
	case msg.Term == m.state.Term:
		return true
	case msg.Kind == Append || msg.Kind == InstallSnapshot:
		// The response carries the newer term, so that the stale leader steps down.
		m.send(Message{Kind: AppendResponse, To: msg.From, Reject: true})
	case msg.Kind == Vote:
		m.send(Message{Kind: VoteResponse, To: msg.From, Reject: true})
	}
	return false
}

// hasActiveLeader reports whether this member leads or heard from a leader within the election timeout. Votes for other
// candidates are refused meanwhile.
func (m *Model) hasActiveLeader() bool {
	return m.role == Leader || m.leader != "" && m.now.Before(m.leaderHeardAt.Add(m.cfg.ElectionTimeout))
}
