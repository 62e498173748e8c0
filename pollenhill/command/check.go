package command

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

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
	RemovedLines  []string       `json:"removed,omitempty"` // from the rules in force, with the number of keys in place of keys
	AddedLines    []string       `json:"added,omitempty"`   // to the rules in force, with the number of keys in place of keys
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a rule file before it is saved for a control process",
		ArgsUsage: "FILE",
		Description: "Reports all problems with line, column, reason and a corrected example. FILE may be - for standard input.\n" +
			"With --control the file is also compared with the rules in force.\n\n" + exitCodes,
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
	output := newCheckOutput(args[0], text)
	var compareErr error
	if len(c.StringSlice("control")) > 0 {
		compareErr = output.compareWithRulesInForce(ctx, c, text)
	}
	if err := errors.CombineErrors(output.print(c), compareErr); err != nil {
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

func newCheckOutput(file, text string) *checkOutput {
	output := &checkOutput{File: file, Problems: []rule.Problem{}}
	set, err := rule.Parse(text)
	if problems := rule.Problems(nil); errors.As(err, &problems) {
		output.Problems = problems
		return output
	}
	output.Valid = true
	output.ChangeNumber = set.ChangeNumber
	output.Zones = len(set.Zones)
	output.Services = len(set.Services)
	return output
}

// compareWithRulesInForce adds the lines that the file would remove and add, and a problem if its change number does not
// follow the number in force.
func (o *checkOutput) compareWithRulesInForce(ctx context.Context, c *cli.Command, text string) error {
	inForce, err := fetchNewestRules(ctx, c)
	if err != nil {
		return err
	}
	number := inForce.GetRules().GetNumber()
	old := inForce.GetRules().GetText()
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
	return nil
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
