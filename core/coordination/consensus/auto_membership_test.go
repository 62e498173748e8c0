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

// autoMemberHistories is the number of seeded fault histories of groups that choose their own members.
const autoMemberHistories = 600

// autoMemberFaultsFor is longer than faultsFor, because an unresponsive voter is replaced only after three seconds.
const autoMemberFaultsFor = 12 * time.Second

// Guards against losing an accepted change, stale reads and two leaders in a term while members join through seed peers, are
// replaced by learners when they are unresponsive, restart under a new ID and lose their disks.
func TestAutoMembershipGroupsAreLinearizable(t *testing.T) {
	var nextSeed, withReplacement atomic.Uint64
	for worker := range 8 {
		t.Run(fmt.Sprint(worker), func(t *testing.T) {
			t.Parallel()
			for seed := nextSeed.Add(1) - 1; seed < autoMemberHistories; seed = nextSeed.Add(1) - 1 {
				s := newSimWithMaxVoters(seed, 3, 3)
				s.add("s1", true)
				s.start(s.vm("s1"))
				s, f, h := runFaults(s, autoMemberFaultsFor)
				h.checkLinearizable(s)
				s.report(t, seed)
				if f.counts["lost disk"] == 0 && s.hasReplacedMember() {
					withReplacement.Add(1)
				}
			}
		})
	}
	t.Cleanup(func() {
		if !t.Failed() && withReplacement.Load() == 0 {
			t.Error("no history replaced an unresponsive voter")
		}
	})
}

// hasReplacedMember reports whether the group has all its voters and some process runs under another ID than its first.
func (s *sim) hasReplacedMember() bool {
	return slices.ContainsFunc(s.vms, func(v *vm) bool {
		return v.process != nil && len(s.leader().process.View(s.now).Membership.Voters) == s.maxVoters && v.lastID != v.firstID
	})
}

// Guards against a group that doesn't replace a voter whose VM is gone, although a learner is available, and against the
// old VM voting under its old ID when it returns.
func TestUnresponsiveVoterIsReplaced(t *testing.T) {
	s := newSimWithMaxVoters(1, 3, 3)
	spare := s.add("s1", true)
	s.start(spare)
	if !s.run(10*time.Second, s.settled) {
		t.Fatal("the group did not settle:", s.describe())
	}
	isolated := s.vm(consensus.ProcessName(s.leader().process.ID()))
	oldID := isolated.process.ID()
	s.isolate(isolated)
	isReplaced := func() bool {
		leader := s.leader()
		if leader == nil || leader == isolated {
			return false
		}
		voters := leader.process.View(s.now).Membership.Voters
		return slices.Contains(voters, spare.process.ID()) && !slices.Contains(voters, oldID)
	}
	if !s.run(8*time.Second, isReplaced) {
		t.Fatal("the unresponsive voter was not replaced:", s.describe())
	}
	s.cutLinks = map[[2]string]bool{}
	if !s.run(10*time.Second, s.settled) {
		t.Fatal("the group did not settle after the isolated VM returned:", s.describe())
	}
	if isolated.process.ID() == oldID {
		t.Error("the replaced VM still runs under its old ID")
	}
	s.report(t, 1)
}

// isolate drops all messages from and to a VM.
func (s *sim) isolate(v *vm) {
	for _, o := range s.vms {
		s.cutLinks[[2]string{v.name, o.name}] = true
		s.cutLinks[[2]string{o.name, v.name}] = true
	}
}

// Guards against a bootstrap that never finishes because one process was killed before all had confirmed each other's IDs
// and is restarted with Join set, as on a system that has started before.
func TestBootstrapSurvivesKill(t *testing.T) {
	for seed := range uint64(50) {
		s := newSimWithMaxVoters(seed, 3, 3)
		v := s.vms[s.r.IntN(3)]
		s.run(time.Duration(s.r.IntN(60))*time.Millisecond, nil)
		s.stop(v, s.r.IntN(2) == 0)
		v.join = true
		s.run(100*time.Millisecond, nil)
		s.start(v)
		if !s.run(10*time.Second, func() bool { return s.leader() != nil && len(s.leader().process.View(s.now).Membership.Voters) == 3 }) {
			t.Fatalf("seed %d: no leader with three voters: %s %s", seed, s.problem, s.describe())
		}
	}
}

// Guards against a group that never elects a leader again, or loses an accepted change, after two of five voters lose
// their disks at once, the most that the group must survive, while all other VMs lose power.
func TestTwoDisksLostAtOnce(t *testing.T) {
	for seed := range uint64(30) {
		s := newSimWithMaxVoters(seed, 3, 5)
		for _, name := range []string{"s1", "s2", "s3"} {
			s.start(s.add(name, true))
		}
		if !s.run(10*time.Second, s.settled) {
			t.Fatalf("seed %d: the group did not settle: %s %s", seed, s.problem, s.describe())
		}
		change := replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: 1, Text: "text"}
		accepted := false
		s.call(s.leader(), func(token uint64) consensus.Input { return consensus.Propose{Token: token, Command: change} },
			func(o consensus.Outcome) { accepted = o.Err == nil && o.Result.Verdict == replica.VerdictAccepted })
		if !s.run(time.Second, func() bool { return accepted }) {
			t.Fatalf("seed %d: the change was not accepted", seed)
		}
		voters := s.leader().process.View(s.now).Membership.Voters
		for _, v := range s.vms {
			s.stop(v, true)
		}
		for _, id := range voters[:2] {
			v := s.vm(consensus.ProcessName(id))
			v.disk.Wipe()
			v.join, v.newestChange = true, 0
		}
		for _, v := range s.vms {
			s.start(v)
		}
		recovered := func() bool { return s.leader() != nil && s.leader().process.Replica().Rules().ChangeNumber == 1 }
		if !s.run(10*time.Second, recovered) {
			t.Fatalf("seed %d: no leader with the change: %s %s", seed, s.problem, s.describe())
		}
	}
}
