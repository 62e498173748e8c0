package raftgroup_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/core/state/disk"
	"pollenhill.example/core/state/replica"
)

// cluster runs the members of a group in one process; messages are passed directly to Receive unless a link is cut.
type cluster struct {
	t         *testing.T
	mu        sync.Mutex
	groups    map[string]*raftgroup.Group // running members by name
	disks     map[string]*disk.Fake
	cutLinks  map[[2]string]bool // by sender and receiver
	peers     []raftgroup.Peer
	maxVoters int
}

func newCluster(t *testing.T, n int) *cluster { return newDynamicCluster(t, n, 0) }

// newDynamicCluster starts a group that adds and replaces members by itself, unless maxVoters is 0.
func newDynamicCluster(t *testing.T, n, maxVoters int) *cluster {
	c := &cluster{t: t, maxVoters: maxVoters, groups: map[string]*raftgroup.Group{}, disks: map[string]*disk.Fake{}, cutLinks: map[[2]string]bool{}}
	for i := range n {
		name := fmt.Sprintf("c%d", i+1)
		c.peers = append(c.peers, raftgroup.Peer{Name: name, Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:1", i+1))})
		c.disks[name] = disk.NewFake(rand.New(rand.NewPCG(uint64(i), 1)))
	}
	for _, p := range c.peers {
		if err := c.start(p.Name, false); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

func (c *cluster) group(name string) *raftgroup.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.groups[name]
}

// reachable returns the member to, or nil if it is down or the link to it is cut.
func (c *cluster) reachable(from, to string) *raftgroup.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutLinks[[2]string{from, to}] {
		return nil
	}
	return c.groups[to]
}

func (c *cluster) start(name string, join bool) error {
	g, err := raftgroup.Open(raftgroup.Config{
		Name: name, DataDir: "/data", Peers: c.peers, Join: join, MaxVoters: c.maxVoters, FS: c.disks[name],
		Send: func(to string, messages [][]byte) {
			if g := c.reachable(name, to); g != nil {
				g.Receive(messages)
			}
		},
		Forward: func(ctx context.Context, to string, command []byte) ([]byte, error) {
			if g := c.reachable(name, to); g != nil {
				return g.ProposeForwarded(ctx, command)
			}
			<-ctx.Done() // as in a silent partition
			return nil, ctx.Err()
		},
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groups[name] = g
	return nil
}

// stop stops a member. With crash its disk loses what was not synced, as when the VM loses power.
func (c *cluster) stop(name string, crash bool) {
	g := c.group(name)
	c.mu.Lock()
	delete(c.groups, name)
	c.mu.Unlock()
	if g == nil {
		return
	}
	if err := g.Close(); err != nil {
		c.t.Error(err)
	}
	if crash {
		c.disks[name].CrashVM()
		return
	}
	c.disks[name].KillProcess()
}

func (c *cluster) close() {
	for _, p := range c.peers {
		c.stop(p.Name, false)
	}
}

// isolate drops all messages from and to a member.
func (c *cluster) isolate(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		c.cutLinks[[2]string{name, p.Name}] = true
		c.cutLinks[[2]string{p.Name, name}] = true
	}
}

func (c *cluster) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutLinks = map[[2]string]bool{}
}

func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		<-time.After(20 * time.Millisecond)
	}
	for _, p := range c.peers {
		if g := c.group(p.Name); g != nil {
			c.t.Logf("%s: %+v, error %v", p.Name, g.View(), g.Err())
		}
	}
	c.t.Fatalf("%s: did not happen in 20 s", what)
}

// waitLeader waits for a leader with a quorum and returns its name.
func (c *cluster) waitLeader() string {
	c.t.Helper()
	name := ""
	c.waitFor("leader", func() bool {
		for _, p := range c.peers {
			if g := c.group(p.Name); g != nil && g.View().Current && g.View().Leader == p.Name {
				name = p.Name
				return true
			}
		}
		return false
	})
	return name
}

// submitChange proposes a change at a member until its result is known; a repeated change gets the first verdict.
func (c *cluster) submitChange(name string, number uint64) replica.Result {
	c.t.Helper()
	cmd := replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: number, Text: fmt.Sprintf("text %d", number), Origin: name}
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		res, err := c.group(name).Propose(ctx, cmd)
		cancel()
		if err == nil {
			return res
		}
	}
	c.t.Fatalf("change %d has no result", number)
	return replica.Result{}
}

func (c *cluster) snapshot(name string) (raw []byte) {
	c.group(name).ReadReplica(func(r *replica.Replica) { raw = r.Snapshot() })
	return raw
}

// assertEqualState waits until every member has applied all entries and compares their snapshots.
func (c *cluster) assertEqualState() {
	c.t.Helper()
	leader := c.group(c.waitLeader())
	for _, p := range c.peers {
		if err := c.group(p.Name).Barrier(c.t.Context()); err != nil {
			c.t.Fatal(err)
		}
		c.waitFor(p.Name+" applies everything", func() bool { return c.group(p.Name).View().AppliedIndex == leader.View().AppliedIndex })
	}
	for _, p := range c.peers {
		if !bytes.Equal(c.snapshot(p.Name), c.snapshot(c.peers[0].Name)) {
			c.t.Errorf("state of %s differs from that of %s", p.Name, c.peers[0].Name)
		}
	}
}

// Guards against a member that cannot propose through the leader, or that does not read a change accepted at another
// member.
func TestEveryMemberProposesAndReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.close()
		for n := uint64(1); n <= 30; n++ {
			at := c.peers[n%3].Name
			if res := c.submitChange(at, n); res.Verdict != replica.VerdictAccepted || res.Change.Origin != at {
				t.Fatalf("change %d: %+v", n, res)
			}
			reader := c.group(c.peers[(n+1)%3].Name)
			if err := reader.Barrier(t.Context()); err != nil {
				t.Fatal(err)
			}
			reader.ReadReplica(func(r *replica.Replica) {
				if r.Rules().ChangeNumber != n {
					t.Fatalf("read change %d after change %d was accepted", r.Rules().ChangeNumber, n)
				}
			})
		}
		c.assertEqualState()
	})
}

// Guards against a leader in a silent partition that still reports itself current, or whose loss stops the other members
// for longer than an election takes.
func TestSilentlyPartitionedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.close()
		old := c.waitLeader()
		c.submitChange(old, 1)
		c.isolate(old)
		cut := time.Now()
		if other := c.waitLeader(); other == old && time.Since(cut) > 500*time.Millisecond {
			t.Error("the old leader is current after an election timeout")
		}
		c.waitFor("another leader", func() bool { return c.waitLeader() != old })
		if took := time.Since(cut); took > 3*time.Second {
			t.Errorf("another leader after %v", took)
		}
		c.submitChange(c.waitLeader(), 2)
		if c.group(old).View().Current {
			t.Error("the old leader is current")
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if err := c.group(old).Barrier(ctx); err == nil {
			t.Error("the old leader answered a linearizable read")
		}
		c.heal()
		c.assertEqualState()
	})
}

// Guards against a proposal that keeps waiting for a silent leader although another one was elected. The leader becomes
// silent at a different time after a change in each run.
func TestProposalSurvivesSilentLeader(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 3)
			defer c.close()
			old := c.waitLeader()
			c.submitChange(old, 1)
			<-time.After(time.Duration(seed) * 7 * time.Millisecond)
			at := c.peers[0].Name
			if at == old {
				at = c.peers[1].Name
			}
			c.isolate(old)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			res, err := c.group(at).Propose(ctx, replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: 2, Text: "text 2"})
			if err != nil || res.Verdict != replica.VerdictAccepted {
				t.Fatalf("%v, %v", res.Verdict, err)
			}
		})
	}
}

// Guards against changes that are lost, or members whose states differ, when members are killed and restarted at random
// between changes.
func TestRandomKillsAndRestarts(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 9))
			c := newCluster(t, 3)
			defer c.close()
			c.waitLeader()
			const changes = 300
			for n := uint64(1); n <= changes; n++ {
				if r.IntN(6) == 0 {
					name := c.peers[r.IntN(3)].Name
					c.stop(name, r.IntN(2) == 0)
					if err := c.start(name, false); err != nil {
						t.Fatal(err)
					}
				}
				if res := c.submitChange(c.peers[r.IntN(3)].Name, n); res.Verdict != replica.VerdictAccepted {
					t.Fatalf("seed %d: change %d: %+v", seed, n, res)
				}
			}
			c.assertEqualState()
			c.group("c1").ReadReplica(func(r *replica.Replica) {
				if rules := r.Rules(); rules.ChangeNumber != changes || len(r.AcceptedChanges()) != changes {
					t.Errorf("seed %d: change %d is in force, %d in the history", seed, rules.ChangeNumber, len(r.AcceptedChanges()))
				}
			})
		})
	}
}

// Guards against a member that keeps serving after a sync or a write of its log failed.
func TestFailedDiskStopsMember(t *testing.T) {
	for name, fault := range map[string]func(d *disk.Fake){
		"sync": func(d *disk.Fake) { d.FailSyncAfter(0) },
		"full": func(d *disk.Fake) { d.LimitSpace(3) },
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 1)
			c.submitChange("c1", 1)
			g := c.group("c1")
			fault(c.disks["c1"])
			if _, err := g.Propose(t.Context(), replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: 2}); err == nil {
				t.Errorf("%s: a change was accepted", name)
			}
			<-g.Done()
			if g.Err() == nil || g.View().Current || g.Barrier(t.Context()) == nil {
				t.Errorf("%s: error %v, view %+v", name, g.Err(), g.View())
			}
			if err := g.Close(); err == nil {
				t.Errorf("%s: Close returned nil after the disk failed", name)
			}
		})
	}
}

// hangingDisk is a disk whose syncs block until the gate is closed.
type hangingDisk struct {
	disk.FS
	gate atomic.Pointer[chan struct{}] // nil: syncs do not block
}

type hangingFile struct {
	disk.File
	disk *hangingDisk
}

func (d *hangingDisk) Create(path string) (disk.File, error) {
	f, err := d.FS.Create(path)
	return &hangingFile{f, d}, err
}

func (f *hangingFile) Sync() error {
	if gate := f.disk.gate.Load(); gate != nil {
		<-*gate
	}
	return f.File.Sync()
}

// Guards against a leader that still reports itself current while a sync of its disk blocks.
func TestHangingDiskIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &hangingDisk{FS: disk.NewFake(rand.New(rand.NewPCG(1, 1)))}
		g, err := raftgroup.Open(raftgroup.Config{Name: "c1", DataDir: "/data", FS: d, Peers: []raftgroup.Peer{{Name: "c1"}}})
		if err != nil {
			t.Fatal(err)
		}
		if !g.View().Current {
			t.Error("not current before the disk hangs")
		}
		gate := make(chan struct{})
		d.gate.Store(&gate)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := g.Propose(ctx, replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: 1}); !errors.Is(err, raftgroup.ErrOutcomeUnknown) {
			t.Errorf("proposal on a hanging disk: %v", err)
		}
		if g.View().Current {
			t.Error("current although the disk hangs")
		}
		d.gate.Store(nil)
		close(gate)
		if err := g.Close(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a voter that votes again after it lost its disk, which could elect a leader without accepted changes,
// and against a new member that cannot take its place.
func TestWipedVoterIsRefusedAndRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.close()
		c.submitChange(c.waitLeader(), 1)
		old := c.group("c3").View().ID
		c.stop("c3", true)
		c.disks["c3"].Wipe()
		if err := c.start("c3", false); err != nil {
			t.Fatal(err)
		}
		wiped := c.group("c3")
		<-wiped.Done()
		if err := wiped.Err(); !errors.Is(err, raftgroup.ErrDataDirReplaced) {
			t.Fatalf("the wiped voter stopped with %v", err)
		}
		c.disks["c3"].KillProcess()
		if err := c.start("c3", true); err != nil {
			t.Fatal(err)
		}
		c.waitFor("c3 votes", func() bool {
			view := c.group("c3").View()
			return len(view.Voters) == 3 && len(view.Learners) == 0 && view.AppliedIndex > 0 && view.ID != old
		})
		c.submitChange("c3", 2)
		c.assertEqualState()
	})
}
