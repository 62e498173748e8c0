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

// propose commits one command through the leader and returns its result.
func (s *sim) propose(t testing.TB, cmd replica.Command) replica.Result {
	t.Helper()
	var out *consensus.Outcome
	cmd.Time = s.now
	for try := 0; try < 50 && s.problem == ""; try++ {
		s.run(5*time.Second, func() bool { return s.leader() != nil })
		l := s.leader()
		if l == nil {
			continue
		}
		s.call(l, func(token uint64) consensus.Input { return consensus.Propose{Token: token, Command: cmd} },
			func(o consensus.Outcome) { out = &o })
		s.run(2*time.Second, func() bool { return out != nil })
		if out != nil && out.Err == nil {
			return out.Result
		}
		out = nil
	}
	t.Fatalf("no outcome: %s %s", s.problem, s.describe())
	return replica.Result{}
}

func change(n uint64, text string) replica.Command {
	return replica.Command{Kind: replica.Change, Number: n, Text: text, Origin: "c1"}
}

// Guards against a group that cannot elect, commit and bring everyone to the same state.
func TestGroupCommits(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newSim(1, n)
			for i := uint64(1); i <= 40; i++ {
				if res := s.propose(t, change(i, fmt.Sprint("text ", i))); res.Verdict != replica.Accepted {
					t.Fatalf("change %d: %v", i, res.Verdict)
				}
			}
			s.settle()
			s.equal()
			s.report(t, 1)
		})
	}
}

// Guards against a repair after which the loss of a second VM loses the quorum or accepted changes.
func TestSecondLossRightAfterRepair(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(seed, 3)
		for i := uint64(1); i <= 20; i++ {
			s.propose(t, change(i, fmt.Sprint("text ", i)))
		}
		n := &nemesis{s: s, used: map[string]int{}}
		first, second := s.vms[seed%3], s.vms[(seed+1+seed/3%2)%3]
		n.replace(first)
		if !s.run(20*time.Second, func() bool { return n.lost == nil }) {
			t.Fatalf("seed %d: not repaired: %s", seed, s.describe())
		}
		s.stop(second, true)
		second.disk.Wipe()
		if res := s.propose(t, change(21, "after the loss")); res.Verdict != replica.Accepted {
			t.Fatalf("seed %d: change 21: %v", seed, res.Verdict)
		}
		n.replace(second)
		s.settle()
		s.equal()
		s.report(t, seed)
	}
}

// Guards against two leaders in a term, an accepted change that reverts at any member and a key granted to two
// attempts; the schedule of faults is drawn, so that a failure shrinks to the faults it needs.
func TestPropertiesUnderDrawnFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(rt, "members"))
		h := newHistory()
		n := &nemesis{s: s, used: map[string]int{}}
		end := s.now.Add(4 * time.Second)
		for id := range 3 {
			c := &client{s: s, id: id, until: end, history: h}
			c.begin()
		}
		for range rapid.IntRange(0, 12).Draw(rt, "faults") {
			s.run(time.Duration(rapid.IntRange(0, 600).Draw(rt, "wait"))*time.Millisecond, nil)
			v := s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(rt, "vm")]
			switch rapid.SampledFrom([]string{"crash", "kill", "pause", "cut", "deaf", "mute", "full", "sync"}).Draw(rt, "fault") {
			case "crash":
				n.crash(v, true)
			case "kill":
				n.crash(v, false)
			case "pause":
				s.pause(v, time.Second)
			case "cut":
				n.isolate(v, true, true)
			case "deaf":
				n.isolate(v, false, true)
			case "mute":
				n.isolate(v, true, false)
			case "full":
				v.disk.Limit(rapid.IntRange(0, 1000).Draw(rt, "space"))
			case "sync":
				v.disk.FailSync(rapid.IntRange(0, 5).Draw(rt, "syncs"))
			}
		}
		s.run(10*time.Second, func() bool { return s.now.After(end) && h.open == 0 })
		s.settle()
		if s.problem == "" {
			s.equal()
		}
		if s.problem != "" {
			rt.Fatal(s.problem)
		}
	})
}

// Guards against a member that was taken out and asks to join again: one that heard of it, because it led, one
// that did not hear of it, and one whose request to join arrives late.
func TestMemberThatLeftStaysOut(t *testing.T) {
	for _, name := range []string{"leader", "follower", "late request"} {
		s := newSim(3, 3)
		s.propose(t, change(1, "text"))
		d := s.add("d", true)
		s.start(d)
		n := &nemesis{s: s, used: map[string]int{}}
		if !s.run(20*time.Second, func() bool { return n.voter(d) }) {
			t.Fatalf("did not join: %s", s.describe())
		}
		for name == "leader" && s.leader() != d {
			s.pause(s.leader(), 2*time.Second)
			s.run(3*time.Second, func() bool { return s.leader() == d })
		}
		s.propose(t, replica.Command{Kind: replica.Leave, Member: replica.Member{ID: d.process.ID()}})
		s.run(5*time.Second, nil)
		if name == "late request" {
			for _, raw := range s.joins {
				s.deliver(s.leader().name, raw)
			}
		}
		s.stop(d, true)
		s.start(d)
		s.run(10*time.Second, nil)
		if got := s.leader().process.View(s.now).Membership; len(got.Voters) != 3 || len(got.Learners) != 0 {
			t.Errorf("%s: members %+v", name, got)
		}
		s.report(t, 3)
	}
}

// Guards against a second process of the same name that pushes a living member out of the group.
func TestLivingMemberIsNotReplaced(t *testing.T) {
	s := newSim(5, 3)
	s.propose(t, change(1, "text"))
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
		t.Errorf("members %+v, before the second process %+v", got, members)
	}
	s.report(t, 5)
}

// Guards against member names that make two members look like one.
func TestOpenRefusesPeers(t *testing.T) {
	for name, peers := range map[string][]consensus.Peer{
		"empty":    {{Name: "c1"}, {Name: ""}},
		"slash":    {{Name: "c1"}, {Name: "c2/1"}},
		"repeated": {{Name: "c1"}, {Name: "c2"}, {Name: "c2"}},
		"missing":  {{Name: "c2"}, {Name: "c3"}},
	} {
		r := rand.New(rand.NewPCG(1, 1))
		if _, err := consensus.Open(consensus.Config{Name: "c1", FS: disk.NewFake(r), Dir: dataDir, Peers: peers, Rand: r}, time.Now()); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
