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

// MaxTableChanges is the number of accepted changes of the routing table that are remembered for resends; a day at the target
// size has 14,000.
const MaxTableChanges = 16384

// tableChange identifies an accepted change of the routing table.
type tableChange struct {
	version     uint64 // of the table after the change
	fingerprint uint64 // see tableChangeFingerprint
}

// tableChangeFingerprint returns the hash of base version, IsPatch and text.
func tableChangeFingerprint(c Command) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(strconv.FormatUint(c.BaseVersion, 10) + " " + strconv.FormatBool(c.IsPatch) + " ")
	_, _ = hash.WriteString(c.Text)
	return hash.Sum64()
}

// changeTable replaces the routing table if the change is based on the current version: of two changes based on the same
// version one is accepted. A resend of an accepted change is accepted again without effect.
func (r *Replica) changeTable(index uint64, c Command) Result {
	next, err := r.requestedTable(c)
	if err == nil && r.isAcceptedTableChange(next.Version, tableChangeFingerprint(c)) {
		return Result{Verdict: VerdictAccepted}
	}
	if c.BaseVersion != r.tableVersion {
		return Result{Verdict: VerdictStale, Expected: r.tableVersion}
	}
	if err != nil {
		return Result{Verdict: VerdictInvalid, Problem: err.Error()}
	}
	if next.Version <= r.tableVersion {
		return Result{Verdict: VerdictInvalid, Problem: fmt.Sprintf("version %d is not above %d", next.Version, r.tableVersion)}
	}
	traffic, err := trafficRules(next, c.RoundTimes)
	if err != nil {
		return Result{Verdict: VerdictInvalid, Problem: err.Error()}
	}
	number := r.rules.ChangeNumber + 1
	text := rule.ReplaceTrafficRules(r.rules.Text, number, tableChangeReason(next.Version), traffic)
	set, err := rule.Parse(text)
	if err != nil {
		return Result{Verdict: VerdictInvalid, Problem: err.Error()}
	}
	r.tableVersion = next.Version
	r.tableChanges = append(r.tableChanges, tableChange{version: next.Version, fingerprint: tableChangeFingerprint(c)})
	if len(r.tableChanges) > MaxTableChanges {
		r.tableChanges = r.tableChanges[1:]
	}
	change := r.acceptRules(index, r.ruleChangeFor(c, text, tableChangeReason(next.Version)))
	r.parsedRules.Store(set)
	return Result{Verdict: VerdictAccepted, Change: change}
}

// requestedTable returns the table in c, or the current one with the patch in c applied.
func (r *Replica) requestedTable(c Command) (routingtable.Table, error) {
	if !c.IsPatch {
		return routingtable.Decode([]byte(c.Text))
	}
	patch, err := routingtable.DecodePatch([]byte(c.Text))
	if err != nil {
		return routingtable.Table{}, err
	}
	current := routingtable.FromRulesCutOff
	if c.RoundTimes {
		current = routingtable.FromRules
	}
	return current(r.tableVersion, r.ruleSet()).Apply(patch), nil
}

func trafficRules(t routingtable.Table, roundTimes bool) (rule.TrafficRules, error) {
	if roundTimes {
		return t.TrafficRules()
	}
	return t.TrafficRulesCutOff()
}

// isAcceptedTableChange reports whether the change with that version and fingerprint was accepted before. Versions only rise,
// so tableChanges is sorted by them.
func (r *Replica) isAcceptedTableChange(version, fingerprint uint64) bool {
	i, ok := slices.BinarySearchFunc(r.tableChanges, version, func(change tableChange, v uint64) int {
		switch {
		case change.version < v:
			return -1
		case change.version > v:
			return 1
		}
		return 0
	})
	return ok && r.tableChanges[i].fingerprint == fingerprint
}

// setZoneEvacuated evacuates a zone or puts it back into service. If the zone is in that state already, it changes nothing. An
// order that a newer one has overtaken, because a control process or a message was held up, has no effect.
func (r *Replica) setZoneEvacuated(index uint64, c Command) Result {
	inState := slices.Contains(r.ruleSet().EvacuatedZones, c.Zone) == c.Evacuated
	newest := r.ZoneOrder(c.Zone)
	if c.Conditional && c.KnownOrder != newest {
		if inState {
			return Result{Verdict: VerdictStored}
		}
		return Result{Verdict: VerdictStale, Expected: newest}
	}
	r.recordZoneOrder(index, c.Zone)
	if inState {
		return Result{Verdict: VerdictStored}
	}
	direction := "back"
	if c.Evacuated {
		direction = "out"
	}
	reason := fmt.Sprintf("operator: zone %s by the change interface", direction)
	text := rule.SetZoneEvacuated(r.rules.Text, r.rules.ChangeNumber+1, reason, c.Zone, c.Evacuated)
	if _, err := rule.Parse(text); err != nil {
		return Result{Verdict: VerdictInvalid, Problem: err.Error()}
	}
	return Result{Verdict: VerdictAccepted, Change: r.acceptRules(index, r.ruleChangeFor(c, text, reason))}
}

// ruleChangeFor returns the change of the rule file that carries out c, a command of the admin API.
func (r *Replica) ruleChangeFor(c Command, text, reason string) Command {
	return Command{
		Kind: CommandChangeRules, ProposedAt: c.ProposedAt, ChangeNumber: r.rules.ChangeNumber + 1,
		Text: text, Origin: c.Origin, Reason: reason,
	}
}

// tableChangeReason returns the comment of the lines that a table change writes into the rule file.
func tableChangeReason(version uint64) string {
	return fmt.Sprintf("operator: version %d by the change interface", version)
}

// RoutingTable returns the current routing table, which is derived from the rules in force.
func (r *Replica) RoutingTable() routingtable.Table {
	return routingtable.FromRules(r.tableVersion, r.ruleSet())
}

// LimitsAccounts reports whether the rules in force have an account with an allowance.
func (r *Replica) LimitsAccounts() bool {
	return slices.ContainsFunc(r.ruleSet().Accounts, rule.Account.Limited)
}

// ruleSet returns the parsed rules in force, an empty set before the first change.
func (r *Replica) ruleSet() *rule.Set {
	if set := r.parsedRules.Load(); set != nil {
		return set
	}
	set, err := rule.Parse(r.rules.Text)
	if err != nil {
		// Accepted rule files parse, so this is the empty text before the first change.
		set = &rule.Set{}
	}
	r.parsedRules.Store(set)
	return set
}

func (c tableChange) write(w *protofield.Writer) {
	w.Uint(1, c.version)
	w.Uint(2, c.fingerprint)
}

func (c *tableChange) parse(b []byte) error {
	return protofield.ForEach(b, func(f protofield.Field) error {
		switch f.Number {
		case 1:
			c.version = f.Uint
		case 2:
			c.fingerprint = f.Uint
		}
		return nil
	})
}
