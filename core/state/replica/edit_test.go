package replica_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pollenhill.example/core/state/replica"
)

func tableOf(version uint64, timeout int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h","path":"/","kind":"unsafe","timeout":%d,"aim":1,"rank":0,"service":"s","tries":1}],"services":[{"name":"s"}]}`, version, timeout)
}

func editOf(base, version uint64, timeout int) replica.Command {
	return replica.Command{Kind: replica.CommandChangeTable, BaseVersion: base, Text: tableOf(version, timeout)}
}

// Guards against two winners of a race, a resend that is refused, and a change that comes into force although it was
// refused: versions rise in uneven steps, and resends come late and in any order.
func TestEditsByVersion(t *testing.T) {
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
				one, two := editOf(version, next, 1+int(next)), editOf(version, next, 1000+int(next))
				if got := apply(one).Verdict; got != replica.VerdictAccepted {
					t.Fatalf("version %d on %d: %s", next, version, got)
				}
				if got := apply(two).Verdict; got != replica.VerdictStale {
					t.Fatalf("second change on %d: %s", version, got)
				}
				version = next
				accepted = append(accepted, one)
			case 2:
				if len(accepted) == 0 {
					continue
				}
				c := rapid.SampledFrom(accepted).Draw(t, "resend")
				if got := apply(c).Verdict; got != replica.VerdictAccepted || r.Rules() != before {
					t.Fatalf("resend: %s, rules %v", got, r.Rules())
				}
			case 3:
				if got := apply(editOf(version, version, 5)).Verdict; got != replica.VerdictInvalid || r.Rules() != before {
					t.Fatalf("version that does not rise: %s", got)
				}
			case 4:
				restored, err := replica.Restore(replica.Config{}, r.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				r = restored
			}
			if got := r.RoutingTable().Version; got != version {
				t.Fatalf("version %d, want %d", got, version)
			}
		}
	})
}

// Guards against an invalid or partial change that is mixed up with the state of another version.
func TestPatchAndRefusals(t *testing.T) {
	r := replica.New(replica.Config{})
	steps := []struct {
		name string
		cmd  replica.Command
		want replica.Verdict
	}{
		{"first", editOf(0, 2, 10), replica.VerdictAccepted},
		{"partial", replica.Command{Kind: replica.CommandChangeTable, BaseVersion: 2, IsPatch: true, Text: `{"version":3,"drop":{"routes":["r"]}}`}, replica.VerdictAccepted},
		{"partial again", replica.Command{Kind: replica.CommandChangeTable, BaseVersion: 2, IsPatch: true, Text: `{"version":3,"drop":{"routes":["r"]}}`}, replica.VerdictAccepted},
		{"the same bytes as a whole table", replica.Command{Kind: replica.CommandChangeTable, BaseVersion: 2, Text: `{"version":3,"drop":{"routes":["r"]}}`}, replica.VerdictStale},
		{"service in use dropped", replica.Command{Kind: replica.CommandChangeTable, BaseVersion: 3, IsPatch: true, Text: `{"version":4,"set":{"routes":[{"name":"q","host":"h","path":"/","kind":"unsafe","timeout":1,"service":"x"}]}}`}, replica.VerdictInvalid},
		{"not JSON", replica.Command{Kind: replica.CommandChangeTable, BaseVersion: 3, Text: `{`}, replica.VerdictInvalid},
		{"zone out", replica.Command{Kind: replica.CommandSetZoneEvacuated, Zone: "z 1", Evacuated: true}, replica.VerdictAccepted},
		{"zone out again", replica.Command{Kind: replica.CommandSetZoneEvacuated, Zone: "z 1", Evacuated: true}, replica.VerdictStored},
		{"zone back", replica.Command{Kind: replica.CommandSetZoneEvacuated, Zone: "z 1"}, replica.VerdictAccepted},
		{"next", editOf(3, 4, 10), replica.VerdictAccepted},
	}
	for i, s := range steps {
		if got := r.Apply(uint64(i+1), s.cmd); got.Verdict != s.want {
			t.Errorf("%s: %s %s, want %s", s.name, got.Verdict, got.Problem, s.want)
		}
	}
	if text := r.Rules().Text; !strings.Contains(text, "# operator: version 4 by the change interface") || strings.Contains(text, "evacuate") {
		t.Errorf("rules\n%s", text)
	}
}
