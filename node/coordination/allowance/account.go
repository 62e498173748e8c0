package allowance

import (
	"math"
	"time"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
)

// account is the state of one limited account.
type account struct {
	hash        uint64
	phase       float64 // in [0, 1), different at each node and account, so that nodes do not round alike
	rate        float64
	burst       float64
	asked       window
	admitted    window
	total       int64   // admitted since the start
	accumulated float64 // fraction of a request that may be admitted next
	lastAsked   time.Time
	reportedAt  time.Time
	lastDemand  float32 // as reported
	totals      totals
}

// totals is the use of an account over all nodes, as a control process answered a report.
type totals struct {
	reportedAt  time.Time // when the report was made
	base        int64     // admitted here since the start, when the report was made
	ownDemand   float64   // of this node in the report, requests per second
	ownAdmitted float64   // of this node in the report, in the window
	admitted    float64   // in the window
	demand      float64   // requests per second
}

func newAccount(node, name string) *account {
	phase := float64(rule.Hash(node+"/"+name)) / math.MaxUint64 * (1 - 1e-9) // float64 rounds the largest hashes up to 1
	return &account{hash: rule.Hash(name), phase: phase, accumulated: phase}
}

// allowance returns the requests that all nodes together may admit in a Window.
func (a *account) allowance() float64 { return a.rate*Window.Seconds() + a.burst }

func (a *account) tracked(now time.Time) bool {
	return !a.lastAsked.IsZero() && now.Sub(a.lastAsked) < trackPeriod
}

// report returns what to report and whether it is due: there were requests since the last report, the demand has changed, the
// account is near its allowance, or the last report is old.
func (a *account) report(now time.Time, slot int64, full bool) (*control.AccountUse, bool) {
	if !a.tracked(now) {
		return nil, false
	}
	a.asked.advance(slot)
	a.admitted.advance(slot)
	demand := float32(a.asked.sum(demandSlots)) / float32(demandPeriod.Seconds())
	unchanged := !a.lastAsked.After(a.reportedAt) && demand == a.lastDemand
	if unchanged && !full && !a.nearAllowance() && now.Sub(a.reportedAt) < refreshInterval {
		return nil, false
	}
	a.reportedAt, a.lastDemand = now, demand
	return &control.AccountUse{Account: a.hash, Admitted: a.admitted.sum(windowSlots), Demand: demand}, true
}

// nearAllowance reports whether the totals are so near the allowance that they must be newer than usual.
func (a *account) nearAllowance() bool {
	return a.totals.admitted+a.totals.demand*Window.Seconds()/2 > a.allowance()
}
