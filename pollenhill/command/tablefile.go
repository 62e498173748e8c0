package command

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/routingtable"
	"pollenhill.example/core/state/rule"
)

// tableAttribution is the comment of the lines that a checked table would write into the rule file.
const tableAttribution = "check: table"

// ruleFileOfTable returns the rule file that a table or a patch, given as JSON, leads to from the rules in force. Without rules
// in force it starts from an empty file, and a patch cannot be checked.
func ruleFileOfTable(text string, inForce *control.Rules) (string, error) {
	next, err := requestedTable(text, inForce)
	if err != nil {
		return "", err
	}
	traffic, err := next.TrafficRules()
	if err != nil {
		return "", err
	}
	return rule.ReplaceTrafficRules(inForce.GetText(), inForce.GetNumber()+1, tableAttribution, traffic), nil
}

func requestedTable(text string, inForce *control.Rules) (routingtable.Table, error) {
	if !isPatch(text) {
		return routingtable.Decode([]byte(text))
	}
	if inForce == nil {
		return routingtable.Table{}, errors.New("a patch can only be checked against the rules in force; name a control process with --control")
	}
	patch, err := routingtable.DecodePatch([]byte(text))
	if err != nil {
		return routingtable.Table{}, err
	}
	set, err := rule.Parse(inForce.GetText())
	if err != nil {
		return routingtable.Table{}, errors.Wrap(err, "rules in force")
	}
	return routingtable.FromRules(0, set).Apply(patch), nil
}

// isPatch reports whether a JSON text has the fields of a patch.
func isPatch(text string) bool {
	var fields struct{ Set, Drop json.RawMessage }
	err := json.Unmarshal([]byte(text), &fields)
	return err == nil && (fields.Set != nil || fields.Drop != nil)
}
