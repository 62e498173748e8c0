package allowance

import (
	"slices"
	"time"

	"pollenhill.example/core/protocol/control"
)

// Outgoing returns the sums for the other control processes, or nil while there is nothing to tell.
func (l *Ledger) Outgoing(now time.Time) *control.TotalsRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	req := &control.TotalsRequest{Own: l.ownTotals(now)}
	for key, n := range l.nodes {
		if !n.fullAt.IsZero() && now.Sub(n.fullAt) < movedPeriod {
			req.Moved = append(req.Moved, key)
		}
	}
	for name, at := range l.left {
		if now.Sub(at) < leftPeriod/2 {
			req.Left = append(req.Left, name)
		}
	}
	quiet := len(l.own)+len(req.GetMoved())+len(req.GetLeft()) == 0
	if quiet && l.quiet {
		return nil
	}
	l.quiet = quiet
	for name, o := range l.others {
		if now.Sub(o.sentAt) < heardPeriod {
			req.Heard = append(req.Heard, name)
		}
	}
	return req
}

// Receive takes the sums of another control process and returns those that it has not heard.
func (l *Ledger) Receive(now time.Time, req *control.TotalsRequest) *control.TotalsResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range req.GetMoved() {
		l.drop(key)
	}
	for _, name := range req.GetLeft() {
		if _, known := l.left[name]; !known {
			l.markLeft(now, name)
		}
	}
	l.store(now, req.GetOwn())
	resp := &control.TotalsResponse{}
	for name, o := range l.others {
		if age := now.Sub(o.sentAt); name != req.GetOwn().GetProcess() && !slices.Contains(req.GetHeard(), name) && age < admittedPeriod {
			resp.Relayed = append(resp.Relayed, &control.Totals{Process: name, Age: uint32(age.Milliseconds()), Accounts: accountUses(o.accounts), Silent: uint32(o.silent)})
		}
	}
	return resp
}

// Merge takes the answer of another control process to Outgoing.
func (l *Ledger) Merge(now time.Time, resp *control.TotalsResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range resp.GetRelayed() {
		l.store(now, t)
	}
}

// store keeps the sums of another control process unless newer ones are known.
func (l *Ledger) store(now time.Time, t *control.Totals) {
	sentAt := now.Add(-time.Duration(t.GetAge()) * time.Millisecond)
	old := l.others[t.GetProcess()]
	if t.GetProcess() == l.process || t.GetProcess() == "" || old != nil && !sentAt.After(old.sentAt) {
		return
	}
	o := &totals{sentAt: sentAt, silent: int(t.GetSilent()), accounts: make(map[uint64]use, len(t.GetAccounts()))}
	for _, u := range t.GetAccounts() {
		o.accounts[u.GetAccount()] = use{int64(u.GetAdmitted()), float64(u.GetDemand())}
	}
	l.others[t.GetProcess()] = o
}

func (l *Ledger) ownTotals(now time.Time) *control.Totals {
	return &control.Totals{Process: l.process, Accounts: accountUses(l.own), Silent: uint32(l.silent(now))}
}

func accountUses(accounts map[uint64]use) []*control.AccountUse {
	list := make([]*control.AccountUse, 0, len(accounts))
	for account, u := range accounts {
		list = append(list, &control.AccountUse{Account: account, Admitted: uint32(max(0, u.admitted)), Demand: float32(max(0, u.demand))})
	}
	return list
}
