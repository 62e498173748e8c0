package daemon_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/control/daemon"
	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/state/replica"
	client "pollenhill.example/node/transport/control"
)

// link is a TCP forwarder whose bytes vanish while it is cut, as in a silent partition.
type link struct {
	l   net.Listener
	to  netip.AddrPort
	cut atomic.Bool
	mu  sync.Mutex
	all []net.Conn
}

func newLink(t testing.TB, to netip.AddrPort) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &link{l: l, to: to}
	go k.accept()
	t.Cleanup(k.close)
	return k
}

func (k *link) addr() netip.AddrPort { return k.l.Addr().(*net.TCPAddr).AddrPort() }

func (k *link) accept() {
	for {
		in, err := k.l.Accept()
		if err != nil {
			return
		}
		go k.forward(in)
	}
}

func (k *link) forward(in net.Conn) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	out, err := d.Dial("tcp", k.to.String())
	if err != nil {
		_ = in.Close()
		return
	}
	k.mu.Lock()
	k.all = append(k.all, in, out)
	k.mu.Unlock()
	go k.pump(in, out)
	k.pump(out, in)
}

// pump drops what arrives while the link is cut; a connection that lost bytes stays dead.
func (k *link) pump(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		lost = lost || k.cut.Load()
		if !lost {
			_, failed := to.Write(buf[:n])
			err = errors.CombineErrors(err, failed)
		}
		if err != nil {
			return
		}
	}
}

func (k *link) close() {
	_ = k.l.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.all {
		_ = c.Close()
	}
}

// cluster is a group of control processes whose links to each other can be cut.
type cluster struct {
	settings []daemon.Settings
	daemons  []*daemon.Daemon
	stops    []func()
	links    map[[2]int]*link
	nodes    []*link // from the nodes to each control process
}

func newCluster(t testing.TB, n int) *cluster {
	t.Helper()
	c := &cluster{links: map[[2]int]*link{}, daemons: make([]*daemon.Daemon, n), stops: make([]func(), n)}
	for i := range n {
		s := single(t)
		s.Name = fmt.Sprintf("c%d", i+1)
		c.settings = append(c.settings, s)
	}
	for i := range n {
		c.settings[i].Peers = c.peers(t, i)
		c.nodes = append(c.nodes, newLink(t, c.settings[i].Listen))
		c.start(t, i)
	}
	return c
}

// peers returns the group as process i sees it: itself, and the others behind links.
func (c *cluster) peers(t testing.TB, i int) []daemon.Peer {
	t.Helper()
	var peers []daemon.Peer
	for j, s := range c.settings {
		at := s.Listen
		if i != j {
			k := newLink(t, s.Listen)
			c.links[[2]int{i, j}] = k
			at = k.addr()
		}
		peers = append(peers, daemon.Peer{Name: s.Name, Address: at, Region: s.Region})
	}
	return peers
}

func (c *cluster) start(t testing.TB, i int) {
	t.Helper()
	c.daemons[i], c.stops[i] = start(t, c.settings[i])
}

// isolate cuts process i off from the other control processes, or connects it again.
func (c *cluster) isolate(i int, cut bool) {
	for pair, k := range c.links {
		if pair[0] == i || pair[1] == i {
			k.cut.Store(cut)
		}
	}
}

// silence cuts process i off from everyone, as the loss of its VM does, or connects it again.
func (c *cluster) silence(i int, cut bool) {
	c.isolate(i, cut)
	c.nodes[i].cut.Store(cut)
}

// servers returns the control processes as nodes reach them.
func (c *cluster) servers() []daemon.Settings {
	servers := slices.Clone(c.settings)
	for i := range servers {
		servers[i].Listen = c.nodes[i].addr()
	}
	return servers
}

// leader returns the process that leads, once one does.
func (c *cluster) leader(t testing.TB) int {
	t.Helper()
	limit := time.After(20 * time.Second)
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for {
		for i, d := range c.daemons {
			if v := d.View(); v.Current && v.Leader == c.settings[i].Name {
				return i
			}
		}
		select {
		case <-poll.C:
		case <-limit:
			t.Fatal("no leader")
		}
	}
}

// healed waits until every process is current, so that the next fault is a single one.
func (c *cluster) healed(t testing.TB) {
	t.Helper()
	limit := time.After(20 * time.Second)
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for !lo.EveryBy(c.daemons, func(d *daemon.Daemon) bool { return d.View().Current }) {
		select {
		case <-poll.C:
		case <-limit:
			t.Fatal("a process does not return to the group")
		}
	}
}

// submit proposes a change at process i until it is accepted, and returns its revision.
func (c *cluster) submit(t testing.TB, i int, number uint64, text string) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for {
		try, done := context.WithTimeout(ctx, time.Second)
		res, err := c.daemons[i].SubmitRules(try, number, text)
		done()
		switch {
		case err == nil && res.Verdict == replica.VerdictAccepted:
			return res.Change.Revision
		case err == nil:
			t.Fatalf("change %d: %v %s", number, res.Verdict, res.Problem)
		case ctx.Err() != nil:
			t.Fatalf("change %d: %v", number, err)
		}
	}
}

// monotonic checks until the test ends that no reader of a client sees the revision decrease.
func monotonic(t testing.TB, c *client.Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		last := uint64(0)
		for {
			changed := c.Changed()
			s := c.State()
			if s.Revision < last {
				t.Errorf("revision %d after %d", s.Revision, last)
			}
			last = s.Revision
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// Guards against a change that is lost, reverted or withheld while the leader is stopped or silently partitioned,
// or a control process returns with older state.
func TestChangesThroughFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(t *testing.T, c *cluster, leader int)
		heal  func(t *testing.T, c *cluster, leader int)
	}{
		{
			"leader stopped, back with older state",
			func(_ *testing.T, c *cluster, leader int) { c.stops[leader]() },
			func(t *testing.T, c *cluster, leader int) { c.start(t, leader) },
		},
		{
			"leader lost with its VM",
			func(_ *testing.T, c *cluster, leader int) { c.silence(leader, true) },
			func(_ *testing.T, c *cluster, leader int) { c.silence(leader, false) },
		},
		{
			"leader silently partitioned",
			func(_ *testing.T, c *cluster, leader int) { c.isolate(leader, true) },
			func(_ *testing.T, c *cluster, leader int) { c.isolate(leader, false) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 3)
			var nodes []*client.Client
			for i := range 6 {
				n := node(t, fmt.Sprintf("n%d", i), c.servers()...)
				monotonic(t, n)
				nodes = append(nodes, n)
			}
			everywhere := func(what string, revision uint64) {
				for _, n := range nodes {
					await(t, n, what, func(s *follow.State) bool {
						return s.Revision >= revision && s.Confirmed && len(s.Members) == len(nodes)
					})
				}
			}
			leader := c.leader(t)
			everywhere("first change", c.submit(t, leader, 1, text(1)))
			// A first voter that the others have not confirmed yet has no vote: all must be up once at the first start.
			c.healed(t)
			tt.fault(t, c, leader)
			other := (leader + 1) % len(c.daemons)
			everywhere("change during the fault", c.submit(t, other, 2, text(2)))
			tt.heal(t, c, leader)
			everywhere("change after the fault", c.submit(t, leader, 3, text(3)))
		})
	}
}
