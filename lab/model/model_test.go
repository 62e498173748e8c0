package model_test

import (
	"reflect"
	"slices"
	"testing"

	"pollenhill.example/lab/model"
)

// compared are the policies that the targets of the straggler need.
var compared = []model.Policy{model.Pollenhill, model.LeastOutstanding, model.PerfectKnowledge}

// tableNamed returns a table of the default seed with the main service of each deployment; lab model
// runs the others too, which would take minutes under the race detector.
func tableNamed(t *testing.T, name string) model.Table {
	t.Helper()
	for _, table := range model.Tables(model.DefaultSeed) {
		if table.Name != name {
			continue
		}
		var runs []model.RunConfig
		for _, run := range table.Runs {
			if run.ChainDepth > 1 && run.BottleneckLevel != run.ChainDepth {
				continue // the narrow last level is the one that all others could multiply
			}
			needed := run.Policy == model.Pollenhill || name == "straggler" && slices.Contains(compared, run.Policy)
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

// needless is the one target that TestColdZoneReturnsWithoutNeedlessRefusals checks by itself.
const needless = "no refusal with a free slot"

func check(t *testing.T, name string, applies func(model.Check) bool) {
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

func all(model.Check) bool { return true }

// Guards against a miss of the targets of section 1.5 of the design page: the tail with a straggler, the
// service while a zone moves, work above the cold cap, probe time, amplification and goodput.
func TestTargets(t *testing.T) {
	names := []string{"straggler", "silent-restart", "zone-out-and-back", "zone-back-cold", "overload", "chain"}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			check(t, name, func(c model.Check) bool { return name != "zone-back-cold" || c.Target != needless })
		})
	}
}

// Guards against refusals while a back end of a zone that returned cold has a free slot.
func TestColdZoneReturnsWithoutNeedlessRefusals(t *testing.T) {
	check(t, "zone-back-cold", func(c model.Check) bool { return c.Target == needless })
}

// Guards against work above the cold cap for a back end that turns cold without a reset (I2).
func TestSilentColdStaysWithinCap(t *testing.T) {
	check(t, "silent-cold", all)
}

// Guards against figures that another run with the same seed does not give.
func TestRunsRepeat(t *testing.T) {
	run := tableNamed(t, "silent-restart").Runs[0]
	first, second := model.Simulate(run), model.Simulate(run)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs with the same seed differ")
	}
}
