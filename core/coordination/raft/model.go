package raft

import (
	"math/rand/v2"
	"time"

	"pollenhill.example/core/state/wal"
)

// Defaults of Config. Within and between zones a message takes about 1 ms and a sync a few, so an election
// timeout of 400 ms tolerates a long pause, and an election still ends well inside a second.
const (
	DefaultElectionTimeout    = 400 * time.Millisecond
	DefaultHeartbeatInterval  = 100 * time.Millisecond
	DefaultMaxAppendBytes     = 1 << 20   // bytes of entries per message
	DefaultSnapshotChunkBytes = 256 << 10 // bytes of a snapshot per message
	DefaultTrailingEntries    = 256       // entries kept in memory before a snapshot, so that a slow follower needs none
)

const (
	maxPending    = 8192 // entries proposed and not committed; more are rejected as busy
	maxInflight   = 4096 // entries sent to a follower and not acknowledged
	maxTries      = 8    // doublings of the wait for an election; it is bounded by the election timeout anyway
	entryOverhead = 24   // bytes of an entry besides its data
)

// Config describes one member.
type Config struct {
	ID                 string
	InitialMembership  Membership    // membership before the first entry, equal on all members
	ElectionTimeout    time.Duration // shortest election timeout; timeouts are drawn up to twice as long
	HeartbeatInterval  time.Duration
	MaxAppendBytes     int
	SnapshotChunkBytes int
	TrailingEntries    uint64
	MaxVoters          int // most voters; further members stay learners until a voter is lost. 0: every member becomes one
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
	return c
}

// Model is the consensus state of one member; it is not safe for concurrent use.
type Model struct {
	cfg      Config
	role     Role
	state    wal.State
	dirty    bool // state differs from the last Save
	leader   string
	log      tail
	snapshot wal.Snapshot
	sets     []membershipAt // oldest needed first
	commit   uint64
	applied  uint64
	durable  uint64 // last entry known to be synced

	sequence uint64 // of the last Save or Rewrite
	synced   uint64 // of the last Persisted
	saves    []save
	held     []heldMessage

	now        time.Time
	electionAt time.Time
	heardAt    time.Time // last message of the leader
	currentAt  time.Time // last message of a leader with a quorum

	tries    int // elections tried since a leader was heard or a vote granted
	votes    map[string]bool
	voteSave uint64 // sequence that makes the own vote durable
	lead     lead
	incoming wal.Snapshot // snapshot being received
	sender   string       // of incoming

	cmds []Cmd
}

type membershipAt struct {
	index uint64
	set   Membership
}

type save struct {
	sequence uint64
	index    uint64
	term     uint64
}

type heldMessage struct {
	sequence uint64
	message  Message
}

// New returns the Model of a member with the content of its data folder.
func New(cfg Config, now time.Time, c wal.Content) (*Model, error) {
	cfg = cfg.withDefaults()
	m := &Model{
		cfg: cfg, now: now, state: c.State, snapshot: c.Snapshot,
		log:    tail{base: c.Snapshot.Index, baseTerm: c.Snapshot.Term, entries: c.Entries},
		commit: c.Snapshot.Index, applied: c.Snapshot.Index,
		sets: []membershipAt{{set: cfg.InitialMembership}},
	}
	if c.Snapshot.Index > 0 {
		set, _, err := DecodeMembership(c.Snapshot.Members)
		if err != nil {
			return nil, err
		}
		m.sets = []membershipAt{{c.Snapshot.Index, set}}
	}
	for _, e := range c.Entries {
		if err := m.noteMembers(e); err != nil {
			return nil, err
		}
	}
	m.durable = m.log.last()
	m.resetElection()
	// After a power loss of all members nobody leads, and every moment without a leader is one without rules. A leader
	// that lives is not disturbed: the others refuse pre-votes while they hear it.
	m.electionAt = now.Add(m.cfg.ElectionTimeout/4 + time.Duration(m.cfg.Rand.Int64N(int64(m.cfg.ElectionTimeout)/2)))
	if set := m.members(); len(set.Voters) == 1 && set.voter(cfg.ID) {
		m.electionAt = now
	}
	return m, nil
}

// Update applies one message at the given time and returns the effects.
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
		m.alter(msg)
	case Read:
		m.read("", msg.Tokens)
	case Persisted:
		m.persisted(msg.Sequence)
	case Compact:
		m.compact(msg)
	}
	if m.dirty {
		m.save(nil)
	}
	m.apply()
	return m.cmds
}

func (m *Model) tick() {
	switch {
	case m.role == Leader:
		m.tickLeader()
	case m.now.Before(m.electionAt):
	case m.members().voter(m.cfg.ID):
		m.preVote()
	default:
		m.resetElection()
	}
}

func (m *Model) emit(c Cmd) { m.cmds = append(m.cmds, c) }

// send passes on a message of a leader at once; every other message promises something that must be durable first.
func (m *Model) send(msg Message) {
	if m.dirty {
		m.save(nil)
	}
	msg.From = m.cfg.ID
	if msg.Term == 0 {
		msg.Term = m.state.Term
	}
	if m.synced < m.sequence && msg.Kind != Append && msg.Kind != InstallSnapshot {
		m.held = append(m.held, heldMessage{m.sequence, msg})
		return
	}
	m.emit(Send{msg})
}

func (m *Model) save(entries []wal.Entry) {
	m.sequence++
	m.dirty = false
	m.saves = append(m.saves, save{m.sequence, m.log.last(), m.log.lastTerm()})
	m.emit(Save{m.sequence, m.state, entries})
}

func (m *Model) rewrite() {
	m.sequence++
	m.dirty = false
	m.saves = append(m.saves, save{m.sequence, m.log.last(), m.log.lastTerm()})
	m.emit(Rewrite{m.sequence, m.state, m.snapshot, m.log.between(m.snapshot.Index, m.log.last())})
}

func (m *Model) persisted(sequence uint64) {
	m.synced = max(m.synced, sequence)
	for len(m.saves) > 0 && m.saves[0].sequence <= m.synced {
		s := m.saves[0]
		m.saves = m.saves[1:]
		if term, ok := m.log.term(s.index); ok && term == s.term {
			m.durable = max(m.durable, s.index)
		}
	}
	for len(m.held) > 0 && m.held[0].sequence <= m.synced {
		m.emit(Send{m.held[0].message})
		m.held = m.held[1:]
	}
	if m.role == Candidate && m.voteSave <= m.synced {
		m.countVote(m.cfg.ID, true)
	}
	if m.role == Leader {
		m.tryCommit()
	}
}

// apply hands out committed entries that are durable here.
func (m *Model) apply() {
	to := min(m.commit, m.durable)
	if to <= m.applied {
		return
	}
	m.emit(Apply{m.log.between(m.applied, to)})
	m.applied = to
}

// follow starts following in a term, also in the one the member is in.
func (m *Model) follow(term uint64, leader string) {
	if term > m.state.Term {
		m.state = wal.State{Term: term}
		m.dirty = true
	}
	if m.role == Leader {
		m.dropReads()
	}
	m.role = Follower
	m.leader = leader
	m.resetElection()
}

func (m *Model) resetElection() {
	m.tries = 0
	m.electionAt = m.now.Add(m.cfg.ElectionTimeout + time.Duration(m.cfg.Rand.Int64N(int64(m.cfg.ElectionTimeout))))
}

func (m *Model) receive(msg Message) {
	switch {
	case msg.To != m.cfg.ID || !msg.valid() || !m.admit(msg):
		return
	case msg.Kind == PreVote:
		m.onPreVote(msg)
	case msg.Kind == PreVoteResponse:
		m.onPreVoted(msg)
	case msg.Kind == Vote:
		m.onVote(msg)
	case msg.Kind == VoteResponse && m.role == Candidate:
		m.countVote(msg.From, !msg.Reject)
	case msg.Kind == Append:
		m.onAppend(msg)
	case msg.Kind == InstallSnapshot:
		m.onInstall(msg)
	case msg.Kind == AppendResponse && m.role == Leader:
		m.onAppended(msg)
	case msg.Kind == InstallSnapshotResponse && m.role == Leader:
		m.onInstalled(msg)
	case msg.Kind == ReadIndex:
		m.onReadIndex(msg)
	case msg.Kind == ReadIndexResponse:
		m.onReadIndexed(msg)
	}
}

// admit compares terms and returns whether the message is to be handled.
func (m *Model) admit(msg Message) bool {
	switch {
	case msg.Kind == PreVote || msg.Kind == PreVoteResponse && !msg.Reject:
		return true
	case msg.Kind == Vote && msg.Term > m.state.Term && m.leased():
		return false
	case msg.Term > m.state.Term:
		m.follow(msg.Term, "")
		return true
	case msg.Term == m.state.Term:
		return true
	case msg.Kind == Append || msg.Kind == InstallSnapshot:
		// The answer carries the newer term, so that an old leader steps down.
		m.send(Message{Kind: AppendResponse, To: msg.From, Reject: true})
	case msg.Kind == Vote:
		m.send(Message{Kind: VoteResponse, To: msg.From, Reject: true})
	}
	return false
}

// leased returns whether a leader was heard so recently that no other may be elected.
func (m *Model) leased() bool {
	return m.role == Leader || m.leader != "" && m.now.Before(m.heardAt.Add(m.cfg.ElectionTimeout))
}
