package raftgroup_test

import (
	"net/netip"
	"testing"

	"pollenhill.example/control/coordination/raftgroup"
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
