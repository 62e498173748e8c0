package command

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
)

// shown is the JSON output of show.
type shown struct {
	Revision uint64             `json:"revision"`
	Number   uint64             `json:"number"`
	Since    string             `json:"since,omitempty"`  // RFC 3339
	Origin   string             `json:"origin,omitempty"` // control process whose file carried the change
	Text     string             `json:"text"`
	Lines    []rule.Attribution `json:"lines"`
	Changes  []change           `json:"changes"` // newest last
}

// change is one accepted change.
type change struct {
	Number   uint64 `json:"number"`
	Revision uint64 `json:"revision"`
	Time     string `json:"time"` // RFC 3339
	Origin   string `json:"origin"`
	Reason   string `json:"reason"` // "who: why"
}

func showCommand() *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "show the rules in force and who asked for every line",
		Description: "The newest rules of all control processes that answer are shown; the leader is not needed.\n\n" + exitCodes,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "text", Usage: "print the accepted text byte for byte and nothing else"},
			&cli.IntFlag{Name: "history", Usage: "also list the newest `N` accepted changes"},
		},
		Action: show,
	}
}

func show(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c, 0, 0); err != nil {
		return err
	}
	resp, err := fetch(ctx, c)
	if err != nil {
		return err
	}
	if c.Bool("text") {
		printf(c, "%s", resp.GetRules().GetText())
		return nil
	}
	s := newShown(resp)
	if c.Bool("json") {
		return printJSON(c, s)
	}
	s.print(c)
	return nil
}

// fetch returns the newest rules that a control process has; their text is verified by its hash.
func fetch(ctx context.Context, c *cli.Command) (*control.RulesResponse, error) {
	asked, err := clients(c)
	if err != nil {
		return nil, err
	}
	answer, err := asked.Rules(ctx)
	if err != nil {
		return nil, fail(ExitUnreachable, err)
	}
	rules := answer.Msg.GetRules()
	if got := rule.Hash(rules.GetText()); rules.GetNumber() > 0 && got != rules.GetHash() {
		err := errors.Newf("control process %s: rules have hash %016x, want %016x", answer.Address, got, rules.GetHash())
		return nil, fail(ExitUnreachable, err)
	}
	return answer.Msg, nil
}

func newShown(resp *control.RulesResponse) shown {
	rules := resp.GetRules()
	s := shown{Revision: rules.GetRevision(), Number: rules.GetNumber(), Text: rules.GetText(), Lines: rule.Attributions(rules.GetText())}
	s.Changes = lo.Map(resp.GetChanges(), func(c *control.Change, _ int) change {
		at := time.UnixMilli(c.GetTime()).UTC().Format(time.RFC3339)
		return change{Number: c.GetNumber(), Revision: c.GetRevision(), Time: at, Origin: c.GetOrigin(), Reason: c.GetReason()}
	})
	if last, ok := lo.Find(s.Changes, func(c change) bool { return c.Number == s.Number }); ok {
		s.Since, s.Origin = last.Time, last.Origin
	}
	return s
}

func (s shown) print(c *cli.Command) {
	if s.Number == 0 {
		printf(c, "no rules are in force yet\n")
		return
	}
	printf(c, "change %d, revision %d", s.Number, s.Revision)
	if s.Since != "" {
		printf(c, ", in force since %s, from %s", s.Since, s.Origin)
	}
	printf(c, "\n\n")
	table := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "line\twho\twhy\trule")
	for _, l := range s.Lines {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", l.Line, l.Author, l.Reason, ruleOnly(l))
	}
	table.Flush()
	s.printHistory(c)
}

// ruleOnly returns the rule without the comment, which has its own columns.
func ruleOnly(l rule.Attribution) string {
	if l.Author == "" {
		return l.Text
	}
	return l.Statement
}

func (s shown) printHistory(c *cli.Command) {
	n := min(c.Int("history"), len(s.Changes))
	if n <= 0 {
		return
	}
	printf(c, "\n")
	table := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "change\ttime\tfrom\treason")
	for _, one := range s.Changes[len(s.Changes)-n:] {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", one.Number, one.Time, one.Origin, one.Reason)
	}
	table.Flush()
}
