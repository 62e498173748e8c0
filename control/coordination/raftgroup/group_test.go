package raftgroup_test

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/core/state/disk"
	"pollenhill.example/core/state/replica"
)

func openSingle(t *testing.T, data string) *raftgroup.Group {
	t.Helper()
	g, err := raftgroup.Open(raftgroup.Config{
		Name: "c1", DataDir: data,
		Peers: []raftgroup.Peer{{Name: "c1", Address: netip.MustParseAddrPort("127.0.0.1:1")}},
		Send:  func(string, [][]byte) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// Guards against an accepted change that is lost when its only member restarts.
func TestSingleMemberKeepsChangesOverRestart(t *testing.T) {
	data := t.TempDir()
	g := openSingle(t, data)
	for n := uint64(1); n <= 3; n++ {
		res, err := g.Propose(t.Context(), replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: n, Text: "text"})
		if err != nil || res.Verdict != replica.VerdictAccepted {
			t.Fatalf("change %d: %v %v", n, res.Verdict, err)
		}
	}
	if err := g.Close(); err != nil {
		t.Fatal(err)
	}
	g = openSingle(t, data)
	defer g.Close()
	if err := g.Barrier(t.Context()); err != nil {
		t.Fatal(err)
	}
	g.ReadReplica(func(r *replica.Replica) {
		if r.Rules().ChangeNumber != 3 {
			t.Fatalf("number %d after the restart, want 3", r.Rules().ChangeNumber)
		}
	})
}

// Guards against a log whose entries stay in memory whatever their size (review/12): large changes lead to a snapshot long before
// there are many of them.
func TestLargeChangesLeadToSnapshots(t *testing.T) {
	const changes, textSize, limit = 40, 1 << 20, 16 << 20
	data := t.TempDir()
	g := openSingle(t, data)
	defer g.Close()
	for n := uint64(1); n <= changes; n++ {
		text := strings.Repeat("x", textSize-int(n))
		if _, err := g.Propose(t.Context(), replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: n, Text: text}); err != nil {
			t.Fatal(err)
		}
	}
	size := 0
	files, _ := os.ReadDir(data)
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			size += int(info.Size())
		}
	}
	if size > limit {
		t.Errorf("data folder of %d bytes after %d changes of %d bytes, want at most %d", size, changes, textSize, limit)
	}
}

// Guards against messages of other members that pile up in memory while the disk hangs.
func TestQueuedMessagesAreBoundedInBytes(t *testing.T) {
	const messages, messageSize, limit = 64, 1 << 20, 24 << 20
	d := &hangingDisk{FS: disk.NewFake(rand.New(rand.NewPCG(1, 1)))}
	g, err := raftgroup.Open(raftgroup.Config{Name: "c1", DataDir: "/data", FS: d, Peers: []raftgroup.Peer{{Name: "c1"}}})
	if err != nil {
		t.Fatal(err)
	}
	gate := make(chan struct{})
	d.gate.Store(&gate)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _ = g.Propose(ctx, replica.Command{Kind: replica.CommandChangeRules, ChangeNumber: 1}) // the goroutine of the group waits for the disk
	before := heapInUse()
	for range messages {
		g.Receive([][]byte{make([]byte, messageSize)})
	}
	if got := heapInUse() - before; got > limit {
		t.Errorf("%d bytes are kept of %d messages of %d bytes, want at most %d", got, messages, messageSize, limit)
	}
	d.gate.Store(nil)
	close(gate)
	if err := g.Close(); err != nil {
		t.Error(err)
	}
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
