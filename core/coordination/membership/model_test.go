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

func made(node string, incarnation, sequence uint64, state control.State) *control.Member {
	return &control.Member{
		Node: node, Address: "127.0.0.1:1", Zone: "a", Region: "r", Incarnation: incarnation, Sequence: sequence,
		Backends: []*control.Backend{{Name: node + "-b", Service: "s", State: state}},
	}
}

// fleet is a set of directories whose exchanges a test delivers, cuts, duplicates and delays.
type fleet struct {
	now    time.Time
	models map[string]*membership.Model
	seen   map[string][]string // changes per directory: "+node" or "-node"
	cut    func(from, to string) bool
	twice  bool // deliver every exchange twice
	late   bool // deliver exchanges one tick late, newest first
	held   []membership.Send
	from   map[*control.ExchangeRequest]string
	sends  int
}

func newFleet(names ...string) *fleet {
	f := &fleet{
		now: epoch, models: map[string]*membership.Model{}, seen: map[string][]string{},
		cut: func(string, string) bool { return false }, from: map[*control.ExchangeRequest]string{},
	}
	for _, n := range names {
		f.start(n, names)
	}
	return f
}

// start makes an empty directory, as a restarted control process has.
func (f *fleet) start(name string, names []string) {
	f.models[name] = membership.New(membership.Config{Name: name, Peers: lo.Without(names, name)})
	f.seen[name] = nil
}

func (f *fleet) update(name string, msg membership.Msg) *control.ExchangeResponse {
	var answer *control.ExchangeResponse
	for _, cmd := range f.models[name].Update(f.now, msg) {
		switch cmd := cmd.(type) {
		case membership.Change:
			for _, m := range cmd.Updated {
				f.seen[name] = append(f.seen[name], "+"+m.GetNode())
			}
			for _, n := range cmd.Removed {
				f.seen[name] = append(f.seen[name], "-"+n)
			}
		case membership.Send:
			f.sends++
			f.send(name, cmd)
		case membership.Respond:
			answer = cmd.Response
		}
	}
	return answer
}

func (f *fleet) send(from string, cmd membership.Send) {
	f.from[cmd.Request] = from
	if f.late {
		f.held = append(f.held, cmd)
		return
	}
	f.deliver(cmd)
}

func (f *fleet) deliver(cmd membership.Send) {
	from := f.from[cmd.Request]
	if f.cut(from, cmd.Peer) {
		f.update(from, membership.SendResult{Peer: cmd.Peer})
		return
	}
	answer := f.update(cmd.Peer, membership.Exchange{Request: proto.CloneOf(cmd.Request)})
	if f.twice {
		f.update(cmd.Peer, membership.Exchange{Request: proto.CloneOf(cmd.Request)})
	}
	f.update(from, membership.SendResult{Peer: cmd.Peer, Response: answer})
}

// pass lets time pass tick by tick; every directory in announce gets an announcement of its nodes each second.
func (f *fleet) pass(d time.Duration, announce func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(membership.ExchangeInterval)
		held := f.held
		f.held = nil
		slices.Reverse(held)
		for _, h := range held {
			f.deliver(h)
		}
		if announce != nil && f.now.Sub(epoch)%time.Second == 0 {
			announce()
		}
		for _, name := range slices.Sorted(slices.Values(lo.Keys(f.models))) {
			f.update(name, membership.Tick{})
		}
	}
}

func (f *fleet) nodes(name string) []string {
	return lo.Map(f.models[name].Members(), func(m *control.Member, _ int) string { return m.GetNode() })
}

// announcer returns a function that announces a node with rising sequences at the directory that at points to.
func (f *fleet) announcer(node string, at *string) func() {
	var sequence uint64
	return func() {
		sequence++
		f.update(*at, membership.Announce{Member: made(node, 1, sequence, control.State_STATE_READY)})
	}
}

// Guards against members that flap at some observer, are lost or stay forever, under each fault of the exchange.
func TestExchangeFaults(t *testing.T) {
	never := func(string, string) bool { return false }
	between := func(a, b string) func(string, string) bool {
		return func(x, y string) bool { return x == a && y == b || x == b && y == a }
	}
	tests := []struct {
		name        string
		cut         func(from, to string) bool
		twice, late bool
	}{
		{"no fault", never, false, false},
		{"duplicated deltas", never, true, false},
		{"late and reordered deltas", never, false, true},
		{"link c1 c2 cut, c3 relays", between("c1", "c2"), false, false},
		{"link c1 c3 cut, late and duplicated", between("c1", "c3"), true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet("c1", "c2", "c3")
			f.cut, f.twice, f.late = tt.cut, tt.twice, tt.late
			at := "c1"
			announce := f.announcer("n", &at)
			f.pass(10*time.Second, announce)
			at = "c2" // the node moves to another control process
			f.pass(10*time.Second, announce)
			for name, seen := range f.seen {
				if !slices.Equal(seen, []string{"+n"}) {
					t.Errorf("%s saw %v while the node lived, want one appearance", name, seen)
				}
			}
			f.pass(12*time.Second, nil)
			for name, seen := range f.seen {
				if !slices.Equal(seen, []string{"+n", "-n"}) {
					t.Errorf("%s saw %v after the node ended, want one end", name, seen)
				}
			}
		})
	}
}

// Guards against a directory that stays split, or keeps the older incarnation, after a partition has healed.
func TestPartitionAndMerge(t *testing.T) {
	f := newFleet("c1", "c2")
	f.cut = func(string, string) bool { return true }
	one, two := "c1", "c2"
	a, b := f.announcer("a", &one), f.announcer("b", &two)
	sequence := uint64(100)
	replaced := func() {
		// The same node name on both sides: the VM behind c2 is its replacement.
		sequence++
		f.update("c1", membership.Announce{Member: made("x", 1, sequence, control.State_STATE_READY)})
		f.update("c2", membership.Announce{Member: made("x", 2, 1+sequence-100, control.State_STATE_COLD)})
	}
	all := func() { a(); b(); replaced() }
	f.pass(time.Hour/60, all)
	if got := f.nodes("c1"); !slices.Equal(got, []string{"a", "x"}) {
		t.Fatalf("c1 knows %v during the partition", got)
	}
	f.cut = func(string, string) bool { return false }
	f.pass(3*time.Second, all)
	for name, m := range f.models {
		if got := f.nodes(name); !slices.Equal(got, []string{"a", "b", "x"}) {
			t.Errorf("%s knows %v after the merge", name, got)
		}
		x, _ := lo.Find(m.Members(), func(m *control.Member) bool { return m.GetNode() == "x" })
		if x.GetIncarnation() != 2 {
			t.Errorf("%s kept incarnation %d of x", name, x.GetIncarnation())
		}
	}
}

// Guards against a restarted control process that stays empty, or claims to be complete while it is empty.
func TestRestart(t *testing.T) {
	f := newFleet("c1", "c2")
	at := "c1"
	announce := f.announcer("n", &at)
	f.pass(10*time.Second, announce)
	f.start("c2", []string{"c1", "c2"})
	if f.models["c2"].Ready() {
		t.Fatal("an empty directory is ready")
	}
	f.pass(2*time.Second, announce)
	if !f.models["c2"].Ready() || !slices.Equal(f.nodes("c2"), []string{"n"}) {
		t.Fatalf("2 s after its restart c2 knows %v, ready %v", f.nodes("c2"), f.models["c2"].Ready())
	}
}

// Guards against leases that all end because the control process itself was frozen.
func TestFrozenProcessKeepsLeases(t *testing.T) {
	f := newFleet("c1")
	at := "c1"
	announce := f.announcer("n", &at)
	f.pass(10*time.Second, announce)
	f.now = f.now.Add(time.Minute)
	f.update("c1", membership.Tick{})
	if got := f.nodes("c1"); !slices.Equal(got, []string{"n"}) {
		t.Fatalf("directory holds %v after the process was frozen", got)
	}
	f.pass(membership.LeaseDuration+membership.ExchangeInterval, nil)
	if got := f.nodes("c1"); len(got) != 0 {
		t.Fatalf("directory holds %v a lease later", got)
	}
}

// Guards against tombstones that grow without bound, and against one that is dropped too early.
func TestTombstones(t *testing.T) {
	f := newFleet("c1")
	for i := range membership.MaxTombstones + 100 {
		node := fmt.Sprintf("n%05d", i)
		gone := made(node, 1, 2, control.State_STATE_LEAVING)
		gone.Gone = true
		f.update("c1", membership.Announce{Member: made(node, 1, 1, control.State_STATE_READY)})
		f.update("c1", membership.Announce{Member: gone})
	}
	f.update("c1", membership.Tick{})
	old := func(i int) bool {
		f.seen["c1"] = nil
		f.update("c1", membership.Announce{Member: made(fmt.Sprintf("n%05d", i), 1, 1, control.State_STATE_READY)})
		return len(f.seen["c1"]) > 0
	}
	if old(membership.MaxTombstones + 99) {
		t.Error("an older announcement brought back a node that had said it is gone")
	}
	if !old(0) {
		t.Error("the oldest tombstone is kept beyond the bound")
	}
}

func drawMember(t *rapid.T) *control.Member {
	m := made(
		rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"),
		rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		rapid.Uint64Range(1, 3).Draw(t, "sequence"),
		rapid.SampledFrom([]control.State{control.State_STATE_COLD, control.State_STATE_READY}).Draw(t, "state"),
	)
	m.Gone = rapid.IntRange(0, 4).Draw(t, "gone") == 0
	return m
}

func merged(batches ...[]*control.Member) []*control.Member {
	m := membership.New(membership.Config{Name: "c0", Peers: []string{"c1"}})
	for _, b := range batches {
		m.Update(epoch, membership.Exchange{Request: &control.ExchangeRequest{From: "c1", Members: b}})
	}
	return m.Members()
}

// Guards against directories that differ after the same deltas in another order, or after duplicates.
func TestMergeCommutesAndRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batches := rapid.SliceOfN(rapid.SliceOfN(rapid.Custom(drawMember), 0, 4), 1, 6).Draw(t, "batches")
		want := merged(batches...)
		orders := [][][]*control.Member{
			rapid.Permutation(batches).Draw(t, "order"),
			slices.Concat(batches, batches),
			{rapid.Permutation(slices.Concat(batches...)).Draw(t, "flat")},
		}
		for i, o := range orders {
			got := merged(o...)
			if !slices.EqualFunc(want, got, func(a, b *control.Member) bool { return proto.Equal(a, b) }) {
				t.Fatalf("order %d gives %v, want %v", i, got, want)
			}
		}
	})
}

// Guards against a directory that does not converge after any sequence of announcements, moves and lost exchanges.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"c1", "c2", "c3"}
		f := newFleet(names...)
		places := map[string]*string{}
		announce := map[string]func(){}
		for _, n := range []string{"a", "b"} {
			at := "c1"
			places[n] = &at
			announce[n] = f.announcer(n, &at)
		}
		f.cut = func(string, string) bool { return rapid.IntRange(0, 2).Draw(t, "lost") == 0 }
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			*places["a"] = rapid.SampledFrom(names).Draw(t, "a at")
			*places["b"] = rapid.SampledFrom(names).Draw(t, "b at")
			f.pass(time.Second, func() { announce["a"](); announce["b"]() })
		}
		f.cut = func(string, string) bool { return false }
		f.pass(3*time.Second, func() { announce["a"](); announce["b"]() })
		for _, n := range names {
			if got := f.nodes(n); !slices.Equal(got, []string{"a", "b"}) {
				t.Fatalf("%s knows %v", n, got)
			}
		}
	})
}
