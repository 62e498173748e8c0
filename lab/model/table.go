package model

import (
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// Options selects and places the experiments of one invocation.
type Options struct {
	Seed      uint64
	OutputDir string
	Tables    []string
	Services  []string
	Parallel  int
}

// Table is a set of runs that belong together.
type Table struct {
	Name        string
	Description string // what the table shows and which target applies
	Runs        []RunConfig
	row         func(RunConfig) string
}

var policies = []Policy{Pollenhill, RoundRobin, LeastOutstanding, TwoChoices, PerfectKnowledge}

// Tables returns the experiments with the given seed.
func Tables(seed uint64) []Table {
	tables := []Table{loads(seed), ages(seed), overload(seed), chains(seed)}
	for _, f := range FaultScenarios()[1:] {
		tables = append(tables, faults(seed, f))
	}
	return tables
}

func loads(seed uint64) Table {
	t := Table{Name: "load", Description: "No fault; load from 50% to 95%."}
	t.row = func(r RunConfig) string { return fmt.Sprintf("%s %.0f%%", r.Deployment.Name, 100*r.OfferedLoad) }
	for _, d := range Deployments() {
		for _, load := range []float64{0.5, 0.65, 0.8, 0.95} {
			t.add(RunConfig{Deployment: d, OfferedLoad: load, Seed: seed})
		}
	}
	return t
}

func ages(seed uint64) Table {
	t := Table{Name: "age", Description: "Straggler at 80% load; reports of load are older by the given time."}
	t.row = func(r RunConfig) string { return fmt.Sprintf("%s %v", r.Deployment.Name, r.ReportDelay) }
	for _, d := range Deployments()[:3] {
		for _, age := range []time.Duration{1, 10, 50, 100, 500} {
			t.add(RunConfig{Deployment: d, OfferedLoad: 0.8, ReportDelay: age * time.Millisecond, Seed: seed, Fault: FaultScenarioNamed("straggler")})
		}
	}
	return t
}

func overload(seed uint64) Table {
	t := Table{Name: "overload", Description: "150% of the capacity offered. Target: goodput at least 0.9 of capacity, amplification at most 1.1."}
	t.row = func(r RunConfig) string { return r.Deployment.Name }
	for _, d := range Deployments() {
		t.add(RunConfig{Deployment: d, OfferedLoad: 1.5, Seed: seed})
	}
	return t
}

// chains overloads one level of a chain of 25 services with two upstreams each.
func chains(seed uint64) Table {
	t := Table{Name: "chain", Description: "Chains 25 deep, 150% of the capacity of one level offered. Target: amplification at most 1.1 at every level."}
	t.row = func(r RunConfig) string { return fmt.Sprintf("level %d", r.BottleneckLevel) }
	d := Deployment{Name: "chain", Zones: 2, Regions: 1, InterZoneLatency: time.Millisecond, Backends: 2, Slots: 12, EntryNodes: 10}
	for _, level := range []int{1, 13, 25} {
		t.Runs = append(t.Runs, RunConfig{Deployment: d, OfferedLoad: 1.5, Seed: seed, ChainDepth: 25, BottleneckLevel: level})
	}
	return t
}

func faults(seed uint64, f FaultScenario) Table {
	load := 0.8
	if f.move {
		load = 0.6 // the load for which the target of zone moves is set
	}
	t := Table{Name: strings.ReplaceAll(f.Name, " ", "-"), Description: fmt.Sprintf("Fault: %s, at %.0f%% load.", f.Name, 100*load)}
	t.row = func(r RunConfig) string { return fmt.Sprintf("%s %.0f%%", r.Deployment.Name, 100*r.OfferedLoad) }
	for _, d := range Deployments() {
		t.add(RunConfig{Deployment: d, OfferedLoad: load, Seed: seed, Fault: f})
	}
	return t
}

// add adds the run under every policy.
func (t *Table) add(run RunConfig) {
	for _, p := range policies {
		run.Policy = p
		t.Runs = append(t.Runs, run)
	}
}

// RunAll runs all experiments of the table, some at once.
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
	_ = g.Wait() // no run returns an error
	return results
}
