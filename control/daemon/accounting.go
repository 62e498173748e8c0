package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"pollenhill.example/control/coordination/allowance"
	"pollenhill.example/core/coordination/pause"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/replica"
)

// totalsTimeout bounds one exchange of account use with another control process.
const totalsTimeout = 500 * time.Millisecond

// memberInterval is the time between reads of the directory for the accounting.
const memberInterval = 500 * time.Millisecond

// exchangeTotals gives the account use that nodes have reported to the other control processes until ctx ends. An exchange with a
// process starts when the one before it has ended.
func (d *Daemon) exchangeTotals(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	busy := map[string]chan struct{}{}
	for d.awaitLimitedAccounts(ctx) && pause.For(ctx, allowance.PushInterval) {
		req := d.ledger.Outgoing(time.Now())
		if req == nil {
			continue
		}
		for _, name := range d.otherProcesses() {
			if busy[name] == nil {
				busy[name] = make(chan struct{}, 1)
			}
			select {
			case busy[name] <- struct{}{}:
				wg.Go(func() {
					defer func() { <-busy[name] }()
					d.sendTotals(ctx, name, req)
				})
			default:
			}
		}
	}
}

func (d *Daemon) sendTotals(ctx context.Context, name string, req *control.TotalsRequest) {
	ctx, cancel := context.WithTimeout(ctx, totalsTimeout)
	defer cancel()
	if resp, err := d.clients.Totals(ctx, name, req); err == nil {
		d.ledger.Merge(time.Now(), resp)
	}
}

// otherProcesses returns the names of the other control processes.
func (d *Daemon) otherProcesses() []string {
	v := d.group.View()
	return lo.Without(lo.Uniq(append(append([]string{}, v.Voters...), v.Learners...)), d.settings.Name)
}

// awaitLimitedAccounts waits until the rules in force have an account with an allowance, and returns false if ctx ends before.
// Without one there is nothing to add up.
func (d *Daemon) awaitLimitedAccounts(ctx context.Context) bool {
	for {
		applied := d.group.EntryApplied()
		limited := false
		d.group.ReadReplica(func(s *replica.Replica) { limited = s.LimitsAccounts() })
		if limited {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-applied:
		}
	}
}

// countMembers tells the ledger which nodes are in the directory until ctx ends.
func (d *Daemon) countMembers(ctx context.Context) {
	for d.awaitLimitedAccounts(ctx) && pause.For(ctx, memberInterval) {
		members, err := d.directory.Members(ctx)
		if err != nil {
			continue
		}
		d.ledger.SetMembers(time.Now(), lo.Map(members, func(m *control.Member, _ int) string { return m.GetNode() }))
	}
}
