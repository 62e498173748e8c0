package allowance_test

import (
	"testing"
	"time"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/allowance"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// small allows 12 requests in a window.
var small = rule.Account{Name: "small", Rate: 2, Burst: 2}

func newLimiter(accounts ...rule.Account) *allowance.Limiter {
	l := allowance.New(allowance.Config{Node: "a", Incarnation: 1}, start)
	l.SetAccounts(accounts)
	return l
}

// admit returns how many of n requests at a time are admitted.
func admit(l *allowance.Limiter, at time.Time, n int) int {
	admitted := 0
	for range n {
		if l.Admit(at, small.Name).Admitted {
			admitted++
		}
	}
	return admitted
}

// exchange reports at a time, and answers with the totals of this node alone among a number of nodes.
func exchange(l *allowance.Limiter, at time.Time, nodes uint32) {
	if req := l.Report(at); req != nil {
		l.Apply(&control.UsageResponse{Current: true, Nodes: nodes, Age: 3600, Accounts: req.GetAccounts()})
	}
}

// Guards against an account without a limit that costs reports, or is refused.
func TestUnlimitedAccountCostsNothing(t *testing.T) {
	l := newLimiter(rule.Account{Name: small.Name})
	if n := admit(l, start, 1000); n != 1000 {
		t.Errorf("%d of 1000 requests without a limit admitted", n)
	}
	if req := l.Report(start.Add(time.Minute)); req != nil {
		t.Errorf("reported %v", req)
	}
}

// Guards against a node that goes on by totals from before it was frozen.
func TestTotalsExpireWhileFrozen(t *testing.T) {
	l := newLimiter(small)
	exchange(l, start, 100)
	if n := admit(l, start, 1); n != 1 {
		t.Fatal("in touch, the first request is refused")
	}
	exchange(l, start.Add(50*time.Millisecond), 100)
	woken := start.Add(20 * time.Second)
	if n := admit(l, woken, 12); n > 1 {
		t.Errorf("%d requests admitted after a freeze, above the share of one of 100 nodes", n)
	}
	if l.Stats(woken).InTouch {
		t.Error("in touch after a freeze without an answer")
	}
}

// Guards against answers of a control process without a quorum that count as totals.
func TestAnswersWithoutQuorumAreIgnored(t *testing.T) {
	l := newLimiter(small)
	l.Apply(&control.UsageResponse{Nodes: 100, Accounts: l.Report(start.Add(time.Second)).GetAccounts()})
	if l.Stats(start.Add(time.Second)).InTouch {
		t.Error("in touch by the answer of a control process without a quorum")
	}
}

// Guards against a limit that a removed account leaves behind, and one that comes back with old counts.
func TestRemovedAccountIsForgotten(t *testing.T) {
	l := newLimiter(small)
	exchange(l, start, 1)
	admit(l, start, 1)
	l.SetAccounts(nil)
	if n := admit(l, start, 100); n != 100 {
		t.Errorf("%d of 100 requests admitted after the limit was removed", n)
	}
	l.SetAccounts([]rule.Account{small})
	if use := l.Report(start.Add(time.Second)); len(use.GetAccounts()) > 0 {
		t.Errorf("counts of the removed account are reported: %v", use)
	}
}

// Guards against requests that no back end has run but that use up the allowance.
func TestGivenBackRequestsDoNotCount(t *testing.T) {
	l := newLimiter(small)
	exchange(l, start, 1)
	for i := range 100 {
		at := start.Add(time.Duration(i) * 50 * time.Millisecond)
		if !l.Admit(at, small.Name).Admitted {
			t.Fatalf("request %d refused, although all before it were given back", i)
		}
		l.GiveBack(at, at, small.Name)
		exchange(l, at, 1)
	}
}

// Guards against a Retry-After that is false: a node out of touch has room when it says.
func TestRetryAfterIsTrue(t *testing.T) {
	l := newLimiter(small)
	exchange(l, start, 1)
	admit(l, start, 1)
	exchange(l, start.Add(50*time.Millisecond), 1)
	at := start.Add(10 * time.Second)
	admit(l, at, 100)
	d := l.Admit(at, small.Name)
	if d.Admitted || d.RetryAfter <= 0 || d.RetryAfter > allowance.Window+time.Second {
		t.Fatalf("%+v after the share is used up", d)
	}
	if l.Admit(at.Add(d.RetryAfter-time.Second), small.Name).Admitted {
		t.Error("room a second before the time that was named")
	}
	if !l.Admit(at.Add(d.RetryAfter), small.Name).Admitted {
		t.Error("no room at the time that was named")
	}
}
