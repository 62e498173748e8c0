package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/state/disk"
	"pollenhill.example/core/state/replica"
)

// propose commits one command through the leader, retrying up to 50 times, and returns its result.
func (s *sim) propose(t testing.TB, cmd replica.Command) replica.Result {
	t.Helper()
	var out *consensus.Outcome
	cmd.ProposedAt = s.now
	for try := 0; try < 50 && s.problem == ""; try++ {
		s.run(5*time.Second, func() bool { return s.leader() != nil })
		leader := s.leader()
		if leader == nil {
			continue
		}
		s.call(leader, func(token uint64) consensus.Input { return consensus.Propose{Token: token, Command: cmd} },
			func(o consensus.Outcome) { out = &o })
		s.run(2*time.Second, func() bool { return out != nil })
		if out != nil && out.Err == nil {
			return out.Result
		}
		out = nil
	}
	t.Fatalf("the command was not committed: %s %s", s.problem, s.describe())
	return replica.Result{}
}

func changeCommand(n uint64, text string) replica.Command {
	return replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: n, Text: text, Origin: "c1"}
}

// Guards against a group that fails to elect a leader, commit commands or reach the same state on all members.
func TestGroupCommits(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newSim(1, n)
			for i := uint64(1); i <= 40; i++ {
				if res := s.propose(t, changeCommand(i, fmt.Sprint("text ", i))); res.Verdict != replica.VerdictAccepted {
					t.Fatalf("change %d: verdict %v, want accepted", i, res.Verdict)
				}
			}
			s.settle()
			s.checkEqualState()
			s.report(t, 1)
		})
	}
}

// Guards against losing the quorum or accepted changes when a second VM is lost right after the first one was replaced.
func TestSecondLossRightAfterRepair(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(seed, 3)
		for i := uint64(1); i <= 20; i++ {
			s.propose(t, changeCommand(i, fmt.Sprint("text ", i)))
		}
		f := &faultInjector{s: s, counts: map[string]int{}}
		first, second := s.vms[seed%3], s.vms[(seed+1+seed/3%2)%3]
		f.replace(first)
		if !s.run(20*time.Second, func() bool { return f.replacing == nil }) {
			t.Fatalf("seed %d: the replaced VM is not a voter: %s", seed, s.describe())
		}
		s.stop(second, true)
		second.disk.Wipe()
		if res := s.propose(t, changeCommand(21, "after the loss")); res.Verdict != replica.VerdictAccepted {
			t.Fatalf("seed %d: change 21: verdict %v, want accepted", seed, res.Verdict)
		}
		f.replace(second)
		s.settle()
		s.checkEqualState()
		s.report(t, seed)
	}
}

// Guards against two leaders in a term, an accepted change that is reverted on any member and a key granted to two
// attempts. Package rapid draws the fault schedule, so that a failing one is reduced to the faults it needs.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(rt, "members"))
		h := newHistory()
		f := &faultInjector{s: s, counts: map[string]int{}}
		end := s.now.Add(4 * time.Second)
		for id := range 3 {
			c := &client{s: s, id: id, endAt: end, history: h}
			c.scheduleNext()
		}
		for range rapid.IntRange(0, 12).Draw(rt, "faults") {
			s.run(time.Duration(rapid.IntRange(0, 600).Draw(rt, "wait"))*time.Millisecond, nil)
			v := s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(rt, "vm")]
			switch rapid.SampledFrom([]string{
				"power loss", "process kill", "pause", "isolate", "drop incoming", "drop outgoing", "full disk", "failed sync",
			}).Draw(rt, "fault") {
			case "power loss":
				f.crashAndRestart(v, true)
			case "process kill":
				f.crashAndRestart(v, false)
			case "pause":
				s.pause(v, time.Second)
			case "isolate":
				f.isolate(v, true, true)
			case "drop incoming":
				f.isolate(v, false, true)
			case "drop outgoing":
				f.isolate(v, true, false)
			case "full disk":
				v.disk.LimitSpace(rapid.IntRange(0, 1000).Draw(rt, "space"))
			case "failed sync":
				v.disk.FailSyncAfter(rapid.IntRange(0, 5).Draw(rt, "syncs"))
			}
		}
		s.run(10*time.Second, func() bool { return s.now.After(end) && h.outstanding == 0 })
		s.settle()
		if s.problem == "" {
			s.checkEqualState()
		}
		if s.problem != "" {
			rt.Fatal(s.problem)
		}
	})
}

// Guards against a removed member that gets back into the group by asking to join: a former leader, which knows that it was
// removed, a former follower, which doesn't, and a member whose earlier join request arrives late.
func TestRemovedMemberStaysOut(t *testing.T) {
	for _, name := range []string{"leader", "follower", "late request"} {
		s := newSim(3, 3)
		s.propose(t, changeCommand(1, "text"))
		d := s.add("d", true)
		s.start(d)
		f := &faultInjector{s: s, counts: map[string]int{}}
		if !s.run(20*time.Second, func() bool { return f.isCommittedVoter(d) }) {
			t.Fatalf("%s: d did not become a voter: %s", name, s.describe())
		}
		for name == "leader" && s.leader() != d {
			s.pause(s.leader(), 2*time.Second)
			s.run(3*time.Second, func() bool { return s.leader() == d })
		}
		s.propose(t, replica.Command{Kind: replica.CommandLeave, Member: replica.Member{ID: d.process.ID()}})
		s.run(5*time.Second, nil)
		if name == "late request" {
			for _, raw := range s.joinRequests {
				s.deliver(s.leader().name, raw)
			}
		}
		s.stop(d, true)
		s.start(d)
		s.run(10*time.Second, nil)
		if got := s.leader().process.View(s.now).Membership; len(got.Voters) != 3 || len(got.Learners) != 0 {
			t.Errorf("%s: membership %+v, want three voters and no learner", name, got)
		}
		s.report(t, 3)
	}
}

// Guards against a second process with the name of a running member that displaces it from the group.
func TestRunningMemberIsNotReplaced(t *testing.T) {
	s := newSim(5, 3)
	s.propose(t, changeCommand(1, "text"))
	members := s.leader().process.View(s.now).Membership
	other, err := consensus.Open(consensus.Config{
		Name: "c3", FS: disk.NewFake(s.r), Dir: dataDir, Peers: s.peers(), Join: true, Rand: s.r,
		Send: func(to string, messages [][]byte) { s.send("c3", to, messages) },
	}, s.now)
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		other.Step(s.now, consensus.Tick{})
		s.run(50*time.Millisecond, nil)
	}
	if got := s.leader().process.View(s.now).Membership; !reflect.DeepEqual(got, members) {
		t.Errorf("membership %+v, want %+v as before the second process", got, members)
	}
	s.report(t, 5)
}

// Guards against peer names that make two members indistinguishable.
func TestOpenRejectsInvalidPeers(t *testing.T) {
	for name, peers := range map[string][]consensus.Peer{
		"empty":    {{Name: "c1"}, {Name: ""}},
		"slash":    {{Name: "c1"}, {Name: "c2/1"}},
		"repeated": {{Name: "c1"}, {Name: "c2"}, {Name: "c2"}},
		"missing":  {{Name: "c2"}, {Name: "c3"}},
	} {
		r := rand.New(rand.NewPCG(1, 1))
		cfg := consensus.Config{Name: "c1", FS: disk.NewFake(r), Dir: dataDir, Peers: peers, Rand: r}
		if _, err := consensus.Open(cfg, time.Now()); err == nil {
			t.Errorf("peers with an invalid name (%s) were accepted", name)
		}
	}
}
