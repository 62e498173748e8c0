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
	"pollenhill.example/core/state/protofield"
	"pollenhill.example/core/state/replica"
	"pollenhill.example/core/state/wal"
)

const (
	tickInterval = 20 * time.Millisecond
	dataDir      = "/data"
)

// sim runs a whole group in virtual time. Network and disk faults and all other random choices are drawn from one seed.
type sim struct {
	r                  *rand.Rand
	now                time.Time
	started            time.Time
	events             eventQueue
	eventOrder         int // order of events at the same time
	vms                []*vm
	initialVoters      int                // number of VMs, first in vms, that bootstrap the group
	maxVoters          int                // of a group that chooses its members; 0: operators choose them
	cutLinks           map[[2]string]bool // by sender and receiver, one-way
	lossRate           float64
	repeatRate         float64
	maxDelay           time.Duration // delays are random, so that messages overtake each other
	snapshotMinEntries uint64

	leaderByTerm  map[uint64]string // member ID
	rulesByNumber map[uint64]replica.Rules
	problem       string // first violation found
	snapshotsSent int    // InstallSnapshot messages
	joinRequests  [][]byte
	calls         map[callID]func(consensus.Outcome)
	lastToken     uint64
}

// vm is one VM with its disk and, while it is up, its process.
type vm struct {
	name         string
	disk         *disk.Fake
	process      *consensus.Engine
	join         bool
	starts       int
	newestChange uint64    // seen by the running process
	pausedUntil  time.Time // by a fault
	lastID       string    // member ID at the last step
	firstID      string    // member ID of the first process
	damaged      bool      // the data folder has a flipped bit that a start must detect
}

// callID identifies a call of a client to one start of a process.
type callID struct {
	vm    string
	start int
	token uint64
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSim(seed uint64, n int) *sim { return newSimWithMaxVoters(seed, n, 0) }

func newSimWithMaxVoters(seed uint64, n, maxVoters int) *sim {
	start := time.UnixMilli(1_700_000_000_000)
	s := &sim{
		r: rand.New(rand.NewPCG(seed, 7)), now: start, started: start, cutLinks: map[[2]string]bool{}, snapshotMinEntries: 12,
		maxDelay: 3 * time.Millisecond, initialVoters: n, maxVoters: maxVoters, leaderByTerm: map[uint64]string{},
		rulesByNumber: map[uint64]replica.Rules{}, calls: map[callID]func(consensus.Outcome){},
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
	s.eventOrder++
	heap.Push(&s.events, event{s.now.Add(d), s.eventOrder, run})
}

// run processes events until the condition holds, the limit is reached or a problem is found. It reports whether the
// condition held.
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

// start starts the process of a VM. A data folder that fails verification is replaced by an empty one, as an operator would
// do.
func (s *sim) start(v *vm) {
	if v.process != nil {
		return
	}
	peers := s.peers()
	if !v.join {
		peers = peers[:s.initialVoters]
	}
	p, err := consensus.Open(consensus.Config{
		Name: v.name, FS: v.disk, Dir: dataDir, Peers: peers, Join: v.join, MaxVoters: s.maxVoters,
		SnapshotMinEntries: s.snapshotMinEntries, TrailingEntries: 4, Rand: rand.New(rand.NewPCG(s.r.Uint64(), 2)),
		Send: func(to string, messages [][]byte) { s.send(v.name, to, messages) },
	}, s.now)
	switch {
	case errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EIO):
		s.stop(v, s.r.IntN(2) == 0)
		s.after(300*time.Millisecond, func() { s.start(v) })
		return
	case err != nil && v.damaged:
		s.replace(v)
		return
	case err != nil:
		s.fail("%s cannot start: %v", v.name, err)
		return
	}
	if v.damaged {
		s.fail("%s started from a damaged data folder", v.name)
		return
	}
	v.process = p
	v.starts++
	v.newestChange = 0
	start := v.starts
	s.after(time.Duration(s.r.Int64N(int64(tickInterval))), func() { s.tick(v, start) })
}

// replace empties the disk of a VM and starts a process that joins the group.
func (s *sim) replace(v *vm) {
	v.disk.Wipe()
	v.damaged = false
	v.join = true
	s.start(v)
}

// checkDurable checks that a granted vote, or an acknowledgement in a sample of 1 in 30, would survive a crash of the VM. It
// also counts snapshots and records join requests.
func (s *sim) checkDurable(v *vm, raw []byte) {
	var msg raft.Message
	err := protofield.ForEach(raw, func(f protofield.Field) (err error) {
		switch f.Number {
		case 1:
			msg, err = raft.DecodeMessage(f.Bytes)
		case 3:
			s.joinRequests = append(s.joinRequests, raw)
		}
		return err
	})
	if msg.Kind == raft.InstallSnapshot {
		s.snapshotsSent++
	}
	vote := msg.Kind == raft.VoteResponse && !msg.Reject
	ack := msg.Kind == raft.AppendResponse && !msg.Reject && s.r.IntN(30) == 0
	if err != nil || !vote && !ack {
		return
	}
	_, kept, err := wal.Open(wal.Config{FS: v.disk.DurableCopy(), Dir: dataDir})
	last := kept.Snapshot.Index + uint64(len(kept.Entries))
	switch {
	case err != nil || kept.HardState.Term < msg.Term:
		s.fail("%s sends a vote or acknowledgement in term %d, but term %d is durable, error %v", msg.From, msg.Term, kept.HardState.Term, err)
	case kept.HardState.Term == msg.Term && vote && kept.HardState.Vote != msg.To:
		s.fail("%s votes for %s, but a vote for %q is durable", msg.From, msg.To, kept.HardState.Vote)
	case kept.HardState.Term == msg.Term && ack && last < msg.Index:
		s.fail("%s acknowledges entry %d, but the log is durable only up to %d", msg.From, msg.Index, last)
	}
}

// pause freezes a process. Messages that arrive meanwhile are handled when it resumes, before its first tick.
func (s *sim) pause(v *vm, d time.Duration) { v.pausedUntil = s.now.Add(d) }

func (s *sim) tick(v *vm, start int) {
	if v.process == nil || v.starts != start {
		return
	}
	if wait := v.pausedUntil.Sub(s.now); wait >= 0 {
		s.after(wait+time.Millisecond, func() { s.tick(v, start) })
		return
	}
	s.step(v, consensus.Tick{})
	s.after(tickInterval, func() { s.tick(v, start) })
}

// stop ends a process, either by a power loss of its VM or by a kill.
func (s *sim) stop(v *vm, powerLoss bool) {
	v.process = nil
	if powerLoss {
		v.disk.CrashVM()
		return
	}
	v.disk.KillProcess()
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
		s.checkDurable(s.vm(from), raw)
		copies := 1
		if s.r.Float64() < s.repeatRate {
			copies = 2
		}
		for range copies {
			if s.cutLinks[[2]string{from, to}] || s.r.Float64() < s.lossRate {
				continue
			}
			s.after(time.Duration(s.r.Int64N(int64(s.maxDelay))), func() { s.deliver(to, raw) })
		}
	}
}

func (s *sim) deliver(to string, raw []byte) {
	if v := s.vm(to); v != nil {
		s.deliverInput(v, v.starts, consensus.Receive{Message: raw})
	}
}

// deliverInput passes an input to a process, after its pause if it is paused. The input is lost if the process ends first.
func (s *sim) deliverInput(v *vm, start int, in consensus.Input) {
	switch wait := v.pausedUntil.Sub(s.now); {
	case v.process == nil || v.starts != start:
	case wait > 0:
		s.after(wait, func() { s.deliverInput(v, start, in) })
	default:
		s.step(v, in)
	}
}

// step runs one step of a process, completes calls and checks invariants. A process that failed is restarted.
func (s *sim) step(v *vm, in consensus.Input) {
	p := v.process
	outcomes := p.Step(s.now, in)
	for _, o := range outcomes {
		id := callID{v.name, v.starts, o.Token}
		if done := s.calls[id]; done != nil {
			delete(s.calls, id)
			done(o)
		}
	}
	if p.Err() == nil {
		s.checkInvariants(v, p)
		return
	}
	s.stop(v, s.r.IntN(2) == 0)
	s.after(300*time.Millisecond, func() { s.start(v) })
}

func (s *sim) checkInvariants(v *vm, p *consensus.Engine) {
	view := p.View(s.now)
	if view.Role == raft.Leader {
		if other := s.leaderByTerm[view.Term]; other != "" && other != p.ID() {
			s.fail("%s and %s lead in term %d", other, p.ID(), view.Term)
		}
		s.leaderByTerm[view.Term] = p.ID()
	}
	rules := p.Replica().Rules()
	if p.ID() != v.lastID {
		// A member that was replaced while it was unresponsive restarts with an empty state.
		v.lastID, v.newestChange = p.ID(), 0
		if v.firstID == "" {
			v.firstID = v.lastID
		}
	}
	if rules.ChangeNumber < v.newestChange {
		s.fail("%s reverted from change %d to %d", v.name, v.newestChange, rules.ChangeNumber)
	}
	v.newestChange = rules.ChangeNumber
	if rules.ChangeNumber == 0 {
		return
	}
	if known, ok := s.rulesByNumber[rules.ChangeNumber]; ok && known != rules {
		s.fail("%s has change %+v, but another member has %+v", v.name, rules, known)
	}
	s.rulesByNumber[rules.ChangeNumber] = rules
}

// call passes an input with a new token to a process and registers the callback done. It returns false if the VM is down.
func (s *sim) call(v *vm, input func(token uint64) consensus.Input, done func(consensus.Outcome)) bool {
	if v.process == nil {
		return false
	}
	s.lastToken++
	s.calls[callID{v.name, v.starts, s.lastToken}] = done
	s.deliverInput(v, v.starts, input(s.lastToken))
	return true
}

// leader returns the VM whose process leads and is in contact with a quorum, or nil.
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

// settle ends all faults, starts all processes and waits until the group has settled.
func (s *sim) settle() {
	s.cutLinks = map[[2]string]bool{}
	s.lossRate, s.repeatRate = 0, 0
	for _, v := range s.vms {
		v.disk.LimitSpace(-1)
		v.disk.FailSyncAfter(-1)
		s.start(v)
	}
	if !s.run(30*time.Second, s.settled) {
		s.fail("the group did not settle: %s", s.describe())
	}
}

// settled reports whether there is a leader, the group has the members it should have and all voters have applied the whole
// log.
func (s *sim) settled() bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	view := leader.process.View(s.now)
	if view.Applied != view.LastIndex || s.maxVoters == 0 && len(view.Membership.Learners) > 0 {
		return false
	}
	voters, learners := len(view.Membership.Voters), len(view.Membership.Learners)
	if s.maxVoters > 0 && (voters < s.maxVoters || learners+voters != len(s.vms)) {
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

// checkEqualState fails the simulation unless the states of all voters are equal byte for byte.
func (s *sim) checkEqualState() {
	var first []byte
	for _, id := range s.leader().process.View(s.now).Membership.Voters {
		state := s.vm(consensus.ProcessName(id)).process.Replica().Snapshot()
		if first != nil && !bytes.Equal(first, state) {
			s.fail("%s has a different state", id)
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
