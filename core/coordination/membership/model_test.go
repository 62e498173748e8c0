package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pollenhill.example/core/coordination/membership"
	"pollenhill.example/core/protocol/control"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newMember(node string, incarnation, sequence uint64, state control.State) *control.Member {
	return &control.Member{
		Node: node, Address: "127.0.0.1:1", Zone: "a", Region: "r", Incarnation: incarnation, Sequence: sequence,
		Backends: []*control.Backend{{Name: node + "-b", Service: "s", State: state}},
	}
}

// simCluster simulates control processes whose exchanges can be lost, duplicated or delayed.
type simCluster struct {
	now       time.Time
	models    map[string]*membership.Model
	changes   map[string][]string // by directory, "+node" or "-node"
	isCut     func(from, to string) bool
	duplicate bool // deliver every exchange twice
	delay     bool // deliver exchanges one tick late, newest first
	delayed   []membership.Send
	senders   map[*control.ExchangeRequest]string
	sends     int
}

func newSimCluster(names ...string) *simCluster {
	c := &simCluster{
		now: epoch, models: map[string]*membership.Model{}, changes: map[string][]string{},
		isCut: func(string, string) bool { return false }, senders: map[*control.ExchangeRequest]string{},
	}
	for _, n := range names {
		c.start(n, names)
	}
	return c
}

// start replaces a directory by an empty one, as after a restart of the control process.
func (c *simCluster) start(name string, names []string) {
	c.models[name] = membership.New(membership.Config{Name: name, Peers: lo.Without(names, name)})
	c.changes[name] = nil
}

func (c *simCluster) update(name string, msg membership.Msg) *control.ExchangeResponse {
	var answer *control.ExchangeResponse
	for _, cmd := range c.models[name].Update(c.now, msg) {
		switch cmd := cmd.(type) {
		case membership.Change:
			for _, m := range cmd.Updated {
				c.changes[name] = append(c.changes[name], "+"+m.GetNode())
			}
			for _, n := range cmd.Removed {
				c.changes[name] = append(c.changes[name], "-"+n)
			}
		case membership.Send:
			c.sends++
			c.send(name, cmd)
		case membership.Respond:
			answer = cmd.Response
		}
	}
	return answer
}

func (c *simCluster) send(from string, cmd membership.Send) {
	c.senders[cmd.Request] = from
	if c.delay {
		c.delayed = append(c.delayed, cmd)
		return
	}
	c.deliver(cmd)
}

func (c *simCluster) deliver(cmd membership.Send) {
	from := c.senders[cmd.Request]
	if c.isCut(from, cmd.Peer) {
		c.update(from, membership.SendResult{Peer: cmd.Peer})
		return
	}
	answer := c.update(cmd.Peer, membership.Exchange{Request: proto.CloneOf(cmd.Request)})
	if c.duplicate {
		c.update(cmd.Peer, membership.Exchange{Request: proto.CloneOf(cmd.Request)})
	}
	c.update(from, membership.SendResult{Peer: cmd.Peer, Response: answer})
}

// advance runs the cluster for d; announce is called once a second and may be nil.
func (c *simCluster) advance(d time.Duration, announce func()) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(membership.ExchangeInterval)
		delayed := c.delayed
		c.delayed = nil
		slices.Reverse(delayed)
		for _, cmd := range delayed {
			c.deliver(cmd)
		}
		if announce != nil && c.now.Sub(epoch)%time.Second == 0 {
			announce()
		}
		for _, name := range slices.Sorted(slices.Values(lo.Keys(c.models))) {
			c.update(name, membership.Tick{})
		}
	}
}

func (c *simCluster) nodes(name string) []string {
	return lo.Map(c.models[name].Members(), func(m *control.Member, _ int) string { return m.GetNode() })
}

// announcer returns a function that announces a node to the directory that at points to, with a rising sequence.
func (c *simCluster) announcer(node string, at *string) func() {
	var sequence uint64
	return func() {
		sequence++
		c.update(*at, membership.Announce{Member: newMember(node, 1, sequence, control.State_STATE_READY)})
	}
}

// Guards against members that are removed and added again, are lost, or stay forever when exchanges fail, repeat or arrive late.
func TestExchangeFaults(t *testing.T) {
	never := func(string, string) bool { return false }
	between := func(a, b string) func(string, string) bool {
		return func(x, y string) bool { return x == a && y == b || x == b && y == a }
	}
	tests := []struct {
		name             string
		cut              func(from, to string) bool
		duplicate, delay bool
	}{
		{"no fault", never, false, false},
		{"duplicated deltas", never, true, false},
		{"late and reordered deltas", never, false, true},
		{"link c1 c2 cut, c3 relays", between("c1", "c2"), false, false},
		{"link c1 c3 cut, late and duplicated", between("c1", "c3"), true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newSimCluster("c1", "c2", "c3")
			c.isCut, c.duplicate, c.delay = tt.cut, tt.duplicate, tt.delay
			at := "c1"
			announce := c.announcer("n", &at)
			c.advance(10*time.Second, announce)
			at = "c2" // the node moves to another control process
			c.advance(10*time.Second, announce)
			for name, seen := range c.changes {
				if !slices.Equal(seen, []string{"+n"}) {
					t.Errorf("%s saw %v while the node announced itself, want one addition", name, seen)
				}
			}
			c.advance(12*time.Second, nil)
			for name, seen := range c.changes {
				if !slices.Equal(seen, []string{"+n", "-n"}) {
					t.Errorf("%s saw %v after the end of the node, want one removal", name, seen)
				}
			}
		})
	}
}

// Guards against directories that still differ, or keep the older incarnation of a node, after a partition has ended.
func TestPartitionAndMerge(t *testing.T) {
	c := newSimCluster("c1", "c2")
	c.isCut = func(string, string) bool { return true }
	one, two := "c1", "c2"
	a, b := c.announcer("a", &one), c.announcer("b", &two)
	sequence := uint64(100)
	announceBothIncarnations := func() {
		// The same node name on both sides: the VM that announces to c2 replaces the other one.
		sequence++
		c.update("c1", membership.Announce{Member: newMember("x", 1, sequence, control.State_STATE_READY)})
		c.update("c2", membership.Announce{Member: newMember("x", 2, 1+sequence-100, control.State_STATE_COLD)})
	}
	announceAll := func() { a(); b(); announceBothIncarnations() }
	c.advance(time.Hour/60, announceAll)
	if got := c.nodes("c1"); !slices.Equal(got, []string{"a", "x"}) {
		t.Fatalf("c1 knows %v during the partition", got)
	}
	c.isCut = func(string, string) bool { return false }
	c.advance(3*time.Second, announceAll)
	for name, m := range c.models {
		if got := c.nodes(name); !slices.Equal(got, []string{"a", "b", "x"}) {
			t.Errorf("%s knows %v after the merge", name, got)
		}
		x, _ := lo.Find(m.Members(), func(m *control.Member) bool { return m.GetNode() == "x" })
		if x.GetIncarnation() != 2 {
			t.Errorf("%s kept incarnation %d of x", name, x.GetIncarnation())
		}
	}
}

// Guards against a restarted control process whose directory stays empty, or is ready while it is empty.
func TestRestart(t *testing.T) {
	c := newSimCluster("c1", "c2")
	at := "c1"
	announce := c.announcer("n", &at)
	c.advance(10*time.Second, announce)
	c.start("c2", []string{"c1", "c2"})
	if c.models["c2"].Ready() {
		t.Fatal("an empty directory is ready")
	}
	c.advance(2*time.Second, announce)
	if !c.models["c2"].Ready() || !slices.Equal(c.nodes("c2"), []string{"n"}) {
		t.Fatalf("2 s after its restart c2 knows %v, ready %v", c.nodes("c2"), c.models["c2"].Ready())
	}
}

// Guards against leases that expire because the control process itself was frozen.
func TestFrozenProcessExtendsLeases(t *testing.T) {
	c := newSimCluster("c1")
	at := "c1"
	announce := c.announcer("n", &at)
	c.advance(10*time.Second, announce)
	c.now = c.now.Add(time.Minute)
	c.update("c1", membership.Tick{})
	if got := c.nodes("c1"); !slices.Equal(got, []string{"n"}) {
		t.Fatalf("directory holds %v after the process was frozen", got)
	}
	c.advance(membership.LeaseDuration+membership.ExchangeInterval, nil)
	if got := c.nodes("c1"); len(got) != 0 {
		t.Fatalf("directory holds %v a lease later", got)
	}
}

// Guards against an unbounded number of tombstones, and against the removal of recent ones.
func TestTombstones(t *testing.T) {
	c := newSimCluster("c1")
	for i := range membership.MaxTombstones + 100 {
		node := fmt.Sprintf("n%05d", i)
		gone := newMember(node, 1, 2, control.State_STATE_LEAVING)
		gone.Gone = true
		c.update("c1", membership.Announce{Member: newMember(node, 1, 1, control.State_STATE_READY)})
		c.update("c1", membership.Announce{Member: gone})
	}
	c.update("c1", membership.Tick{})
	reappears := func(i int) bool {
		c.changes["c1"] = nil
		c.update("c1", membership.Announce{Member: newMember(fmt.Sprintf("n%05d", i), 1, 1, control.State_STATE_READY)})
		return len(c.changes["c1"]) > 0
	}
	if reappears(membership.MaxTombstones + 99) {
		t.Error("an older announcement added a node again that had announced its end")
	}
	if !reappears(0) {
		t.Error("the oldest tombstone is kept beyond the bound")
	}
}

func drawMember(t *rapid.T) *control.Member {
	m := newMember(
		rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"),
		rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		rapid.Uint64Range(1, 3).Draw(t, "sequence"),
		rapid.SampledFrom([]control.State{control.State_STATE_COLD, control.State_STATE_READY}).Draw(t, "state"),
	)
	m.Gone = rapid.IntRange(0, 4).Draw(t, "gone") == 0
	return m
}

func mergeBatches(batches ...[]*control.Member) []*control.Member {
	m := membership.New(membership.Config{Name: "c0", Peers: []string{"c1"}})
	for _, b := range batches {
		m.Update(epoch, membership.Exchange{Request: &control.ExchangeRequest{From: "c1", Members: b}})
	}
	return m.Members()
}

// Guards against directories that differ after the same deltas in another order or repeated.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batches := rapid.SliceOfN(rapid.SliceOfN(rapid.Custom(drawMember), 0, 4), 1, 6).Draw(t, "batches")
		want := mergeBatches(batches...)
		orders := [][][]*control.Member{
			rapid.Permutation(batches).Draw(t, "order"),
			slices.Concat(batches, batches),
			{rapid.Permutation(slices.Concat(batches...)).Draw(t, "flat")},
		}
		for i, o := range orders {
			got := mergeBatches(o...)
			if !slices.EqualFunc(want, got, func(a, b *control.Member) bool { return proto.Equal(a, b) }) {
				t.Fatalf("order %d gives %v, want %v", i, got, want)
			}
		}
	})
}

// Guards against directories that do not converge after nodes moved between control processes while exchanges were lost.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"c1", "c2", "c3"}
		c := newSimCluster(names...)
		announcesTo := map[string]*string{}
		announce := map[string]func(){}
		for _, n := range []string{"a", "b"} {
			at := "c1"
			announcesTo[n] = &at
			announce[n] = c.announcer(n, &at)
		}
		c.isCut = func(string, string) bool { return rapid.IntRange(0, 2).Draw(t, "lost") == 0 }
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			*announcesTo["a"] = rapid.SampledFrom(names).Draw(t, "a at")
			*announcesTo["b"] = rapid.SampledFrom(names).Draw(t, "b at")
			c.advance(time.Second, func() { announce["a"](); announce["b"]() })
		}
		c.isCut = func(string, string) bool { return false }
		c.advance(3*time.Second, func() { announce["a"](); announce["b"]() })
		for _, n := range names {
			if got := c.nodes(n); !slices.Equal(got, []string{"a", "b"}) {
				t.Fatalf("%s knows %v", n, got)
			}
		}
	})
}
