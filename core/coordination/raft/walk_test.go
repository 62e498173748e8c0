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
	walks    = 1500
	walkLen  = 3000
	election = 100 * time.Millisecond
)

// walk drives models by random steps without any fairness: messages wait, overtake each other, repeat and get
// lost, a save becomes durable late or never, and any member may sleep or crash at any point.
type walk struct {
	r       *rand.Rand
	now     time.Time
	members []*member
	bag     []raft.Message
	leaders map[uint64]string
	digests map[uint64]uint64 // of the commands up to an index
	newest  uint64            // highest index applied anywhere
	reads   map[uint64]uint64 // by token: index that the answer must reach
	token   uint64
	problem string
	seen    map[string]int
}

// member is a model with its disk: durable content, and writes that are not durable yet.
type member struct {
	id      string
	model   *raft.Model
	durable wal.Content
	pending []raft.Cmd
	applied uint64
	digest  uint64
}

func newWalk(seed uint64) *walk {
	w := &walk{
		r: rand.New(rand.NewPCG(seed, 3)), now: time.UnixMilli(1_700_000_000_000), leaders: map[uint64]string{},
		digests: map[uint64]uint64{}, reads: map[uint64]uint64{}, seen: map[string]int{},
	}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		m := &member{id: id}
		w.members = append(w.members, m)
		w.start(m)
	}
	return w
}

func (w *walk) founders(id string) raft.Membership {
	if id > "c" {
		return raft.Membership{}
	}
	return raft.Membership{Voters: []string{"a", "b", "c"}}
}

func (w *walk) start(m *member) {
	m.pending = nil
	content := m.durable
	content.Entries = slices.Clone(content.Entries)
	model, err := raft.New(raft.Config{
		ID: m.id, InitialMembership: w.founders(m.id), ElectionTimeout: election, HeartbeatInterval: election / 5, MaxAppendBytes: 64, SnapshotChunkBytes: 7,
		TrailingEntries: 2, Rand: rand.New(rand.NewPCG(w.r.Uint64(), 4)),
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

// step makes one random step.
func (w *walk) step() {
	m := w.members[w.r.IntN(len(w.members))]
	switch n := w.r.IntN(100); {
	case n < 50:
		w.deliver()
	case n < 70:
		w.persist(m)
	case n < 84:
		w.now = w.now.Add(time.Duration(w.r.Int64N(int64(election / 8))))
		w.update(m, raft.Tick{})
	case n < 90:
		w.token++
		w.update(m, raft.Propose{Proposals: []raft.Proposal{{Token: w.token, Data: binary.AppendUvarint(nil, w.token)}}})
	case n < 92:
		w.token++
		w.reads[w.token] = w.newest
		w.update(m, raft.Read{Tokens: []uint64{w.token}})
	case n < 94:
		w.token++
		target := w.members[w.r.IntN(len(w.members))]
		w.update(m, raft.ChangeMembership{Token: w.token, Member: target.id, Remove: w.r.IntN(2) == 0})
	case n < 95:
		data := binary.LittleEndian.AppendUint64(nil, m.digest)
		w.update(m, raft.Compact{Index: m.applied, Data: append(data, "long enough for chunks"...)})
	case n < 96:
		w.seen["crash"]++
		for range w.r.IntN(len(m.pending) + 1) {
			m.write(m.pending[0])
		}
		w.start(m)
	default:
		w.heal()
	}
}

func (w *walk) deliver() {
	if len(w.bag) == 0 {
		return
	}
	at := w.r.IntN(len(w.bag))
	msg := w.bag[at]
	if w.r.IntN(20) > 0 {
		w.bag = slices.Delete(w.bag, at, at+1)
	}
	if w.r.IntN(20) == 0 {
		return
	}
	for _, m := range w.members {
		if m.id == msg.To {
			w.update(m, raft.Receive{Message: msg})
		}
	}
}

// heal delivers everything in flight, so that walks make progress.
func (w *walk) heal() {
	for range 40 {
		w.deliver()
		w.persist(w.members[w.r.IntN(len(w.members))])
	}
	if len(w.bag) > 60 {
		w.bag = w.bag[len(w.bag)-60:]
	}
}

// persist makes the oldest write of a member durable.
func (w *walk) persist(m *member) {
	if len(m.pending) == 0 {
		return
	}
	w.update(m, raft.Persisted{Sequence: m.write(m.pending[0])})
}

func (m *member) write(c raft.Cmd) uint64 {
	m.pending = m.pending[1:]
	switch c := c.(type) {
	case raft.Save:
		m.durable.State = c.State
		for _, e := range c.Entries {
			keep := e.Index - m.durable.Snapshot.Index - 1
			m.durable.Entries = append(slices.Clone(m.durable.Entries[:keep]), e)
		}
		return c.Sequence
	case raft.Rewrite:
		m.durable = wal.Content{State: c.State, Snapshot: c.Snapshot, Entries: slices.Clone(c.Entries)}
		return c.Sequence
	}
	return 0
}

func (w *walk) update(m *member, msg raft.Msg) {
	for _, c := range m.model.Update(w.now, msg) {
		switch c := c.(type) {
		case raft.Send:
			w.check(m, c.Message)
			raw, err := raft.DecodeMessage(c.Message.Encode())
			if err != nil {
				w.fail("message %+v: %v", c.Message, err)
			}
			w.bag = append(w.bag, raw)
		case raft.Save, raft.Rewrite:
			m.pending = append(m.pending, c)
		case raft.Restore:
			w.seen["installed snapshot"]++
			m.restore(c.Snapshot)
			w.note(m)
		case raft.Apply:
			w.apply(m, c.Entries)
		case raft.ReadReady:
			w.ready(c)
		case raft.Halt:
			w.fail("%s: %s", m.id, c.Problem)
		}
	}
	if view := m.model.View(w.now); view.Role == raft.Leader {
		if other := w.leaders[view.Term]; other != "" && other != m.id {
			w.fail("%s and %s lead in term %d", other, m.id, view.Term)
		}
		w.leaders[view.Term] = m.id
	}
}

// check compares a promise to another member with what is durable.
func (w *walk) check(m *member, msg raft.Message) {
	state := m.durable.State
	last := m.durable.Snapshot.Index + uint64(len(m.durable.Entries))
	switch {
	case msg.Kind != raft.PreVote && msg.Kind != raft.PreVoteResponse && state.Term < msg.Term:
		w.fail("%s sends %v of term %d, durable is term %d", m.id, msg.Kind, msg.Term, state.Term)
	case msg.Kind == raft.VoteResponse && !msg.Reject && state.Term == msg.Term && state.Vote != msg.To:
		w.fail("%s grants %s a vote, durable is %q", m.id, msg.To, state.Vote)
	case msg.Kind == raft.AppendResponse && !msg.Reject && state.Term == msg.Term && last < msg.Index:
		w.fail("%s acknowledges entry %d, durable is %d", m.id, msg.Index, last)
	}
}

func (w *walk) apply(m *member, entries []wal.Entry) {
	for _, e := range entries {
		if e.Index != m.applied+1 {
			w.fail("%s applies entry %d after %d", m.id, e.Index, m.applied)
		}
		if e.Kind == raft.EntryMembership {
			w.seen["membership"]++
		}
		m.applied = e.Index
		h := binary.LittleEndian.AppendUint64(nil, m.digest)
		h = binary.LittleEndian.AppendUint64(h, e.Term)
		m.digest = xxhash.Sum64(append(h, e.Data...))
		w.note(m)
	}
}

// note compares the state of a member with that of all others at the same index.
func (w *walk) note(m *member) {
	if d, ok := w.digests[m.applied]; ok && d != m.digest {
		w.fail("%s has applied other commands up to index %d", m.id, m.applied)
	}
	w.digests[m.applied] = m.digest
	w.newest = max(w.newest, m.applied)
}

func (w *walk) ready(c raft.ReadReady) {
	want, ok := w.reads[c.Token]
	if !ok {
		return
	}
	delete(w.reads, c.Token)
	w.seen["read"]++
	if c.Index < want {
		w.fail("read %d is answered at index %d, entry %d was applied before it", c.Token, c.Index, want)
	}
}

// Guards against two leaders in a term, committed entries that differ or disappear, promises that are not durable
// and stale reads, in schedules that no real network would produce.
func TestRandomWalks(t *testing.T) {
	seen, applied, terms := map[string]int{}, uint64(0), 0
	for seed := range uint64(walks) {
		w := newWalk(seed)
		for i := range walkLen {
			w.step()
			if w.problem != "" {
				t.Fatalf("seed %d, step %d: %s", seed, i, w.problem)
			}
		}
		applied += w.newest
		terms += len(w.leaders)
		for name, n := range w.seen {
			seen[name] += n
		}
	}
	t.Logf("%d walks of %d steps: %d entries committed, %d leaders, %v", walks, walkLen, applied, terms, seen)
	for _, name := range []string{"crash", "installed snapshot", "membership", "read"} {
		if seen[name] == 0 {
			t.Errorf("no walk had a %s", name)
		}
	}
}
