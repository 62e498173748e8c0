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

// cluster runs groups in one process; messages go straight to Receive unless a link is cut.
type cluster struct {
	t     *testing.T
	mu    sync.Mutex
	up    map[string]*raftgroup.Group
	disks map[string]*disk.Fake
	cut   map[[2]string]bool
	peers []raftgroup.Peer

	voters int // of a group that chooses its members
}

func newCluster(t *testing.T, n int) *cluster { return newVoters(t, n, 0) }

func newVoters(t *testing.T, n, voters int) *cluster {
	c := &cluster{t: t, voters: voters, up: map[string]*raftgroup.Group{}, disks: map[string]*disk.Fake{}, cut: map[[2]string]bool{}}
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

func (c *cluster) get(name string) *raftgroup.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up[name]
}

func (c *cluster) link(from, to string) *raftgroup.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[[2]string{from, to}] {
		return nil
	}
	return c.up[to]
}

func (c *cluster) start(name string, join bool) error {
	g, err := raftgroup.Open(raftgroup.Config{
		Name: name, DataDir: "/data", Peers: c.peers, Join: join, MaxVoters: c.voters, FS: c.disks[name],
		Send: func(to string, messages [][]byte) {
			if g := c.link(name, to); g != nil {
				g.Receive(messages)
			}
		},
		Forward: func(ctx context.Context, to string, command []byte) ([]byte, error) {
			if g := c.link(name, to); g != nil {
				return g.ProposeForwarded(ctx, command)
			}
			<-ctx.Done() // a silent partition
			return nil, ctx.Err()
		},
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.up[name] = g
	return nil
}

func (c *cluster) stop(name string, crash bool) {
	g := c.get(name)
	c.mu.Lock()
	delete(c.up, name)
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

// isolate cuts a member off silently, in both directions.
func (c *cluster) isolate(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		c.cut[[2]string{name, p.Name}] = true
		c.cut[[2]string{p.Name, name}] = true
	}
}

func (c *cluster) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = map[[2]string]bool{}
}

func (c *cluster) wait(what string, until func() bool) {
	c.t.Helper()
	for range 1000 {
		if until() {
			return
		}
		<-time.After(20 * time.Millisecond)
	}
	for _, p := range c.peers {
		if g := c.get(p.Name); g != nil {
			c.t.Logf("%s: %+v failed %v", p.Name, g.View(), g.Err())
		}
	}
	c.t.Fatalf("%s: did not happen in 20 s", what)
}

// leader waits for a member that leads with a quorum.
func (c *cluster) leader() string {
	c.t.Helper()
	name := ""
	c.wait("leader", func() bool {
		for _, p := range c.peers {
			if g := c.get(p.Name); g != nil && g.View().Current && g.View().Leader == p.Name {
				name = p.Name
				return true
			}
		}
		return false
	})
	return name
}

// change proposes a change at a member until the answer is known; a resend gets the first verdict.
func (c *cluster) change(name string, number uint64) replica.Result {
	c.t.Helper()
	cmd := replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: number, Text: fmt.Sprintf("text %d", number), Origin: name}
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		res, err := c.get(name).Propose(ctx, cmd)
		cancel()
		if err == nil {
			return res
		}
	}
	c.t.Fatalf("change %d has no answer", number)
	return replica.Result{}
}

func (c *cluster) state(name string) (raw []byte) {
	c.get(name).ReadReplica(func(r *replica.Replica) { raw = r.Snapshot() })
	return raw
}

func (c *cluster) equal() {
	c.t.Helper()
	lead := c.get(c.leader())
	for _, p := range c.peers {
		if err := c.get(p.Name).Barrier(c.t.Context()); err != nil {
			c.t.Fatal(err)
		}
		c.wait(p.Name+" applies everything", func() bool { return c.get(p.Name).View().AppliedIndex == lead.View().AppliedIndex })
	}
	for _, p := range c.peers {
		if !bytes.Equal(c.state(p.Name), c.state(c.peers[0].Name)) {
			c.t.Errorf("%s has another state than %s", p.Name, c.peers[0].Name)
		}
	}
}

// Guards against members that cannot propose through the leader or read what another member proposed.
func TestEveryMemberProposesAndReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.close()
		for n := uint64(1); n <= 30; n++ {
			at := c.peers[n%3].Name
			if res := c.change(at, n); res.Verdict != replica.VerdictAccepted || res.Change.Origin != at {
				t.Fatalf("change %d: %+v", n, res)
			}
			reader := c.get(c.peers[(n+1)%3].Name)
			if err := reader.Barrier(t.Context()); err != nil {
				t.Fatal(err)
			}
			reader.ReadReplica(func(r *replica.Replica) {
				if r.Rules().ChangeNumber != n {
					t.Fatalf("read change %d after change %d was accepted", r.Rules().ChangeNumber, n)
				}
			})
		}
		c.equal()
	})
}

// Guards against a silently partitioned leader that calls itself current or stops the others for long.
func TestSilentlyPartitionedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.close()
		old := c.leader()
		c.change(old, 1)
		c.isolate(old)
		cut := time.Now()
		if other := c.leader(); other == old && time.Since(cut) > 500*time.Millisecond {
			t.Error("the old leader is current after an election timeout")
		}
		c.wait("another leader", func() bool { return c.leader() != old })
		if took := time.Since(cut); took > 3*time.Second {
			t.Errorf("another leader after %v", took)
		}
		c.change(c.leader(), 2)
		if c.get(old).View().Current {
			t.Error("the old leader is current")
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if err := c.get(old).Barrier(ctx); err == nil {
			t.Error("the old leader answered a linearizable read")
		}
		c.heal()
		c.equal()
	})
}

// Guards against a proposal that hangs at a silent leader although another one was elected.
func TestProposalSurvivesSilentLeader(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 3)
			defer c.close()
			old := c.leader()
			c.change(old, 1)
			<-time.After(time.Duration(seed) * 7 * time.Millisecond)
			at := c.peers[0].Name
			if at == old {
				at = c.peers[1].Name
			}
			c.isolate(old)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			res, err := c.get(at).Propose(ctx, replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: 2, Text: "text 2"})
			if err != nil || res.Verdict != replica.VerdictAccepted {
				t.Fatalf("%v, %v", res.Verdict, err)
			}
		})
	}
}

// Guards against state that differs or gets lost over many changes with kills and restarts in between.
func TestRandomKillsAndRestarts(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 9))
			c := newCluster(t, 3)
			defer c.close()
			c.leader()
			const changes = 300
			for n := uint64(1); n <= changes; n++ {
				if r.IntN(6) == 0 {
					name := c.peers[r.IntN(3)].Name
					c.stop(name, r.IntN(2) == 0)
					if err := c.start(name, false); err != nil {
						t.Fatal(err)
					}
				}
				if res := c.change(c.peers[r.IntN(3)].Name, n); res.Verdict != replica.VerdictAccepted {
					t.Fatalf("seed %d: change %d: %+v", seed, n, res)
				}
			}
			c.equal()
			c.get("c1").ReadReplica(func(r *replica.Replica) {
				if rules := r.Rules(); rules.ChangeNumber != changes || len(r.AcceptedChanges()) != changes {
					t.Errorf("seed %d: change %d is in force, %d in the history", seed, rules.ChangeNumber, len(r.AcceptedChanges()))
				}
			})
		})
	}
}

// Guards against a member that serves on after its disk failed.
func TestFailedDiskStopsMember(t *testing.T) {
	for name, fault := range map[string]func(d *disk.Fake){
		"sync": func(d *disk.Fake) { d.FailSyncAfter(0) },
		"full": func(d *disk.Fake) { d.LimitSpace(3) },
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 1)
			c.change("c1", 1)
			g := c.get("c1")
			fault(c.disks["c1"])
			if _, err := g.Propose(t.Context(), replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: 2}); err == nil {
				t.Errorf("%s: a change was accepted", name)
			}
			<-g.Done()
			if g.Err() == nil || g.View().Current || g.Barrier(t.Context()) == nil {
				t.Errorf("%s: failed %v, view %+v", name, g.Err(), g.View())
			}
			if err := g.Close(); err == nil {
				t.Errorf("%s: close hides the failure", name)
			}
		})
	}
}

// hanging is a disk whose syncs wait for a gate.
type hanging struct {
	disk.FS
	gate atomic.Pointer[chan struct{}] // nil: open
}

type hangingFile struct {
	disk.File
	disk *hanging
}

func (d *hanging) Create(path string) (disk.File, error) {
	f, err := d.FS.Create(path)
	return &hangingFile{f, d}, err
}

func (f *hangingFile) Sync() error {
	if gate := f.disk.gate.Load(); gate != nil {
		<-*gate
	}
	return f.File.Sync()
}

// Guards against a leader that calls itself current while it hangs in its disk.
func TestHangingDiskIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &hanging{FS: disk.NewFake(rand.New(rand.NewPCG(1, 1)))}
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

// Guards against a voter that lost its disk and votes again, and against a replacement that cannot take its place.
func TestWipedVoterIsRefusedAndRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.close()
		c.change(c.leader(), 1)
		old := c.get("c3").View().ID
		c.stop("c3", true)
		c.disks["c3"].Wipe()
		if err := c.start("c3", false); err != nil {
			t.Fatal(err)
		}
		wiped := c.get("c3")
		<-wiped.Done()
		if err := wiped.Err(); !errors.Is(err, raftgroup.ErrDataDirReplaced) {
			t.Fatalf("the wiped voter stopped with %v", err)
		}
		c.disks["c3"].KillProcess()
		if err := c.start("c3", true); err != nil {
			t.Fatal(err)
		}
		c.wait("c3 votes", func() bool {
			view := c.get("c3").View()
			return len(view.Voters) == 3 && len(view.Learners) == 0 && view.AppliedIndex > 0 && view.ID != old
		})
		c.change("c3", 2)
		c.equal()
	})
}
