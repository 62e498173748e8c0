package allowance_test

import (
	"testing"
	"time"

	control "pollenhill.example/control/coordination/allowance"
	messages "pollenhill.example/core/protocol/control"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// report reports requests of account 1 that a node has admitted, and returns the answer.
func report(l *control.Ledger, at time.Time, node string, incarnation uint64, admitted uint32) *messages.UsageResponse {
	use := []*messages.AccountUse{{Account: 1, Admitted: admitted, Demand: 1}}
	return l.Report(at, &messages.UsageRequest{Node: node, Incarnation: incarnation, Accounts: use}, true)
}

// Guards against what a node admitted before it was restarted, or fell silent, that is forgotten before the window is over, or is
// counted for ever.
func TestUseOfSilentNodesCountsForAWindow(t *testing.T) {
	l := control.New(control.Config{Name: "x"}, begin)
	report(l, begin, "a", 1, 10)
	report(l, begin.Add(time.Second), "b", 1, 5)
	for _, test := range []struct {
		after time.Duration
		want  uint32
	}{{2 * time.Second, 17}, {4900 * time.Millisecond, 17}, {5500 * time.Millisecond, 7}, {7 * time.Second, 2}} {
		if got := report(l, begin.Add(test.after), "a", 2, 2).GetAccounts()[0].GetAdmitted(); got != test.want {
			t.Errorf("after %v: %d requests admitted, want %d", test.after, got, test.want)
		}
	}
}

// Guards against a node that moves to another control process and is counted at both, or at neither.
func TestNodeThatMovesIsCountedOnce(t *testing.T) {
	x, y := control.New(control.Config{Name: "x"}, begin), control.New(control.Config{Name: "y"}, begin)
	at := begin
	exchange := func() {
		y.Merge(at, x.Receive(at, y.Outgoing(at)))
		x.Merge(at, y.Receive(at, x.Outgoing(at)))
	}
	report(x, at, "a", 1, 10)
	exchange()
	for range 3 {
		at = at.Add(control.PushInterval)
		report(y, at, "a", 1, 10)
		exchange()
	}
	exchange()
	for name, l := range map[string]*control.Ledger{"x": x, "y": y} {
		if got := report(l, at, "b", 1, 0).GetAccounts()[0].GetAdmitted(); got != 10 {
			t.Errorf("%s counts %d requests, want 10", name, got)
		}
	}
}

// Guards against totals that miss a control process which only a third one reaches.
func TestTotalsAreRelayed(t *testing.T) {
	x, y, z := control.New(control.Config{Name: "x"}, begin), control.New(control.Config{Name: "y"}, begin), control.New(control.Config{Name: "z"}, begin)
	report(x, begin, "a", 1, 10)
	report(z, begin, "c", 1, 1)
	y.Receive(begin, x.Outgoing(begin))
	z.Merge(begin, y.Receive(begin, z.Outgoing(begin)))
	if got := report(z, begin, "c", 1, 1).GetAccounts()[0].GetAdmitted(); got != 11 {
		t.Errorf("%d requests, want 11", got)
	}
}

// Guards against a share of nodes that are out of touch which the others use, and one that is kept for nodes that have left.
func TestNodesOutOfTouchAreCounted(t *testing.T) {
	l := control.New(control.Config{Name: "x"}, begin)
	l.SetMembers(begin, []string{"a", "b", "c", "d"})
	l.NodeLeft(begin, "c")
	report(l, begin, "b", 1, 1)
	report(l, begin, "c", 1, 1)
	at := begin.Add(2 * time.Second)
	if got := report(l, at, "a", 1, 1); got.GetNodes() != 3 || got.GetAbsent() != 1 {
		t.Errorf("a node is silent and one has left: %d nodes, %d out of touch, want 3 and 1", got.GetNodes(), got.GetAbsent())
	}
	l.SetMembers(at, []string{"a"})
	if got := report(l, at, "a", 1, 1); got.GetNodes() != 3 || got.GetAbsent() != 2 {
		t.Errorf("two nodes are gone from the directory: %d nodes, %d out of touch, want 3 and 2", got.GetNodes(), got.GetAbsent())
	}
	at = begin.Add(control.AbsentPeriod + 3*time.Second)
	l.SetMembers(at, []string{"a"})
	if got := report(l, at, "a", 1, 1); got.GetNodes() != 1 || got.GetAbsent() != 0 {
		t.Errorf("long after: %d nodes, %d out of touch, want 1 and 0", got.GetNodes(), got.GetAbsent())
	}
}
