package model

import (
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// Options selects the experiments to run and where to write their results.
type Options struct {
	Seed      uint64
	OutputDir string   // empty for standard output
	Tables    []string // names, all if empty
	Services  []string // names of deployments, all if empty
	Parallel  int      // runs at the same time
}

// Table is a named set of runs that are reported together.
type Table struct {
	Name        string
	Description string // what the table shows and which target applies
	Runs        []RunConfig
	caseName    func(RunConfig) string // the same for runs that differ only in the policy
}

var allPolicies = []Policy{Pollenhill, RoundRobin, LeastOutstanding, TwoChoices, PerfectKnowledge}

// Tables returns all experiments, with the given seed.
func Tables(seed uint64) []Table {
	tables := []Table{loadTable(seed), reportAgeTable(seed), overloadTable(seed), chainTable(seed)}
	for _, f := range FaultScenarios()[1:] {
		tables = append(tables, faultTable(seed, f))
	}
	return tables
}

func loadTable(seed uint64) Table {
	t := Table{Name: "load", Description: "No fault; load from 50% to 95%."}
	t.caseName = func(r RunConfig) string { return fmt.Sprintf("%s %.0f%%", r.Deployment.Name, 100*r.OfferedLoad) }
	for _, d := range Deployments() {
		for _, load := range []float64{0.5, 0.65, 0.8, 0.95} {
			t.addAllPolicies(RunConfig{Deployment: d, OfferedLoad: load, Seed: seed})
		}
	}
	return t
}

func reportAgeTable(seed uint64) Table {
	t := Table{Name: "age", Description: "Straggler at 80% load; reports of load are older by the given time."}
	t.caseName = func(r RunConfig) string { return fmt.Sprintf("%s %v", r.Deployment.Name, r.ReportDelay) }
	for _, d := range Deployments()[:3] {
		for _, age := range []time.Duration{1, 10, 50, 100, 500} {
			t.addAllPolicies(RunConfig{Deployment: d, OfferedLoad: 0.8, ReportDelay: age * time.Millisecond, Seed: seed, Fault: FaultScenarioNamed("straggler")})
		}
	}
	return t
}

func overloadTable(seed uint64) Table {
	t := Table{Name: "overload", Description: "150% of the capacity offered. Target: goodput at least 0.9 of capacity, amplification at most 1.1."}
	t.caseName = func(r RunConfig) string { return r.Deployment.Name }
	for _, d := range Deployments() {
		t.addAllPolicies(RunConfig{Deployment: d, OfferedLoad: 1.5, Seed: seed})
	}
	return t
}

// chainTable overloads one level of a chain of 25 services with two back ends each.
func chainTable(seed uint64) Table {
	t := Table{Name: "chain", Description: "Chains 25 deep, 150% of the capacity of one level offered. Target: amplification at most 1.1 at every level."}
	t.caseName = func(r RunConfig) string { return fmt.Sprintf("level %d", r.BottleneckLevel) }
	d := Deployment{Name: "chain", Zones: 2, Regions: 1, InterZoneLatency: time.Millisecond, Backends: 2, Slots: 12, EntryNodes: 10}
	for _, level := range []int{1, 13, 25} {
		t.Runs = append(t.Runs, RunConfig{Deployment: d, OfferedLoad: 1.5, Seed: seed, ChainDepth: 25, BottleneckLevel: level})
	}
	return t
}

func faultTable(seed uint64, f FaultScenario) Table {
	load := 0.8
	if f.movesZone {
		load = 0.6 // the target for zone moves is set for this load
	}
	t := Table{Name: strings.ReplaceAll(f.Name, " ", "-"), Description: fmt.Sprintf("Fault: %s, at %.0f%% load.", f.Name, 100*load)}
	t.caseName = func(r RunConfig) string { return fmt.Sprintf("%s %.0f%%", r.Deployment.Name, 100*r.OfferedLoad) }
	for _, d := range Deployments() {
		t.addAllPolicies(RunConfig{Deployment: d, OfferedLoad: load, Seed: seed, Fault: f})
	}
	return t
}

// addAllPolicies adds one run for each policy.
func (t *Table) addAllPolicies(run RunConfig) {
	for _, p := range allPolicies {
		run.Policy = p
		t.Runs = append(t.Runs, run)
	}
}

// RunAll runs all simulations of the table, up to parallel of them at the same time, and returns their results in order.
func (t *Table) RunAll(parallel int) []*Result {
	results := make([]*Result, len(t.Runs))
	var g errgroup.Group
	g.SetLimit(max(1, parallel))
	for i, run := range t.Runs {
		g.Go(func() error {
			results[i] = Simulate(run)
			return nil
		})
	}
	_ = g.Wait() // the functions above return no errors
	return results
}
