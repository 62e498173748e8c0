package replica_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pollenhill.example/core/state/replica"
)

func tableJSON(version uint64, timeout int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h","path":"/","kind":"unsafe","timeout":%d,"aim":1,"rank":0,"service":"s","tries":1}],"services":[{"name":"s"}]}`, version, timeout)
}

func tableCommand(base, version uint64, timeout int) replica.Command {
	return replica.Command{Kind: replica.CommandChangeTable, BaseVersion: base, Text: tableJSON(version, timeout)}
}

// Guards against two accepted changes based on the same version, a refused resend of an accepted change, and a refused change
// that takes effect. Versions rise in steps of 1 to 5, resends come late and in any order, and restores come in between.
func TestTableChangesByVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := replica.New(replica.Config{})
		version, index := uint64(0), uint64(0)
		var accepted []replica.Command
		apply := func(c replica.Command) replica.Result {
			index++
			return r.Apply(index, c)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := r.Rules()
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				next := version + uint64(rapid.IntRange(1, 5).Draw(t, "step"))
				first, second := tableCommand(version, next, 1+int(next)), tableCommand(version, next, 1000+int(next))
				if got := apply(first).Verdict; got != replica.VerdictAccepted {
					t.Fatalf("version %d based on %d: verdict %s, want accepted", next, version, got)
				}
				if got := apply(second).Verdict; got != replica.VerdictStale {
					t.Fatalf("second change based on %d: verdict %s, want stale", version, got)
				}
				version = next
				accepted = append(accepted, first)
			case 2:
				if len(accepted) == 0 {
					continue
				}
				c := rapid.SampledFrom(accepted).Draw(t, "resend")
				if got := apply(c).Verdict; got != replica.VerdictAccepted || r.Rules() != before {
					t.Fatalf("resend: verdict %s, want accepted; rules %v, want %v", got, r.Rules(), before)
				}
			case 3:
				if got := apply(tableCommand(version, version, 5)).Verdict; got != replica.VerdictInvalid || r.Rules() != before {
					t.Fatalf("version that does not rise: verdict %s, want invalid; rules %v, want %v", got, r.Rules(), before)
				}
			case 4:
				restored, err := replica.Restore(replica.Config{}, r.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				r = restored
			}
			if got := r.RoutingTable().Version; got != version {
				t.Fatalf("table has version %d, want %d", got, version)
			}
		}
	})
}

// Guards against wrong verdicts on patches, resends, invalid tables and zones, and against rules that lack the reason of the
// last change or keep a zone evacuated that was put back.
func TestTableAndZoneVerdicts(t *testing.T) {
	r := replica.New(replica.Config{})
	steps := []struct {
		name string
		cmd  replica.Command
		want replica.Verdict
	}{
		{"first table", tableCommand(0, 2, 10), replica.VerdictAccepted},
		{"patch", replica.Command{Kind: replica.CommandChangeTable, BaseVersion: 2, IsPatch: true, Text: `{"version":3,"drop":{"routes":["r"]}}`}, replica.VerdictAccepted},
		{"resent patch", replica.Command{Kind: replica.CommandChangeTable, BaseVersion: 2, IsPatch: true, Text: `{"version":3,"drop":{"routes":["r"]}}`}, replica.VerdictAccepted},
		{"same bytes as a whole table", replica.Command{Kind: replica.CommandChangeTable, BaseVersion: 2, Text: `{"version":3,"drop":{"routes":["r"]}}`}, replica.VerdictStale},
		{"route to a service that does not exist", replica.Command{Kind: replica.CommandChangeTable, BaseVersion: 3, IsPatch: true, Text: `{"version":4,"set":{"routes":[{"name":"q","host":"h","path":"/","kind":"unsafe","timeout":1,"service":"x"}]}}`}, replica.VerdictInvalid},
		{"not JSON", replica.Command{Kind: replica.CommandChangeTable, BaseVersion: 3, Text: `{`}, replica.VerdictInvalid},
		{"evacuate a zone", replica.Command{Kind: replica.CommandSetZoneEvacuated, Zone: "z 1", Evacuated: true}, replica.VerdictAccepted},
		{"evacuate it again", replica.Command{Kind: replica.CommandSetZoneEvacuated, Zone: "z 1", Evacuated: true}, replica.VerdictStored},
		{"put it back", replica.Command{Kind: replica.CommandSetZoneEvacuated, Zone: "z 1"}, replica.VerdictAccepted},
		{"next table", tableCommand(3, 4, 10), replica.VerdictAccepted},
	}
	for i, s := range steps {
		if got := r.Apply(uint64(i+1), s.cmd); got.Verdict != s.want {
			t.Errorf("%s: verdict %s with problem %q, want verdict %s", s.name, got.Verdict, got.Problem, s.want)
		}
	}
	if text := r.Rules().Text; !strings.Contains(text, "# operator: version 4 by the change interface") || strings.Contains(text, "evacuate") {
		t.Errorf("rules lack the reason of version 4 or evacuate a zone:\n%s", text)
	}
}

// Guards against an order about a zone that is carried out after a newer one, because a control process was stopped or a message
// was held up: a withdrawal from before put a zone back into service that had been evacuated again (EVAC).
func TestOvertakenZoneOrderHasNoEffect(t *testing.T) {
	const zone = "z"
	order := func(evacuate bool, known uint64) replica.Command {
		return replica.Command{Kind: replica.CommandSetZoneEvacuated, Zone: zone, Evacuated: evacuate, Conditional: true, KnownOrder: known}
	}
	steps := []struct {
		name string
		cmd  replica.Command
		want replica.Verdict
	}{
		{"evacuate", order(true, 0), replica.VerdictAccepted},
		{"withdraw, by the other control process", order(false, 1), replica.VerdictAccepted},
		{"evacuate again", order(true, 2), replica.VerdictAccepted},
		{"the withdrawal that was held up", order(false, 1), replica.VerdictStale},
		{"repeated evacuation", order(true, 2), replica.VerdictStored},
		{"evacuation that changes nothing", order(true, 3), replica.VerdictStored},
		{"withdrawal from before that", order(false, 3), replica.VerdictStale},
		{"withdrawal after it", order(false, 6), replica.VerdictAccepted},
		{"evacuation in the rule file", changeCommand(5, "format 1\nchange 5 # t: t\nevacuate z # t: t\n"), replica.VerdictAccepted},
		{"withdrawal from before that change", order(false, 8), replica.VerdictStale},
		{"withdrawal by an older control process", replica.Command{Kind: replica.CommandSetZoneEvacuated, Zone: zone}, replica.VerdictAccepted},
	}
	r := replica.New(replica.Config{})
	for i, s := range steps {
		cmd, err := replica.DecodeCommand(s.cmd.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if got := r.Apply(uint64(i+1), cmd); got.Verdict != s.want {
			t.Errorf("%s: verdict %s with problem %q, want %s", s.name, got.Verdict, got.Problem, s.want)
		}
		if r, err = replica.Restore(replica.Config{}, r.Snapshot()); err != nil {
			t.Fatal(err)
		}
	}
}
