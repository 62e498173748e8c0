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

// checked is the JSON output of check.
type checked struct {
	File     string         `json:"file"`
	Good     bool           `json:"good"`
	Number   uint64         `json:"number,omitempty"`
	Force    *uint64        `json:"force,omitempty"` // number in force, if a control process was asked
	Zones    int            `json:"zones"`
	Services int            `json:"services"`
	Problems []rule.Problem `json:"problems"`
	Removed  []string       `json:"removed,omitempty"` // compared with the rules in force
	Added    []string       `json:"added,omitempty"`
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a rule file before it is saved for a control process",
		ArgsUsage: "FILE",
		Description: "Reports all problems with line, column, reason and a corrected example. FILE may be - for standard input.\n" +
			"With --control the file is also compared with the rules in force.\n\n" + exitCodes,
		Action: check,
	}
}

func check(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1, 1)
	if err != nil {
		return err
	}
	text, err := readRules(c, args[0])
	if err != nil {
		return fail(ExitFileError, err)
	}
	result := newChecked(args[0], text)
	var failed error
	if len(c.StringSlice("control")) > 0 {
		failed = result.compare(ctx, c, text)
	}
	if err := errors.CombineErrors(result.print(c), failed); err != nil {
		return err
	}
	if !result.Good {
		return fail(ExitCheckFailed, errSilent)
	}
	return nil
}

func readRules(c *cli.Command, name string) (string, error) {
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

func newChecked(file, text string) *checked {
	result := &checked{File: file, Problems: []rule.Problem{}}
	set, err := rule.Parse(text)
	if problems := rule.Problems(nil); errors.As(err, &problems) {
		result.Problems = problems
		return result
	}
	result.Good = true
	result.Number = set.ChangeNumber
	result.Zones = len(set.Zones)
	result.Services = len(set.Services)
	return result
}

// compare adds what the file would change, and a problem if its number does not follow.
func (r *checked) compare(ctx context.Context, c *cli.Command, text string) error {
	force, err := fetch(ctx, c)
	if err != nil {
		return err
	}
	number := force.GetRules().GetNumber()
	old := force.GetRules().GetText()
	r.Force = &number
	lines := strings.SplitAfter(old, "\n")
	for _, e := range rule.Diff(old, text) {
		r.Removed = append(r.Removed, trim(lines[e.Start:e.Start+e.Count])...)
		r.Added = append(r.Added, trim(e.Lines)...)
	}
	if r.Good && r.Number != number+1 && text != old {
		r.Good = false
		r.Problems = append(r.Problems, numberProblem(r.Number, number, text))
	}
	return nil
}

func trim(lines []string) []string {
	list := make([]string, len(lines))
	for i, one := range lines {
		list[i] = strings.TrimRight(one, "\r\n")
	}
	return list
}

func (r *checked) print(c *cli.Command) error {
	if c.Bool("json") {
		return printJSON(c, r)
	}
	for _, p := range r.Problems {
		printf(c, "%s: %s\n", r.File, p)
	}
	if r.Good {
		printf(c, "%s: good: change %d, zones: %d, services: %d\n", r.File, r.Number, r.Zones, r.Services)
	}
	if r.Force == nil {
		return nil
	}
	printf(c, "compared with change %d, which is in force:\n", *r.Force)
	for _, line := range r.Removed {
		printf(c, "  - %s\n", line)
	}
	for _, line := range r.Added {
		printf(c, "  + %s\n", line)
	}
	return nil
}
