package model

import (
	"fmt"
	"strings"
)

// Targets of section 1.5 of the design page.
const (
	maxP99OverLeastOutstanding = 0.5  // p99 with a straggler over that of LeastOutstanding
	maxP99OverPerfectKnowledge = 1.3  // p99 with a straggler over that of PerfectKnowledge
	maxP99OverSteady           = 2.0  // p99 during a zone move over that before it
	maxAttemptsPerCall         = 1.1  // attempts per call at every level under overload
	minGoodputOverCapacity     = 0.9  // under overload
	maxProbeShare              = 0.01 // probe time over slot time
)

// Check is the comparison of one measured value with its target.
type Check struct {
	Case     string
	Target   string
	Measured string
	Met      bool
}

func checkAtMost(name, target string, value, limit float64) Check {
	return Check{Case: name, Target: fmt.Sprintf("%s at most %g", target, limit), Measured: fmt.Sprintf("%.3f", value), Met: value <= limit}
}

func checkZero(name, target string, n int) Check {
	return Check{Case: name, Target: "no " + target, Measured: fmt.Sprint(n), Met: n == 0}
}

// Checks compares the results of a table with the targets that apply to it.
func (t *Table) Checks(results []*Result) []Check {
	var checks []Check
	for i, run := range t.Runs {
		if run.Policy == Pollenhill {
			checks = append(checks, t.checkRun(run, results[i], t.resultsByPolicy(run, results))...)
		}
	}
	return checks
}

// resultsByPolicy returns the results of all policies in the same case as run.
func (t *Table) resultsByPolicy(run RunConfig, results []*Result) map[Policy]*Result {
	others := map[Policy]*Result{}
	for i, other := range t.Runs {
		if t.caseName(other) == t.caseName(run) {
			others[other.Policy] = results[i]
		}
	}
	return others
}

func (t *Table) checkRun(run RunConfig, r *Result, others map[Policy]*Result) []Check {
	name := t.caseName(run)
	var checks []Check
	switch t.Name {
	case "straggler":
		p99 := r.Quantile(0.99).Seconds()
		checks = append(checks,
			checkAtMost(name, "p99 over least outstanding", p99/others[LeastOutstanding].Quantile(0.99).Seconds(), maxP99OverLeastOutstanding),
			checkAtMost(name, "p99 over the bound", p99/others[PerfectKnowledge].Quantile(0.99).Seconds(), maxP99OverPerfectKnowledge))
	case "zone-out-and-back", "zone-back-cold":
		checks = append(checks, zoneMoveChecks(name, run, r)...)
	case "overload":
		goodput := float64(r.CallsByEnding[answered]) / r.MeasuredTime.Seconds() / run.Deployment.capacity()
		checks = append(checks, Check{
			Case: name, Target: fmt.Sprintf("goodput over capacity at least %g", minGoodputOverCapacity),
			Measured: fmt.Sprintf("%.3f", goodput), Met: goodput >= minGoodputOverCapacity,
		}, checkAtMost(name, "attempts per call", r.Amplification(), maxAttemptsPerCall))
	case "chain":
		return []Check{checkAtMost(name, "attempts per call at every level", r.Amplification(), maxAttemptsPerCall)}
	}
	probeBudgetMillis := maxProbeShare * float64(run.Deployment.Slots) * 1000
	return append(checks,
		checkZero(name, "request above the cold cap", r.OverColdLimit),
		checkAtMost(name, "probe ms in one second", r.MaxProbeTime.Seconds()*1000, probeBudgetMillis))
}

func zoneMoveChecks(name string, run RunConfig, r *Result) []Check {
	checks := []Check{
		checkAtMost(name, "p99 over steady", r.Quantile(0.99).Seconds()/r.QuantileBeforeFault(0.99).Seconds(), maxP99OverSteady),
		checkZero(name, "failed idempotent call", r.FailedIdempotentCalls),
		checkZero(name, "request in the zone after 3 s", r.LateStartsInRemovedZone),
	}
	if run.Deployment.shareOutsideFirstZone() >= run.OfferedLoad {
		checks = append(checks, checkZero(name, "refusal with a free slot", r.NeedlessRefusals))
	}
	return checks
}

// shareOutsideFirstZone returns the fraction of the back ends that are not in the first zone.
func (d Deployment) shareOutsideFirstZone() float64 {
	n := 0
	for i := range d.Backends {
		if d.location(i).zone != d.location(0).zone {
			n++
		}
	}
	return float64(n) / float64(d.Backends)
}

// targetRows returns the checks as rows of a Markdown table.
func (t *Table) targetRows(results []*Result) string {
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
