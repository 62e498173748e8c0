package consensus_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/state/replica"
)

// assembledHistories is how many seeded fault histories run on groups that choose their members.
const assembledHistories = 600

// assembledFaults is longer than for other groups: a silent voter is replaced after three seconds.
const assembledFaults = 12 * time.Second

// Guards against every loss of an accepted change, stale reads and two leaders in a term while members join by seeds,
// are replaced by learners when they are silent, start over under a new ID, and lose their disks.
func TestAssembledGroupsAreLinearizable(t *testing.T) {
	var next, reborn atomic.Uint64
	for lane := range 8 {
		t.Run(fmt.Sprint(lane), func(t *testing.T) {
			t.Parallel()
			for seed := next.Add(1) - 1; seed < assembledHistories; seed = next.Add(1) - 1 {
				s := newGroupSim(seed, 3, 3)
				s.add("s1", true)
				s.start(s.vm("s1"))
				s, n, h := runFaults(s, assembledFaults)
				h.verify(s)
				s.report(t, seed)
				if n.used["lost disk"] == 0 && s.replaced() {
					reborn.Add(1)
				}
			}
		})
	}
	t.Cleanup(func() {
		if !t.Failed() && reborn.Load() == 0 {
			t.Error("no history replaced a silent voter")
		}
	})
}

// replaced returns whether some member left the group.
func (s *sim) replaced() bool {
	return slices.ContainsFunc(s.vms, func(v *vm) bool {
		return v.process != nil && len(s.leader().process.View(s.now).Membership.Voters) == s.voters && v.id != v.first
	})
}

// Guards against a group that stops changing its rules when a VM is gone for good, although another waits as learner,
// and against the old VM voting under its old ID when it comes back.
func TestSilentVoterMakesWay(t *testing.T) {
	s := newGroupSim(1, 3, 3)
	spare := s.add("s1", true)
	s.start(spare)
	if !s.run(10*time.Second, s.settled) {
		t.Fatal("the group does not settle:", s.describe())
	}
	gone := s.vm(consensus.ProcessName(s.leader().process.ID()))
	old := gone.process.ID()
	s.cutOff(gone)
	replacedIn := func() bool {
		l := s.leader()
		if l == nil || l == gone {
			return false
		}
		voters := l.process.View(s.now).Membership.Voters
		return slices.Contains(voters, spare.process.ID()) && !slices.Contains(voters, old)
	}
	if !s.run(8*time.Second, replacedIn) {
		t.Fatal("the silent voter keeps its place:", s.describe())
	}
	s.cut = map[[2]string]bool{}
	if !s.run(10*time.Second, s.settled) {
		t.Fatal("the group does not settle after the return:", s.describe())
	}
	if gone.process.ID() == old {
		t.Error("the old VM goes on under its old ID")
	}
	s.report(t, 1)
}

// cutOff drops everything from and to a VM.
func (s *sim) cutOff(v *vm) {
	for _, o := range s.vms {
		s.cut[[2]string{v.name, o.name}] = true
		s.cut[[2]string{o.name, v.name}] = true
	}
}

// Guards against a founding that never ends because one process was killed before all had confirmed each other: it
// starts again with settings that say that the system has started before.
func TestFoundingSurvivesAKill(t *testing.T) {
	for seed := range uint64(50) {
		s := newGroupSim(seed, 3, 3)
		v := s.vms[s.r.IntN(3)]
		s.run(time.Duration(s.r.IntN(60))*time.Millisecond, nil)
		s.stop(v, s.r.IntN(2) == 0)
		v.join = true
		s.run(100*time.Millisecond, nil)
		s.start(v)
		if !s.run(10*time.Second, func() bool { return s.leader() != nil && len(s.leader().process.View(s.now).Membership.Voters) == 3 }) {
			t.Fatalf("seed %d: %s %s", seed, s.problem, s.describe())
		}
	}
}

// Guards against a group that never leads again, or forgets a change, after as many disks are lost at once as its
// number of voters is chosen for, while all other VMs lose power.
func TestTwoDisksLostAtOnce(t *testing.T) {
	for seed := range uint64(30) {
		s := newGroupSim(seed, 3, 5)
		for _, name := range []string{"s1", "s2", "s3"} {
			s.start(s.add(name, true))
		}
		if !s.run(10*time.Second, s.settled) {
			t.Fatalf("seed %d: %s %s", seed, s.problem, s.describe())
		}
		change := replica.Command{Kind: replica.Change, Number: 1, Text: "text"}
		accepted := false
		s.call(s.leader(), func(token uint64) consensus.Input { return consensus.Propose{Token: token, Command: change} },
			func(o consensus.Outcome) { accepted = o.Err == nil && o.Result.Verdict == replica.Accepted })
		if !s.run(time.Second, func() bool { return accepted }) {
			t.Fatalf("seed %d: the change is not accepted", seed)
		}
		voters := s.leader().process.View(s.now).Membership.Voters
		for _, v := range s.vms {
			s.stop(v, true)
		}
		for _, id := range voters[:2] {
			v := s.vm(consensus.ProcessName(id))
			v.disk.Wipe()
			v.join, v.number = true, 0
		}
		for _, v := range s.vms {
			s.start(v)
		}
		led := func() bool { return s.leader() != nil && s.leader().process.Replica().Rules().Number == 1 }
		if !s.run(10*time.Second, led) {
			t.Fatalf("seed %d: %s %s", seed, s.problem, s.describe())
		}
	}
}
