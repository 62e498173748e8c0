package raft_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/wal"
)

const (
	walkCount       = 1500
	stepsPerWalk    = 3000
	electionTimeout = 100 * time.Millisecond
)

// walk drives a group of five models by random steps without any fairness. Messages are delayed, reordered, duplicated and
// lost, a write becomes durable late or never, and any member may stall or crash at any point.
type walk struct {
	rng           *rand.Rand
	now           time.Time
	members       []*member
	inFlight      []raft.Message
	leaderByTerm  map[uint64]string
	digestByIndex map[uint64]uint64 // of all commands up to that index
	maxApplied    uint64            // highest index applied by any member
	readFloors    map[uint64]uint64 // by token: lowest index at which the read may be served
	lastToken     uint64
	problem       string
	eventCounts   map[string]int
}

// member is a model with its disk: the durable content and the writes that are not durable yet.
type member struct {
	id            string
	model         *raft.Model
	durable       wal.Content
	pendingWrites []raft.Cmd
	applied       uint64
	digest        uint64
}

func newWalk(seed uint64) *walk {
	w := &walk{
		rng: rand.New(rand.NewPCG(seed, 3)), now: time.UnixMilli(1_700_000_000_000), leaderByTerm: map[uint64]string{},
		digestByIndex: map[uint64]uint64{}, readFloors: map[uint64]uint64{}, eventCounts: map[string]int{},
	}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		m := &member{id: id}
		w.members = append(w.members, m)
		w.start(m)
	}
	return w
}

func (w *walk) initialMembership(id string) raft.Membership {
	if id > "c" {
		return raft.Membership{}
	}
	return raft.Membership{Voters: []string{"a", "b", "c"}}
}

func (w *walk) start(m *member) {
	m.pendingWrites = nil
	content := m.durable
	content.Entries = slices.Clone(content.Entries)
	model, err := raft.New(raft.Config{
		ID: m.id, InitialMembership: w.initialMembership(m.id), ElectionTimeout: electionTimeout,
		HeartbeatInterval: electionTimeout / 5, MaxAppendBytes: 64, SnapshotChunkBytes: 7, TrailingEntries: 2,
		Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 4)),
	}, w.now, content)
	if err != nil {
		w.fail("%s cannot start: %v", m.id, err)
		return
	}
	m.model = model
	m.applied, m.digest = 0, 0
	if content.Snapshot.Index > 0 {
		m.restore(content.Snapshot)
	}
}

func (m *member) restore(s wal.Snapshot) {
	m.applied = s.Index
	m.digest = binary.LittleEndian.Uint64(s.Data)
}

func (w *walk) fail(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf(format, args...)
	}
}

// step delivers or loses a message, makes a write durable, passes time, proposes, reads, changes the membership, takes a
// snapshot, crashes a member, or delivers a burst of messages.
func (w *walk) step() {
	m := w.members[w.rng.IntN(len(w.members))]
	switch n := w.rng.IntN(100); {
	case n < 50:
		w.deliver()
	case n < 70:
		w.persist(m)
	case n < 84:
		w.now = w.now.Add(time.Duration(w.rng.Int64N(int64(electionTimeout / 8))))
		w.update(m, raft.Tick{})
	case n < 90:
		w.lastToken++
		w.update(m, raft.Propose{Proposals: []raft.Proposal{{Token: w.lastToken, Data: binary.AppendUvarint(nil, w.lastToken)}}})
	case n < 92:
		w.lastToken++
		w.readFloors[w.lastToken] = w.maxApplied
		w.update(m, raft.Read{Tokens: []uint64{w.lastToken}})
	case n < 94:
		w.lastToken++
		target := w.members[w.rng.IntN(len(w.members))]
		w.update(m, raft.ChangeMembership{Token: w.lastToken, Member: target.id, Remove: w.rng.IntN(2) == 0})
	case n < 95:
		data := binary.LittleEndian.AppendUint64(nil, m.digest)
		w.update(m, raft.Compact{Index: m.applied, Data: append(data, "long enough for chunks"...)})
	case n < 96:
		w.eventCounts["crash"]++
		for range w.rng.IntN(len(m.pendingWrites) + 1) {
			m.write(m.pendingWrites[0])
		}
		w.start(m)
	default:
		w.deliverBurst()
	}
}

func (w *walk) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	at := w.rng.IntN(len(w.inFlight))
	msg := w.inFlight[at]
	if w.rng.IntN(20) > 0 {
		w.inFlight = slices.Delete(w.inFlight, at, at+1)
	}
	if w.rng.IntN(20) == 0 {
		return
	}
	for _, m := range w.members {
		if m.id == msg.To {
			w.update(m, raft.Receive{Message: msg})
		}
	}
}

// deliverBurst delivers many messages and persists many writes in a row, so that walks make progress, and then drops all
// but the newest 60 messages.
func (w *walk) deliverBurst() {
	for range 40 {
		w.deliver()
		w.persist(w.members[w.rng.IntN(len(w.members))])
	}
	if len(w.inFlight) > 60 {
		w.inFlight = w.inFlight[len(w.inFlight)-60:]
	}
}

// persist makes the oldest pending write of a member durable.
func (w *walk) persist(m *member) {
	if len(m.pendingWrites) == 0 {
		return
	}
	w.update(m, raft.Persisted{Sequence: m.write(m.pendingWrites[0])})
}

func (m *member) write(c raft.Cmd) uint64 {
	m.pendingWrites = m.pendingWrites[1:]
	switch c := c.(type) {
	case raft.Save:
		m.durable.HardState = c.State
		for _, e := range c.Entries {
			keep := e.Index - m.durable.Snapshot.Index - 1
			m.durable.Entries = append(slices.Clone(m.durable.Entries[:keep]), e)
		}
		return c.Sequence
	case raft.Rewrite:
		m.durable = wal.Content{HardState: c.State, Snapshot: c.Snapshot, Entries: slices.Clone(c.Entries)}
		return c.Sequence
	}
	return 0
}

func (w *walk) update(m *member, msg raft.Msg) {
	for _, c := range m.model.Update(w.now, msg) {
		switch c := c.(type) {
		case raft.Send:
			w.checkDurable(m, c.Message)
			decoded, err := raft.DecodeMessage(c.Message.Encode())
			if err != nil {
				w.fail("decode message %+v: %v", c.Message, err)
			}
			w.inFlight = append(w.inFlight, decoded)
		case raft.Save, raft.Rewrite:
			m.pendingWrites = append(m.pendingWrites, c)
		case raft.Restore:
			w.eventCounts["installed snapshot"]++
			m.restore(c.Snapshot)
			w.checkDigest(m)
		case raft.Apply:
			w.apply(m, c.Entries)
		case raft.ReadReady:
			w.checkRead(c)
		case raft.Halt:
			w.fail("%s: %s", m.id, c.Problem)
		}
	}
	if view := m.model.View(w.now); view.Role == raft.Leader {
		if other := w.leaderByTerm[view.Term]; other != "" && other != m.id {
			w.fail("%s and %s lead in term %d", other, m.id, view.Term)
		}
		w.leaderByTerm[view.Term] = m.id
	}
}

// checkDurable fails the walk if a message promises a term, vote or entry that is not durable on its sender.
func (w *walk) checkDurable(m *member, msg raft.Message) {
	state := m.durable.HardState
	last := m.durable.Snapshot.Index + uint64(len(m.durable.Entries))
	switch {
	case msg.Kind != raft.PreVote && msg.Kind != raft.PreVoteResponse && state.Term < msg.Term:
		w.fail("%s sends %v of term %d, but term %d is durable", m.id, msg.Kind, msg.Term, state.Term)
	case msg.Kind == raft.VoteResponse && !msg.Reject && state.Term == msg.Term && state.Vote != msg.To:
		w.fail("%s votes for %s, but a vote for %q is durable", m.id, msg.To, state.Vote)
	case msg.Kind == raft.AppendResponse && !msg.Reject && state.Term == msg.Term && last < msg.Index:
		w.fail("%s acknowledges entry %d, but the log is durable only up to %d", m.id, msg.Index, last)
	}
}

func (w *walk) apply(m *member, entries []wal.Entry) {
	for _, e := range entries {
		if e.Index != m.applied+1 {
			w.fail("%s applies entry %d after %d", m.id, e.Index, m.applied)
		}
		if e.Kind == raft.EntryMembership {
			w.eventCounts["membership"]++
		}
		m.applied = e.Index
		h := binary.LittleEndian.AppendUint64(nil, m.digest)
		h = binary.LittleEndian.AppendUint64(h, e.Term)
		m.digest = xxhash.Sum64(append(h, e.Data...))
		w.checkDigest(m)
	}
}

// checkDigest compares what a member has applied with what the others had applied at the same index.
func (w *walk) checkDigest(m *member) {
	if d, ok := w.digestByIndex[m.applied]; ok && d != m.digest {
		w.fail("%s has applied different commands up to index %d", m.id, m.applied)
	}
	w.digestByIndex[m.applied] = m.digest
	w.maxApplied = max(w.maxApplied, m.applied)
}

func (w *walk) checkRead(c raft.ReadReady) {
	want, ok := w.readFloors[c.Token]
	if !ok {
		return
	}
	delete(w.readFloors, c.Token)
	w.eventCounts["read"]++
	if c.Index < want {
		w.fail("read %d is served at index %d, but entry %d was applied before it", c.Token, c.Index, want)
	}
}

// Guards against two leaders in a term, committed entries that differ or disappear, votes and acknowledgements that are
// not durable, and stale reads. Random walks also produce schedules that real networks hardly ever do.
func TestRandomWalks(t *testing.T) {
	eventCounts, applied, terms := map[string]int{}, uint64(0), 0
	for seed := range uint64(walkCount) {
		w := newWalk(seed)
		for i := range stepsPerWalk {
			w.step()
			if w.problem != "" {
				t.Fatalf("seed %d, step %d: %s", seed, i, w.problem)
			}
		}
		applied += w.maxApplied
		terms += len(w.leaderByTerm)
		for name, n := range w.eventCounts {
			eventCounts[name] += n
		}
	}
	t.Logf("%d walks of %d steps: %d entries committed, %d leaders, %v", walkCount, stepsPerWalk, applied, terms, eventCounts)
	for _, name := range []string{"crash", "installed snapshot", "membership", "read"} {
		if eventCounts[name] == 0 {
			t.Errorf("no walk had the event %q", name)
		}
	}
}
