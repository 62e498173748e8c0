package replica

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"pollenhill.example/core/state/protofield"
	"pollenhill.example/core/state/routingtable"
	"pollenhill.example/core/state/rule"
)

// MaxTableChanges is how many accepted changes of the table are remembered for resends; a day at target size has 14,000.
const MaxTableChanges = 16384

// edit identifies an accepted change of the table.
type edit struct {
	version uint64
	print   uint64 // hash of base, kind and body
}

func printOf(c Command) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(strconv.FormatUint(c.BaseVersion, 10) + " " + strconv.FormatBool(c.IsPatch) + " ")
	_, _ = d.WriteString(c.Text)
	return d.Sum64()
}

// edit changes the table: of two changes on the same version one wins, and a resend gets its acceptance again.
func (r *Replica) edit(index uint64, c Command) Result {
	next, err := r.edited(c)
	if err == nil && r.resent(next.Version, printOf(c)) {
		return Result{Verdict: VerdictAccepted}
	}
	if c.BaseVersion != r.version {
		return Result{Verdict: VerdictStale, Expected: r.version}
	}
	if err != nil {
		return Result{Verdict: VerdictInvalid, Problem: err.Error()}
	}
	if next.Version <= r.version {
		return Result{Verdict: VerdictInvalid, Problem: fmt.Sprintf("version %d is not above %d", next.Version, r.version)}
	}
	traffic, err := next.TrafficRules()
	if err != nil {
		return Result{Verdict: VerdictInvalid, Problem: err.Error()}
	}
	number := r.rules.ChangeNumber + 1
	text := rule.ReplaceTrafficRules(r.rules.Text, number, credit(next.Version), traffic)
	set, err := rule.Parse(text)
	if err != nil {
		return Result{Verdict: VerdictInvalid, Problem: err.Error()}
	}
	r.version = next.Version
	r.edits = append(r.edits, edit{version: next.Version, print: printOf(c)})
	if len(r.edits) > MaxTableChanges {
		r.edits = r.edits[1:]
	}
	rec := r.accept(index, r.byInterface(c, text, credit(next.Version)))
	r.set.Store(set)
	return Result{Verdict: VerdictAccepted, Change: rec}
}

// edited returns the table that c asks for.
func (r *Replica) edited(c Command) (routingtable.Table, error) {
	if !c.IsPatch {
		return routingtable.Decode([]byte(c.Text))
	}
	p, err := routingtable.DecodePatch([]byte(c.Text))
	if err != nil {
		return routingtable.Table{}, err
	}
	return r.RoutingTable().Apply(p), nil
}

func (r *Replica) resent(version, hash uint64) bool {
	at, ok := slices.BinarySearchFunc(r.edits, version, func(e edit, v uint64) int {
		switch {
		case e.version < v:
			return -1
		case e.version > v:
			return 1
		}
		return 0
	})
	return ok && r.edits[at].print == hash
}

// zone takes a zone out or back; an order that is in force already changes nothing.
func (r *Replica) zone(index uint64, c Command) Result {
	if slices.Contains(r.parsed().EvacuatedZones, c.Zone) == c.Evacuated {
		return Result{Verdict: VerdictStored}
	}
	word := "back"
	if c.Evacuated {
		word = "out"
	}
	reason := fmt.Sprintf("operator: zone %s by the change interface", word)
	text := rule.SetZoneEvacuated(r.rules.Text, r.rules.ChangeNumber+1, reason, c.Zone, c.Evacuated)
	if _, err := rule.Parse(text); err != nil {
		return Result{Verdict: VerdictInvalid, Problem: err.Error()}
	}
	return Result{Verdict: VerdictAccepted, Change: r.accept(index, r.byInterface(c, text, reason))}
}

// byInterface turns a command into the change that puts text in force.
func (r *Replica) byInterface(c Command, text, reason string) Command {
	return Command{Kind: CommandChangeRules, ProposedAt: c.ProposedAt, ChangeNumber: r.rules.ChangeNumber + 1, Text: text, Origin: c.Origin, Reason: reason}
}

func credit(version uint64) string {
	return fmt.Sprintf("operator: version %d by the change interface", version)
}

// RoutingTable returns the newest table.
func (r *Replica) RoutingTable() routingtable.Table {
	return routingtable.FromRules(r.version, r.parsed())
}

// parsed returns the compiled rules; before the first change there are none.
func (r *Replica) parsed() *rule.Set {
	if set := r.set.Load(); set != nil {
		return set
	}
	set, err := rule.Parse(r.rules.Text)
	if err != nil {
		// Every accepted text was parsed before; only the empty one is left.
		set = &rule.Set{}
	}
	r.set.Store(set)
	return set
}

func (e edit) write(w *protofield.Writer) {
	w.Uint(1, e.version)
	w.Uint(2, e.print)
}

func (e *edit) read(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			e.version = f.Uint
		case 2:
			e.print = f.Uint
		}
		return nil
	})
}
