package command

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/lint"
	"pollenhill.example/core/state/rule"
)

// checkOutput is the JSON output of check.
type checkOutput struct {
	File          string         `json:"file"`
	Valid         bool           `json:"good"`
	ChangeNumber  uint64         `json:"number,omitempty"`
	NumberInForce *uint64        `json:"force,omitempty"` // change number of the rules in force, if a control process was queried
	Zones         int            `json:"zones"`
	Services      int            `json:"services"`
	Problems      []rule.Problem `json:"problems"`
	Findings      []lint.Finding `json:"findings"`          // valid entries that are probably not meant
	RemovedLines  []string       `json:"removed,omitempty"` // from the rules in force, with the number of keys in place of keys
	AddedLines    []string       `json:"added,omitempty"`   // to the rules in force, with the number of keys in place of keys
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a rule file or a routing table before it is sent",
		ArgsUsage: "FILE",
		Description: "Reports all problems with line, column, reason and a corrected example, entries that can never match a request\n" +
			"and limits that contradict each other. FILE may be - for standard input. A file that begins with { is the JSON of a\n" +
			"routing table, or with --control of a patch; its lines are those of the rule file that it leads to.\n" +
			"With --control the file is also compared with the rules in force. Findings alone leave the exit code at 0.\n\n" + exitCodes,
		Action: runCheck,
	}
}

func runCheck(ctx context.Context, c *cli.Command) error {
	args, err := positionalArguments(c, 1, 1)
	if err != nil {
		return err
	}
	text, err := readRuleFile(c, args[0])
	if err != nil {
		return withExitCode(ExitFileError, err)
	}
	inForce, fetchErr := rulesInForce(ctx, c)
	output := checkText(args[0], text, inForce)
	if err := errors.CombineErrors(output.print(c), fetchErr); err != nil {
		return err
	}
	if !output.Valid {
		return withExitCode(ExitCheckFailed, errAlreadyReported)
	}
	return nil
}

func readRuleFile(c *cli.Command, name string) (string, error) {
	in := c.Root().Reader
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return "", err
		}
		defer file.Close()
		in = file
	}
	raw, err := io.ReadAll(io.LimitReader(in, rule.MaxFileSize+1))
	return string(raw), errors.Wrapf(err, "read %s", name)
}

// rulesInForce returns the newest rules of the control processes that the flags name, nil if they name none.
func rulesInForce(ctx context.Context, c *cli.Command) (*control.Rules, error) {
	if len(c.StringSlice("control")) == 0 {
		return nil, nil
	}
	answer, err := fetchNewestRules(ctx, c)
	if err != nil {
		return nil, err
	}
	return answer.GetRules(), nil
}

// checkText checks a rule file or the JSON of a table; inForce is nil if it is not to be compared.
func checkText(file, text string, inForce *control.Rules) *checkOutput {
	if strings.HasPrefix(strings.TrimSpace(text), "{") {
		converted, err := ruleFileOfTable(text, inForce)
		if err != nil {
			problem := rule.Problem{Line: 1, Column: 1, Reason: err.Error()}
			return &checkOutput{File: file, Problems: []rule.Problem{problem}, Findings: []lint.Finding{}}
		}
		text = converted
	}
	output := newCheckOutput(file, text)
	if inForce != nil {
		output.compareWithRulesInForce(inForce, text)
	}
	return output
}

func newCheckOutput(file, text string) *checkOutput {
	output := &checkOutput{File: file, Problems: []rule.Problem{}, Findings: []lint.Finding{}}
	set, err := rule.Parse(text)
	if problems := rule.Problems(nil); errors.As(err, &problems) {
		output.Problems = problems
		return output
	}
	output.Valid = true
	output.ChangeNumber = set.ChangeNumber
	output.Zones = len(set.Zones)
	output.Services = len(set.Services)
	output.Findings = append(output.Findings, lint.Check(set, text)...)
	return output
}

// compareWithRulesInForce adds the lines that the file would remove and add, and a problem if its change number does not
// follow the number in force.
func (o *checkOutput) compareWithRulesInForce(inForce *control.Rules, text string) {
	number := inForce.GetNumber()
	old := inForce.GetText()
	o.NumberInForce = &number
	lines := strings.SplitAfter(old, "\n")
	for _, edit := range rule.Diff(old, text) {
		o.RemovedLines = append(o.RemovedLines, printableLines(lines[edit.Start:edit.Start+edit.Count])...)
		o.AddedLines = append(o.AddedLines, printableLines(edit.Lines)...)
	}
	if o.Valid && o.ChangeNumber != number+1 && text != old {
		o.Valid = false
		o.Problems = append(o.Problems, changeNumberProblem(o.ChangeNumber, number, text))
	}
}

// printableLines returns lines of rules without their ends and without the keys of accounts.
func printableLines(lines []string) []string {
	printable := make([]string, len(lines))
	for i, line := range lines {
		printable[i] = rule.HideKeys(strings.TrimRight(line, "\r\n"))
	}
	return printable
}

func (o *checkOutput) print(c *cli.Command) error {
	if c.Bool("json") {
		return printJSON(c, o)
	}
	for _, p := range o.Problems {
		printf(c, "%s: %s\n", o.File, p)
	}
	for _, f := range o.Findings {
		printf(c, "%s: %s\n", o.File, f)
	}
	if o.Valid {
		printf(c, "%s: good: change %d, zones: %d, services: %d\n", o.File, o.ChangeNumber, o.Zones, o.Services)
	}
	if o.NumberInForce == nil {
		return nil
	}
	printf(c, "compared with change %d, which is in force:\n", *o.NumberInForce)
	for _, line := range o.RemovedLines {
		printf(c, "  - %s\n", line)
	}
	for _, line := range o.AddedLines {
		printf(c, "  + %s\n", line)
	}
	return nil
}
