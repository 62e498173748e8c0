package model

import (
	"fmt"
	"strings"
)

// Targets of section 1.5 of the design page.
const (
	mostOfLeast   = 0.5 // p99 with a straggler over that of least outstanding
	mostOfBound   = 1.3 // p99 with a straggler over that of the bound
	mostOfSteady  = 2.0 // p99 during a zone move over that before
	mostAttempts  = 1.1 // attempts per call at every level under overload
	leastGoodput  = 0.9 // of capacity under overload
	measuredShare = 0.01
)

// Check is one comparison of a measurement with a target.
type Check struct {
	Case     string
	Target   string
	Measured string
	Met      bool
}

func most(name, target string, value, limit float64) Check {
	return Check{Case: name, Target: fmt.Sprintf("%s at most %g", target, limit), Measured: fmt.Sprintf("%.3f", value), Met: value <= limit}
}

func none(name, target string, n int) Check {
	return Check{Case: name, Target: "no " + target, Measured: fmt.Sprint(n), Met: n == 0}
}

// Checks compares the results of a table with the targets that apply to it.
func (t *Table) Checks(results []*Result) []Check {
	var checks []Check
	for i, run := range t.Runs {
		if run.Policy == Pollenhill {
			checks = append(checks, t.check(run, results[i], t.sameCase(run, results))...)
		}
	}
	return checks
}

// sameCase returns the results of the other policies in the case of a run.
func (t *Table) sameCase(run RunConfig, results []*Result) map[Policy]*Result {
	others := map[Policy]*Result{}
	for i, other := range t.Runs {
		if t.row(other) == t.row(run) {
			others[other.Policy] = results[i]
		}
	}
	return others
}

func (t *Table) check(run RunConfig, r *Result, others map[Policy]*Result) []Check {
	name := t.row(run)
	var checks []Check
	switch t.Name {
	case "straggler":
		p99 := r.Quantile(0.99).Seconds()
		checks = append(checks,
			most(name, "p99 over least outstanding", p99/others[LeastOutstanding].Quantile(0.99).Seconds(), mostOfLeast),
			most(name, "p99 over the bound", p99/others[PerfectKnowledge].Quantile(0.99).Seconds(), mostOfBound))
	case "zone-out-and-back", "zone-back-cold":
		checks = append(checks, moveChecks(name, run, r)...)
	case "overload":
		goodput := float64(r.CallsByEnding[answered]) / r.MeasuredTime.Seconds() / run.Deployment.capacity()
		checks = append(checks, Check{
			Case: name, Target: fmt.Sprintf("goodput over capacity at least %g", leastGoodput),
			Measured: fmt.Sprintf("%.3f", goodput), Met: goodput >= leastGoodput,
		}, most(name, "attempts per call", r.Amplification(), mostAttempts))
	case "chain":
		return []Check{most(name, "attempts per call at every level", r.Amplification(), mostAttempts)}
	}
	budget := measuredShare * float64(run.Deployment.Slots) * 1000
	return append(checks,
		none(name, "request above the cold cap", r.OverColdLimit),
		most(name, "probe ms in one second", r.MaxProbeTime.Seconds()*1000, budget))
}

func moveChecks(name string, run RunConfig, r *Result) []Check {
	checks := []Check{
		most(name, "p99 over steady", r.Quantile(0.99).Seconds()/r.QuantileBeforeFault(0.99).Seconds(), mostOfSteady),
		none(name, "failed idempotent call", r.FailedIdempotentCalls),
		none(name, "request in the zone after 3 s", r.LateStartsInRemovedZone),
	}
	if run.Deployment.remaining() >= run.OfferedLoad {
		checks = append(checks, none(name, "refusal with a free slot", r.NeedlessRefusals))
	}
	return checks
}

// remaining is the share of the upstreams outside the first zone.
func (d Deployment) remaining() float64 {
	n := 0
	for i := range d.Backends {
		if d.place(i).zone != d.place(0).zone {
			n++
		}
	}
	return float64(n) / float64(d.Backends)
}

func (t *Table) targets(results []*Result) string {
	var b strings.Builder
	for _, c := range t.Checks(results) {
		met := "yes"
		if !c.Met {
			met = "**no**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", t.Name, c.Case, c.Target, c.Measured, met)
	}
	return b.String()
}
