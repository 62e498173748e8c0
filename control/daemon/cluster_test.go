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

// cuttableLink forwards TCP connections to a target and drops their bytes while it is cut, as in a silent partition.
type cuttableLink struct {
	listener net.Listener
	target   netip.AddrPort
	cut      atomic.Bool
	mu       sync.Mutex
	conns    []net.Conn
}

func newCuttableLink(t testing.TB, to netip.AddrPort) *cuttableLink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &cuttableLink{listener: listener, target: to}
	go l.accept()
	t.Cleanup(l.close)
	return l
}

func (l *cuttableLink) addr() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

func (l *cuttableLink) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(in)
	}
}

func (l *cuttableLink) forward(in net.Conn) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	out, err := d.Dial("tcp", l.target.String())
	if err != nil {
		_ = in.Close()
		return
	}
	l.mu.Lock()
	l.conns = append(l.conns, in, out)
	l.mu.Unlock()
	go l.copyUnlessCut(in, out)
	l.copyUnlessCut(out, in)
}

// copyUnlessCut copies bytes and drops those that arrive while the link is cut; after that the connection forwards
// nothing more, because its stream has a gap.
func (l *cuttableLink) copyUnlessCut(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		lost = lost || l.cut.Load()
		if !lost {
			_, writeErr := to.Write(buf[:n])
			err = errors.CombineErrors(err, writeErr)
		}
		if err != nil {
			return
		}
	}
}

func (l *cuttableLink) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// cluster is a group of control processes whose links to each other can be cut.
type cluster struct {
	settings  []daemon.Settings
	daemons   []*daemon.Daemon
	stops     []func()
	peerLinks map[[2]int]*cuttableLink // from one control process to another
	nodeLinks []*cuttableLink          // from the nodes to each control process
}

func newCluster(t testing.TB, n int) *cluster {
	t.Helper()
	c := &cluster{peerLinks: map[[2]int]*cuttableLink{}, daemons: make([]*daemon.Daemon, n), stops: make([]func(), n)}
	for i := range n {
		s := singleSettings(t)
		s.Name = fmt.Sprintf("c%d", i+1)
		c.settings = append(c.settings, s)
	}
	for i := range n {
		c.settings[i].Peers = c.peers(t, i)
		c.nodeLinks = append(c.nodeLinks, newCuttableLink(t, c.settings[i].Listen))
		c.start(t, i)
	}
	return c
}

// peers returns the peers of process i: itself, and the others with the addresses of new links to them.
func (c *cluster) peers(t testing.TB, i int) []daemon.Peer {
	t.Helper()
	var peers []daemon.Peer
	for j, s := range c.settings {
		at := s.Listen
		if i != j {
			l := newCuttableLink(t, s.Listen)
			c.peerLinks[[2]int{i, j}] = l
			at = l.addr()
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
	for pair, l := range c.peerLinks {
		if pair[0] == i || pair[1] == i {
			l.cut.Store(cut)
		}
	}
}

// cutOff cuts process i off from the other control processes and the nodes, like the loss of its VM, or connects it
// again.
func (c *cluster) cutOff(i int, cut bool) {
	c.isolate(i, cut)
	c.nodeLinks[i].cut.Store(cut)
}

// servers returns the control processes with the addresses at which nodes reach them.
func (c *cluster) servers() []daemon.Settings {
	servers := slices.Clone(c.settings)
	for i := range servers {
		servers[i].Listen = c.nodeLinks[i].addr()
	}
	return servers
}

// waitLeader waits for a leader with a quorum and returns its index.
func (c *cluster) waitLeader(t testing.TB) int {
	t.Helper()
	timeout := time.After(20 * time.Second)
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
		case <-timeout:
			t.Fatal("no leader")
		}
	}
}

// waitAllCurrent waits until every process is current, so that the next fault is the only one.
func (c *cluster) waitAllCurrent(t testing.TB) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for !lo.EveryBy(c.daemons, func(d *daemon.Daemon) bool { return d.View().Current }) {
		select {
		case <-poll.C:
		case <-timeout:
			t.Fatal("a process does not become current")
		}
	}
}

// submitUntilAccepted proposes a change at process i until there is a verdict, which must be accepted, and returns the
// revision.
func (c *cluster) submitUntilAccepted(t testing.TB, i int, number uint64, text string) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for {
		tryCtx, cancelTry := context.WithTimeout(ctx, time.Second)
		res, err := c.daemons[i].SubmitRules(tryCtx, number, text)
		cancelTry()
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

// checkMonotonicRevision checks until the test ends that the revision of a client never decreases.
func checkMonotonicRevision(t testing.TB, c *client.Client) {
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

// Guards against a change that is lost, reverted or not sent to a node while the leader is stopped or in a silent
// partition, or after a control process restarts with older state.
func TestChangesThroughFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(t *testing.T, c *cluster, leader int)
		heal  func(t *testing.T, c *cluster, leader int)
	}{
		{
			"leader stopped and restarted with older state",
			func(_ *testing.T, c *cluster, leader int) { c.stops[leader]() },
			func(t *testing.T, c *cluster, leader int) { c.start(t, leader) },
		},
		{
			"leader lost with its VM",
			func(_ *testing.T, c *cluster, leader int) { c.cutOff(leader, true) },
			func(_ *testing.T, c *cluster, leader int) { c.cutOff(leader, false) },
		},
		{
			"leader in a silent partition",
			func(_ *testing.T, c *cluster, leader int) { c.isolate(leader, true) },
			func(_ *testing.T, c *cluster, leader int) { c.isolate(leader, false) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 3)
			var nodes []*client.Client
			for i := range 6 {
				n := startClient(t, fmt.Sprintf("n%d", i), c.servers()...)
				checkMonotonicRevision(t, n)
				nodes = append(nodes, n)
			}
			awaitEverywhere := func(what string, revision uint64) {
				for _, n := range nodes {
					awaitState(t, n, what, func(s *follow.State) bool {
						return s.Revision >= revision && s.Confirmed && len(s.Members) == len(nodes)
					})
				}
			}
			leader := c.waitLeader(t)
			awaitEverywhere("first change", c.submitUntilAccepted(t, leader, 1, ruleText(1)))
			// An initial voter has no vote until the others have confirmed it, so that all must be up at the first start.
			c.waitAllCurrent(t)
			tt.fault(t, c, leader)
			other := (leader + 1) % len(c.daemons)
			awaitEverywhere("change during the fault", c.submitUntilAccepted(t, other, 2, ruleText(2)))
			tt.heal(t, c, leader)
			awaitEverywhere("change after the fault", c.submitUntilAccepted(t, leader, 3, ruleText(3)))
		})
	}
}
