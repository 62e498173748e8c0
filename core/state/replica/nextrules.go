package replica

import (
	"reflect"
	"slices"

	"pollenhill.example/core/state/protofield"
	"pollenhill.example/core/state/rule"
)

// CanChangeRules reports whether an encoded command is of a kind that can change the rules. It decodes no more than the kind.
func CanChangeRules(b []byte) bool {
	kind := CommandNone
	err := protofield.ForEach(b, func(f protofield.Field) error {
		if f.Number == 1 {
			kind = CommandKind(f.Uint)
		}
		return nil
	})
	if err != nil {
		return true // the entry stops the member when it is applied
	}
	switch kind {
	case CommandChangeRules, CommandChangeTable, CommandSetZoneEvacuated, CommandOrderRollout, CommandAdvanceRollout:
		return true
	}
	return false
}

// MayChangeRules reports whether an encoded command that comes later in the log may change the rules, provided that no command
// before it does. One that repeats a change in force doesn't: a group sends a command again while its commit is slow. It reads
// numbers and names only, so that a command that would be refused for its text counts as one that may change the rules.
func (r *Replica) MayChangeRules(b []byte) bool {
	if !CanChangeRules(b) {
		return false
	}
	c, err := DecodeCommand(b)
	if err != nil {
		return true
	}
	switch c.Kind {
	case CommandChangeRules:
		return c.ChangeNumber > r.rules.ChangeNumber
	case CommandChangeTable:
		return c.BaseVersion >= r.tableVersion
	case CommandSetZoneEvacuated:
		return slices.Contains(r.ruleSet().EvacuatedZones, c.Zone) != c.Evacuated
	case CommandOrderRollout:
		current, ok := r.Rollout(c.Service)
		return !ok || !isCarriedOut(current, c)
	case CommandAdvanceRollout:
		current, ok := r.Rollout(c.Service)
		return ok && current.State == rule.RolloutAdvancing && !reflect.DeepEqual(advanced(current, c), current)
	}
	return false
}
