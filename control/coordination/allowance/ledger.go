package allowance

import (
	"fmt"
	"sync"
	"time"

	"pollenhill.example/core/protocol/control"
)

// Periods of the accounting.
const (
	// PushInterval is the time between exchanges of sums with each other control process.
	PushInterval = 125 * time.Millisecond
	// AbsentPeriod is how long the share of a node out of touch is left to it. Nodes give it up earlier.
	AbsentPeriod = 120 * time.Second

	admittedPeriod = 5 * time.Second         // since a report for which what it says was admitted counts: a whole window
	demandPeriod   = 1500 * time.Millisecond // since a report for which its demand counts; nodes report each second at least
	movedPeriod    = time.Second             // for which other control processes are told that a node reports here
	leftPeriod     = 2 * time.Second         // in which a node that has announced its end leaves the directory and others are told
	silentPeriod   = 1250 * time.Millisecond // without a report after which a node may be out of touch
	heardPeriod    = time.Second             // since the newest sums of a control process for which nobody relays them
	warmupDuration = 2 * time.Second         // after the start, in which not all nodes have reported and announced themselves
)

// Config names this control process.
type Config struct{ Name string }

// Ledger holds the use of accounts that nodes report to this control process and the sums of the others; it is safe for
// concurrent use.
type Ledger struct {
	process string // name and start: after a restart the sums of the life before count on until they are too old
	started time.Time

	mu     sync.Mutex
	nodes  map[string]*nodeUse  // by node and incarnation
	own    map[uint64]use       // sums over nodes
	others map[string]*totals   // by control process
	seen   map[string]time.Time // nodes of the directory, with the time at which they were last in it
	left   map[string]time.Time // nodes that have announced their end, with when this process was told
	absent int
	swept  time.Time
	quiet  bool // the last sums for the other control processes were empty
}

// use is the use of one account.
type use struct {
	admitted int64
	demand   float64
}

// nodeUse is what one incarnation of a node has reported.
type nodeUse struct {
	name     string
	accounts map[uint64]accountUse
	reports  int
	fullAt   time.Time // of the second report, which names all accounts
	lastAt   time.Time // of the newest report
}

// accountUse is what a node has reported about one account.
type accountUse struct {
	use
	reportedAt time.Time
}

// totals is what another control process knows from its nodes.
type totals struct {
	sentAt   time.Time
	accounts map[uint64]use
	silent   int // nodes whose reports to it have stopped
}

// New returns a Ledger that has no reports.
func New(cfg Config, now time.Time) *Ledger {
	return &Ledger{
		process: fmt.Sprintf("%s/%d", cfg.Name, now.UnixNano()), started: now, nodes: map[string]*nodeUse{}, own: map[uint64]use{}, others: map[string]*totals{},
		seen: map[string]time.Time{}, left: map[string]time.Time{},
	}
}

// Report takes the report of a node and returns the totals of its accounts. Current means that this process is in touch with a
// quorum: others leave the share of nodes that it alone hears.
func (l *Ledger) Report(now time.Time, req *control.UsageRequest, current bool) *control.UsageResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	n := l.node(now, req)
	resp := &control.UsageResponse{
		Current: current && now.Sub(l.started) >= warmupDuration,
		Nodes:   uint32(max(1, len(l.seen))), Absent: uint32(min(l.outOfTouch(now), len(l.seen))),
		Full: n.reports == 1, Age: uint32(now.Sub(l.started).Seconds()),
	}
	for _, u := range req.GetAccounts() {
		l.replace(n, u.GetAccount(), accountUse{use: use{int64(u.GetAdmitted()), float64(u.GetDemand())}, reportedAt: now})
	}
	for _, u := range req.GetAccounts() {
		t := l.total(now, u.GetAccount())
		resp.Accounts = append(resp.Accounts, &control.AccountUse{Account: u.GetAccount(), Admitted: uint32(t.admitted), Demand: float32(t.demand)})
	}
	return resp
}

// node returns the use of a node and counts its report.
func (l *Ledger) node(now time.Time, req *control.UsageRequest) *nodeUse {
	key := nodeKey(req.GetNode(), req.GetIncarnation())
	n := l.nodes[key]
	if n == nil {
		n = &nodeUse{name: req.GetNode(), accounts: map[uint64]accountUse{}}
		l.nodes[key] = n
	}
	n.lastAt = now
	if n.reports++; n.reports == 2 {
		n.fullAt = now
	}
	return n
}

// replace puts the use of an account at a node in place of what it reported before.
func (l *Ledger) replace(n *nodeUse, account uint64, next accountUse) {
	old := n.accounts[account]
	sum := l.own[account]
	l.own[account] = use{sum.admitted - old.admitted + next.admitted, sum.demand - old.demand + next.demand}
	if n.accounts[account] = next; next.reportedAt.IsZero() {
		delete(n.accounts, account)
	}
}

// total returns the use of an account over all nodes.
func (l *Ledger) total(now time.Time, account uint64) use {
	t := l.own[account]
	for _, o := range l.others {
		age := now.Sub(o.sentAt)
		if age < admittedPeriod {
			t.admitted += o.accounts[account].admitted
		}
		if age < demandPeriod {
			t.demand += o.accounts[account].demand
		}
	}
	return use{max(0, t.admitted), max(0, t.demand)}
}

// outOfTouch returns how many nodes may admit requests that no control process knows of. That reports have stopped shows earlier
// than that the node has left the directory.
func (l *Ledger) outOfTouch(now time.Time) int {
	silent := l.silent(now)
	for _, o := range l.others {
		if now.Sub(o.sentAt) < admittedPeriod {
			silent += o.silent
		}
	}
	return max(l.absent, silent)
}

// silent returns how many nodes have stopped to report to this process, without a word and without reporting to another one.
func (l *Ledger) silent(now time.Time) int {
	silent := 0
	for _, n := range l.nodes {
		if _, left := l.left[n.name]; !left && now.Sub(n.lastAt) >= silentPeriod {
			silent++
		}
	}
	return silent
}

// sweep drops reports that are too old to count.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < PushInterval {
		return
	}
	l.swept = now
	for key, n := range l.nodes {
		for account, u := range n.accounts {
			switch age := now.Sub(u.reportedAt); {
			case age >= admittedPeriod:
				l.replace(n, account, accountUse{})
			case age >= demandPeriod && u.demand > 0:
				l.replace(n, account, accountUse{use: use{admitted: u.admitted}, reportedAt: u.reportedAt})
			}
		}
		if len(n.accounts) == 0 {
			delete(l.nodes, key)
		}
	}
	for process, o := range l.others {
		if now.Sub(o.sentAt) >= admittedPeriod {
			delete(l.others, process)
		}
	}
	for account, u := range l.own {
		if u.admitted == 0 && u.demand < 1e-6 {
			delete(l.own, account)
		}
	}
}

// drop forgets the reports of a node that reports elsewhere.
func (l *Ledger) drop(key string) {
	n := l.nodes[key]
	if n == nil {
		return
	}
	for account := range n.accounts {
		l.replace(n, account, accountUse{})
	}
	delete(l.nodes, key)
}

func nodeKey(node string, incarnation uint64) string { return fmt.Sprintf("%s/%d", node, incarnation) }
