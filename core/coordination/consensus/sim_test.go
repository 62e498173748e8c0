package consensus_test

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/coordination/raft"
	"pollenhill.example/core/state/disk"
	"pollenhill.example/core/state/field"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/wal"
)

const (
	tickEvery = 20 * time.Millisecond
	dataDir   = "/data"
)

// sim runs a whole group in virtual time over a network and disks that fail, all drawn from one seed.
type sim struct {
	r        *rand.Rand
	now      time.Time
	started  time.Time
	events   events
	order    int
	vms      []*vm
	founders int                // the first VMs, which found the group
	voters   int                // most voters of a group that chooses its members; 0: operators name them
	cut      map[[2]string]bool // one-way
	loss     float64
	repeat   float64
	delay    time.Duration // longest; messages overtake each other
	entries  uint64        // snapshot after

	leaders  map[uint64]string        // by term
	accepted map[uint64]replica.Rules // by number
	problem  string
	installs int      // snapshots sent
	joins    [][]byte // requests to join
	calls    map[call]func(consensus.Outcome)
	tokens   uint64
}

// vm is one VM with its disk and, while it is up, its process.
type vm struct {
	name    string
	disk    *disk.Fake
	process *consensus.Engine
	join    bool
	starts  int
	number  uint64    // newest change seen by the running process
	resumes time.Time // end of a pause
	id      string    // of the running process
	first   string    // ID of the first process
	broken  bool      // the disk has a fault that a restart must refuse
}

type call struct {
	vm    string
	start int
	token uint64
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(e any)   { *q = append(*q, e.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSim(seed uint64, n int) *sim { return newGroupSim(seed, n, 0) }

func newGroupSim(seed uint64, n, voters int) *sim {
	start := time.UnixMilli(1_700_000_000_000)
	s := &sim{
		r: rand.New(rand.NewPCG(seed, 7)), now: start, started: start, cut: map[[2]string]bool{}, entries: 12,
		delay: 3 * time.Millisecond, founders: n, voters: voters, leaders: map[uint64]string{}, accepted: map[uint64]replica.Rules{},
		calls: map[call]func(consensus.Outcome){},
	}
	for i := range n {
		s.add(fmt.Sprintf("c%d", i+1), false)
	}
	for _, v := range s.vms {
		s.start(v)
	}
	return s
}

func (s *sim) add(name string, join bool) *vm {
	v := &vm{name: name, join: join, disk: disk.NewFake(rand.New(rand.NewPCG(s.r.Uint64(), 1)))}
	s.vms = append(s.vms, v)
	return v
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{s.now.Add(d), s.order, run})
}

// run lets virtual time pass until the condition holds or the limit is reached.
func (s *sim) run(limit time.Duration, until func() bool) bool {
	end := s.now.Add(limit)
	for s.problem == "" && len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
		if until != nil && until() {
			return true
		}
	}
	s.now = end
	return false
}

func (s *sim) fail(format string, args ...any) {
	if s.problem == "" {
		s.problem = fmt.Sprintf("after %v: ", s.now.Sub(s.started)) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) peers() []consensus.Peer {
	var list []consensus.Peer
	for _, v := range s.vms {
		list = append(list, consensus.Peer{Name: v.name})
	}
	return list
}

// start starts the process of a VM; a folder that cannot be verified is replaced by an empty one, as an operator would.
func (s *sim) start(v *vm) {
	if v.process != nil {
		return
	}
	peers := s.peers()
	if !v.join {
		peers = peers[:s.founders]
	}
	p, err := consensus.Open(consensus.Config{
		Name: v.name, FS: v.disk, Dir: dataDir, Peers: peers, Join: v.join, MaxVoters: s.voters, SnapshotMinEntries: s.entries, TrailingEntries: 4,
		Rand: rand.New(rand.NewPCG(s.r.Uint64(), 2)),
		Send: func(to string, messages [][]byte) { s.send(v.name, to, messages) },
	}, s.now)
	switch {
	case errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EIO):
		s.stop(v, s.r.IntN(2) == 0)
		s.after(300*time.Millisecond, func() { s.start(v) })
		return
	case err != nil && v.broken:
		s.replace(v)
		return
	case err != nil:
		s.fail("%s cannot start: %v", v.name, err)
		return
	}
	if v.broken {
		s.fail("%s starts from a damaged folder", v.name)
		return
	}
	v.process = p
	v.starts++
	v.number = 0
	start := v.starts
	s.after(time.Duration(s.r.Int64N(int64(tickEvery))), func() { s.tick(v, start) })
}

// replace puts in an empty disk and starts a joining process.
func (s *sim) replace(v *vm) {
	v.disk.Wipe()
	v.broken = false
	v.join = true
	s.start(v)
}

// checkPromise compares a granted vote, and some acknowledgements, with what a crash of the VM would keep.
func (s *sim) checkPromise(v *vm, raw []byte) {
	var msg raft.Message
	err := field.Read(raw, func(f field.Field) (err error) {
		switch f.Number {
		case 1:
			msg, err = raft.DecodeMessage(f.Bytes)
		case 3:
			s.joins = append(s.joins, raw)
		}
		return err
	})
	if msg.Kind == raft.InstallSnapshot {
		s.installs++
	}
	vote := msg.Kind == raft.VoteResponse && !msg.Reject
	ack := msg.Kind == raft.AppendResponse && !msg.Reject && s.r.IntN(30) == 0
	if err != nil || !vote && !ack {
		return
	}
	_, kept, err := wal.Open(wal.Config{FS: v.disk.Durable(), Dir: dataDir})
	last := kept.Snapshot.Index + uint64(len(kept.Entries))
	switch {
	case err != nil || kept.State.Term < msg.Term:
		s.fail("%s promises in term %d, durable is term %d, %v", msg.From, msg.Term, kept.State.Term, err)
	case kept.State.Term == msg.Term && vote && kept.State.Vote != msg.To:
		s.fail("%s grants %s a vote, durable is %q", msg.From, msg.To, kept.State.Vote)
	case kept.State.Term == msg.Term && ack && last < msg.Index:
		s.fail("%s acknowledges entry %d, durable is %d", msg.From, msg.Index, last)
	}
}

// pause freezes a process; what arrives meanwhile is handled when it goes on, before it looks at the clock.
func (s *sim) pause(v *vm, d time.Duration) { v.resumes = s.now.Add(d) }

func (s *sim) tick(v *vm, start int) {
	if v.process == nil || v.starts != start {
		return
	}
	if wait := v.resumes.Sub(s.now); wait >= 0 {
		s.after(wait+time.Millisecond, func() { s.tick(v, start) })
		return
	}
	s.step(v, consensus.Tick{})
	s.after(tickEvery, func() { s.tick(v, start) })
}

func (s *sim) stop(v *vm, whole bool) {
	v.process = nil
	if whole {
		v.disk.Crash()
		return
	}
	v.disk.Kill()
}

func (s *sim) vm(name string) *vm {
	for _, v := range s.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

func (s *sim) send(from, to string, messages [][]byte) {
	for _, raw := range messages {
		s.checkPromise(s.vm(from), raw)
		copies := 1
		if s.r.Float64() < s.repeat {
			copies = 2
		}
		for range copies {
			if s.cut[[2]string{from, to}] || s.r.Float64() < s.loss {
				continue
			}
			s.after(time.Duration(s.r.Int64N(int64(s.delay))), func() { s.deliver(to, raw) })
		}
	}
}

func (s *sim) deliver(to string, raw []byte) {
	if v := s.vm(to); v != nil {
		s.input(v, v.starts, consensus.Receive{Message: raw})
	}
}

// input passes an input to a process once it runs; it is lost if the process ends before.
func (s *sim) input(v *vm, start int, in consensus.Input) {
	switch wait := v.resumes.Sub(s.now); {
	case v.process == nil || v.starts != start:
	case wait > 0:
		s.after(wait, func() { s.input(v, start, in) })
	default:
		s.step(v, in)
	}
}

// step runs one step of a process and checks what can be seen from outside.
func (s *sim) step(v *vm, in consensus.Input) {
	p := v.process
	outcomes := p.Step(s.now, in)
	for _, o := range outcomes {
		id := call{v.name, v.starts, o.Token}
		if done := s.calls[id]; done != nil {
			delete(s.calls, id)
			done(o)
		}
	}
	if p.Err() == nil {
		s.check(v, p)
		return
	}
	s.stop(v, s.r.IntN(2) == 0)
	s.after(300*time.Millisecond, func() { s.start(v) })
}

func (s *sim) check(v *vm, p *consensus.Engine) {
	view := p.View(s.now)
	if view.Role == raft.Leader {
		if other := s.leaders[view.Term]; other != "" && other != p.ID() {
			s.fail("%s and %s lead in term %d", other, p.ID(), view.Term)
		}
		s.leaders[view.Term] = p.ID()
	}
	rules := p.Replica().Rules()
	if p.ID() != v.id {
		// A member that was replaced while it was silent starts over with nothing.
		v.id, v.number = p.ID(), 0
		if v.first == "" {
			v.first = v.id
		}
	}
	if rules.Number < v.number {
		s.fail("%s went from change %d back to %d", v.name, v.number, rules.Number)
	}
	v.number = rules.Number
	if rules.Number == 0 {
		return
	}
	if known, ok := s.accepted[rules.Number]; ok && known != rules {
		s.fail("%s has change %+v, another had %+v", v.name, rules, known)
	}
	s.accepted[rules.Number] = rules
}

// call passes an input with a token to a process and returns false if it is down.
func (s *sim) call(v *vm, input func(token uint64) consensus.Input, done func(consensus.Outcome)) bool {
	if v.process == nil {
		return false
	}
	s.tokens++
	s.calls[call{v.name, v.starts, s.tokens}] = done
	s.input(v, v.starts, input(s.tokens))
	return true
}

// leader returns the VM whose process leads with a quorum, or nil.
func (s *sim) leader() *vm {
	for _, v := range s.vms {
		if v.process == nil {
			continue
		}
		if view := v.process.View(s.now); view.Role == raft.Leader && view.HasQuorum {
			return v
		}
	}
	return nil
}

// settle ends all faults, starts everything and waits until all members have applied the same log.
func (s *sim) settle() {
	s.cut = map[[2]string]bool{}
	s.loss, s.repeat = 0, 0
	for _, v := range s.vms {
		v.disk.Limit(-1)
		v.disk.FailSync(-1)
		s.start(v)
	}
	if !s.run(30*time.Second, s.settled) {
		s.fail("the group does not settle: %s", s.describe())
	}
}

func (s *sim) settled() bool {
	l := s.leader()
	if l == nil {
		return false
	}
	view := l.process.View(s.now)
	if view.Applied != view.LastIndex || s.voters == 0 && len(view.Membership.Learners) > 0 {
		return false
	}
	if s.voters > 0 && (len(view.Membership.Voters) < s.voters || len(view.Membership.Learners)+len(view.Membership.Voters) != len(s.vms)) {
		return false
	}
	for _, id := range view.Membership.Voters {
		v := s.vm(consensus.ProcessName(id))
		if v.process == nil || v.process.ID() != id || v.process.View(s.now).Applied != view.Applied {
			return false
		}
	}
	return true
}

// equal checks that all voters have the same state byte for byte.
func (s *sim) equal() {
	var first []byte
	for _, id := range s.leader().process.View(s.now).Membership.Voters {
		state := s.vm(consensus.ProcessName(id)).process.Replica().Snapshot()
		if first != nil && !bytes.Equal(first, state) {
			s.fail("%s has another state", id)
		}
		first = state
	}
}

func (s *sim) describe() string {
	text := ""
	for _, v := range s.vms {
		if v.process == nil {
			text += fmt.Sprintf("%s down; ", v.name)
			continue
		}
		text += fmt.Sprintf("%s %+v; ", v.process.ID(), v.process.View(s.now))
	}
	return text
}

func (s *sim) report(t testing.TB, seed uint64) {
	t.Helper()
	if s.problem != "" {
		t.Fatalf("seed %d: %s", seed, s.problem)
	}
}
