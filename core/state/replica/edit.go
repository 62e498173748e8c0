package replica

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"pollenhill.example/core/state/field"
	"pollenhill.example/core/state/routingtable"
	"pollenhill.example/core/state/rule"
)

// Edits is how many accepted changes of the table are remembered for resends; a day at target size has 14,000.
const Edits = 16384

// edit identifies an accepted change of the table.
type edit struct {
	version uint64
	print   uint64 // hash of base, kind and body
}

func printOf(c Command) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(strconv.FormatUint(c.Base, 10) + " " + strconv.FormatBool(c.Patch) + " ")
	_, _ = d.WriteString(c.Text)
	return d.Sum64()
}

// edit changes the table: of two changes on the same version one wins, and a resend gets its acceptance again.
func (r *Replica) edit(index uint64, c Command) Result {
	next, err := r.edited(c)
	if err == nil && r.resent(next.Version, printOf(c)) {
		return Result{Verdict: Accepted}
	}
	if c.Base != r.version {
		return Result{Verdict: Stale, Next: r.version}
	}
	if err != nil {
		return Result{Verdict: Invalid, Problem: err.Error()}
	}
	if next.Version <= r.version {
		return Result{Verdict: Invalid, Problem: fmt.Sprintf("version %d is not above %d", next.Version, r.version)}
	}
	traffic, err := next.TrafficRules()
	if err != nil {
		return Result{Verdict: Invalid, Problem: err.Error()}
	}
	number := r.rules.Number + 1
	text := rule.ReplaceTrafficRules(r.rules.Text, number, credit(next.Version), traffic)
	set, err := rule.Parse(text)
	if err != nil {
		return Result{Verdict: Invalid, Problem: err.Error()}
	}
	r.version = next.Version
	r.edits = append(r.edits, edit{version: next.Version, print: printOf(c)})
	if len(r.edits) > Edits {
		r.edits = r.edits[1:]
	}
	rec := r.accept(index, r.byInterface(c, text, credit(next.Version)))
	r.set.Store(set)
	return Result{Verdict: Accepted, Change: rec}
}

// edited returns the table that c asks for.
func (r *Replica) edited(c Command) (routingtable.Table, error) {
	if !c.Patch {
		return routingtable.Decode([]byte(c.Text))
	}
	p, err := routingtable.DecodePatch([]byte(c.Text))
	if err != nil {
		return routingtable.Table{}, err
	}
	return r.Table().Apply(p), nil
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
	if slices.Contains(r.parsed().EvacuatedZones, c.Name) == c.Out {
		return Result{Verdict: Stored}
	}
	word := "back"
	if c.Out {
		word = "out"
	}
	reason := fmt.Sprintf("operator: zone %s by the change interface", word)
	text := rule.SetZoneEvacuated(r.rules.Text, r.rules.Number+1, reason, c.Name, c.Out)
	if _, err := rule.Parse(text); err != nil {
		return Result{Verdict: Invalid, Problem: err.Error()}
	}
	return Result{Verdict: Accepted, Change: r.accept(index, r.byInterface(c, text, reason))}
}

// byInterface turns a command into the change that puts text in force.
func (r *Replica) byInterface(c Command, text, reason string) Command {
	return Command{Kind: Change, Time: c.Time, Number: r.rules.Number + 1, Text: text, Origin: c.Origin, Reason: reason}
}

func credit(version uint64) string {
	return fmt.Sprintf("operator: version %d by the change interface", version)
}

// Table returns the newest table.
func (r *Replica) Table() routingtable.Table {
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

func (e edit) write(w *field.Writer) {
	w.Uint(1, e.version)
	w.Uint(2, e.print)
}

func (e *edit) read(b []byte) error {
	return field.Read(b, func(f field.Field) error {
		switch f.Number {
		case 1:
			e.version = f.Uint
		case 2:
			e.print = f.Uint
		}
		return nil
	})
}
