package allowance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	control "pollenhill.example/control/coordination/allowance"
	messages "pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
	node "pollenhill.example/node/coordination/allowance"
)

// step is the time between two moments of a simulated fleet.
const step = 10 * time.Millisecond

// fleet simulates nodes with Limiters, control processes with Ledgers and the messages between them in virtual time.
type fleet struct {
	rng      *rand.Rand
	now      time.Time
	nodes    []*simNode
	controls []*simControl
	accounts []rule.Account
	demand   []float64 // requests per second of each account
	loss     float64   // share of messages that are lost
	admitted [][]int   // by account and step
	refused  [][]int
}

type simNode struct {
	limiter      *node.Limiter
	name         string
	incarnation  uint64
	server       int
	failedSince  time.Time
	nextReport   time.Time
	lastReport   time.Time
	lastAnnounce time.Time
	soon         bool
	cut          bool      // reaches no control process
	stopped      time.Time // serves nobody before
}

type simControl struct {
	ledger   *control.Ledger
	nextPush time.Time
	stopped  time.Time // answers nobody before
	isolated bool      // reaches no other control process
}

func newFleet(seed uint64, nodes, controls int, accounts []rule.Account) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), accounts: accounts,
		demand: make([]float64, len(accounts)), admitted: make([][]int, len(accounts)), refused: make([][]int, len(accounts)),
	}
	for i := range controls {
		c := &simControl{}
		f.controls = append(f.controls, c)
		f.restartControl(i)
	}
	for i := range nodes {
		f.nodes = append(f.nodes, &simNode{name: fmt.Sprintf("node-%d", i), server: i % controls})
		f.restartNode(i)
	}
	return f
}

func (f *fleet) restartNode(i int) {
	n := f.nodes[i]
	n.incarnation++
	n.limiter = node.New(node.Config{Node: n.name, Incarnation: n.incarnation, Slack: slack}, f.now)
	n.limiter.SetAccounts(f.accounts)
	n.limiter.SetNodes(len(f.nodes))
	n.nextReport = f.now.Add(time.Duration(f.rng.Int64N(int64(node.ReportInterval))))
}

func (f *fleet) restartControl(i int) {
	f.controls[i].ledger = control.New(control.Config{Name: fmt.Sprintf("control-%d", i)}, f.now)
	f.controls[i].nextPush = f.now.Add(time.Duration(f.rng.Int64N(int64(control.PushInterval))))
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for range int(d / step) {
		f.now = f.now.Add(step)
		f.tickControls()
		for _, n := range f.nodes {
			f.tickNode(n)
		}
		for a := range f.accounts {
			f.sendRequests(a)
		}
	}
}

func (f *fleet) sendRequests(account int) {
	admitted, refused := 0, 0
	for range f.poisson(f.demand[account] * step.Seconds()) {
		n := f.nodes[f.rng.IntN(len(f.nodes))]
		if f.now.Before(n.stopped) {
			continue
		}
		d := n.limiter.Admit(f.now, f.accounts[account].Name)
		n.soon = n.soon || d.ReportSoon
		if d.Admitted {
			admitted++
		} else {
			refused++
		}
	}
	f.admitted[account] = append(f.admitted[account], admitted)
	f.refused[account] = append(f.refused[account], refused)
}

func (f *fleet) poisson(mean float64) int {
	n := 0
	for p := f.rng.Float64(); p > math.Exp(-mean); p *= f.rng.Float64() {
		n++
	}
	return n
}

func (f *fleet) lost() bool { return f.rng.Float64() < f.loss }

// tickNode reports if it is time, and moves on to another control process after failures, as the failover of nodes does.
func (f *fleet) tickNode(n *simNode) {
	if f.now.Before(n.stopped) {
		return
	}
	if !n.cut && f.now.Sub(n.lastAnnounce) >= time.Second {
		n.lastAnnounce = f.now
	}
	if f.now.Before(n.nextReport) && !(n.soon && f.now.Sub(n.lastReport) >= node.MinReportInterval) {
		return
	}
	n.lastReport, n.nextReport, n.soon = f.now, f.now.Add(node.ReportInterval), false
	req := n.limiter.Report(f.now)
	if req == nil {
		return
	}
	if resp := f.deliverReport(n, req); resp != nil {
		n.failedSince = time.Time{}
		n.limiter.Apply(resp)
		return
	}
	n.limiter.Failed()
	if n.failedSince.IsZero() {
		n.failedSince = f.now
	} else if f.now.Sub(n.failedSince) >= 600*time.Millisecond {
		n.server, n.failedSince = f.rng.IntN(len(f.controls)), f.now
	}
}

func (f *fleet) deliverReport(n *simNode, req *messages.UsageRequest) *messages.UsageResponse {
	c := f.controls[n.server]
	if n.cut || f.now.Before(c.stopped) || f.lost() {
		return nil
	}
	resp := c.ledger.Report(f.now, req, f.current(c))
	if f.lost() || !resp.GetCurrent() {
		return nil
	}
	return resp
}

// current reports whether a control process reaches more than half of all.
func (f *fleet) current(c *simControl) bool {
	reached := 0
	for _, o := range f.controls {
		if o == c || f.connected(c, o) {
			reached++
		}
	}
	return 2*reached > len(f.controls)
}

func (f *fleet) connected(a, b *simControl) bool {
	return !a.isolated && !b.isolated && !f.now.Before(a.stopped) && !f.now.Before(b.stopped)
}

func (f *fleet) tickControls() {
	var members []string
	for _, n := range f.nodes {
		if f.now.Sub(n.lastAnnounce) < 3*time.Second {
			members = append(members, n.name)
		}
	}
	for _, c := range f.controls {
		if f.now.Before(c.stopped) || f.now.Before(c.nextPush) {
			continue
		}
		c.nextPush = f.now.Add(control.PushInterval)
		if f.current(c) {
			c.ledger.SetMembers(f.now, members)
		}
		f.push(c)
	}
}

func (f *fleet) push(c *simControl) {
	req := c.ledger.Outgoing(f.now)
	for _, o := range f.controls {
		if req == nil || o == c || !f.connected(c, o) || f.lost() {
			continue
		}
		if resp := o.ledger.Receive(f.now, req); !f.lost() {
			c.ledger.Merge(f.now, resp)
		}
	}
}

// total returns the requests of an account that were counted in the steps of a span that ends now.
func (f *fleet) total(steps [][]int, account int, span time.Duration) int {
	list := steps[account]
	n := 0
	for _, k := range list[max(0, len(list)-int(span/step)):] {
		n += k
	}
	return n
}

// mostInWindow returns the most requests of an account that were admitted in any window.
func (f *fleet) mostInWindow(account int) int {
	most, sum, list := 0, 0, f.admitted[account]
	for i, k := range list {
		sum += k
		if old := i - int(node.Window/step); old >= 0 {
			sum -= list[old]
		}
		most = max(most, sum)
	}
	return most
}

// Tolerances of the platform in any window.
const (
	overage = 0.1
	slack   = 20
)

// bound is what the platform tolerates of an account in any window.
func bound(a rule.Account) float64 {
	return (a.Rate*node.Window.Seconds()+a.Burst)*(1+overage) + slack
}
