package model_test

import (
	"reflect"
	"slices"
	"testing"

	"pollenhill.example/lab/model"
)

// comparedPolicies are the policies that the straggler targets compare.
var comparedPolicies = []model.Policy{model.Pollenhill, model.LeastOutstanding, model.PerfectKnowledge}

// tableNamed returns a table of the default seed, reduced to the booking and desk deployments and to the last level of the
// chains; lab model runs the others too, which would take minutes under the race detector.
func tableNamed(t *testing.T, name string) model.Table {
	t.Helper()
	for _, table := range model.Tables(model.DefaultSeed) {
		if table.Name != name {
			continue
		}
		var runs []model.RunConfig
		for _, run := range table.Runs {
			if run.ChainDepth > 1 && run.BottleneckLevel != run.ChainDepth {
				continue // retries of all other levels can multiply only if the last level is the bottleneck
			}
			needed := run.Policy == model.Pollenhill || name == "straggler" && slices.Contains(comparedPolicies, run.Policy)
			if needed && slices.Contains([]string{"booking", "desk", "chain"}, run.Deployment.Name) {
				runs = append(runs, run)
			}
		}
		table.Runs = runs
		return table
	}
	t.Fatalf("no table %q", name)
	return model.Table{}
}

// needlessRefusalTarget is the target that only TestColdZoneReturnsWithoutNeedlessRefusals checks.
const needlessRefusalTarget = "no refusal with a free slot"

func checkTargets(t *testing.T, name string, applies func(model.Check) bool) {
	t.Helper()
	table := tableNamed(t, name)
	checks := table.Checks(table.RunAll(4))
	if len(checks) == 0 {
		t.Fatal("no target applies")
	}
	for _, c := range checks {
		if applies(c) && !c.Met {
			t.Errorf("%s, %s: %s, measured %s", name, c.Case, c.Target, c.Measured)
		}
	}
}

func allTargets(model.Check) bool { return true }

// Guards against a miss of the targets in section 1.5 of the design page: tail latency with a straggler, latency and
// failures during a zone move, requests above the limit of a cold start, probe time, amplification and goodput.
func TestTargets(t *testing.T) {
	names := []string{"straggler", "silent-restart", "zone-out-and-back", "zone-back-cold", "overload", "chain"}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkTargets(t, name, func(c model.Check) bool { return name != "zone-back-cold" || c.Target != needlessRefusalTarget })
		})
	}
}

// Guards against refusals while a back end has a free slot, after a zone returned to service in cold start.
func TestColdZoneReturnsWithoutNeedlessRefusals(t *testing.T) {
	checkTargets(t, "zone-back-cold", func(c model.Check) bool { return c.Target == needlessRefusalTarget })
}

// Guards against requests above the limit of a cold start that begins without a reset or an announcement (I2).
func TestSilentColdStaysWithinCap(t *testing.T) {
	checkTargets(t, "silent-cold", allTargets)
}

// Guards against results that depend on anything but the seed, such as the iteration order of a map.
func TestRunsRepeat(t *testing.T) {
	run := tableNamed(t, "silent-restart").Runs[0]
	first, second := model.Simulate(run), model.Simulate(run)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs with the same seed differ")
	}
}
