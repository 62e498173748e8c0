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

// showOutput is the JSON output of show.
type showOutput struct {
	Revision     uint64             `json:"revision"`
	ChangeNumber uint64             `json:"number"`
	InForceSince string             `json:"since,omitempty"`  // RFC 3339
	Origin       string             `json:"origin,omitempty"` // control process whose rule file contained the change
	Text         string             `json:"text"`
	Lines        []rule.Attribution `json:"lines"`
	Changes      []acceptedChange   `json:"changes"` // newest last
}

// acceptedChange is one change of the rules that the control group accepted.
type acceptedChange struct {
	Number   uint64 `json:"number"`
	Revision uint64 `json:"revision"`
	Time     string `json:"time"`   // RFC 3339
	Origin   string `json:"origin"` // control process whose rule file contained the change
	Reason   string `json:"reason"` // "author: reason"
}

func showCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "show the rules in force and who asked for every line",
		Description: "The newest rules of all control processes that answer are shown; the leader is not needed.\n" +
			"Keys of client accounts are shown with --text and --json only.\n\n" + exitCodes,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "text", Usage: "print the accepted text byte for byte and nothing else"},
			&cli.IntFlag{Name: "history", Usage: "also list the newest `N` accepted changes"},
		},
		Action: runShow,
	}
}

func runShow(ctx context.Context, c *cli.Command) error {
	if _, err := positionalArguments(c, 0, 0); err != nil {
		return err
	}
	resp, err := fetchNewestRules(ctx, c)
	if err != nil {
		return err
	}
	if c.Bool("text") {
		printf(c, "%s", resp.GetRules().GetText())
		return nil
	}
	output := newShowOutput(resp)
	if c.Bool("json") {
		return printJSON(c, output)
	}
	output.print(c)
	return nil
}

// fetchNewestRules returns the newest rules of all control processes that answer, or an error if their text does not match
// their hash.
func fetchNewestRules(ctx context.Context, c *cli.Command) (*control.RulesResponse, error) {
	clients, err := newClients(c)
	if err != nil {
		return nil, err
	}
	answer, err := clients.Rules(ctx)
	if err != nil {
		return nil, withExitCode(ExitUnreachable, err)
	}
	rules := answer.Msg.GetRules()
	if got := rule.Hash(rules.GetText()); rules.GetNumber() > 0 && got != rules.GetHash() {
		err := errors.Newf("control process %s: rules have hash %016x, want %016x", answer.Address, got, rules.GetHash())
		return nil, withExitCode(ExitUnreachable, err)
	}
	return answer.Msg, nil
}

func newShowOutput(resp *control.RulesResponse) showOutput {
	rules := resp.GetRules()
	output := showOutput{
		Revision: rules.GetRevision(), ChangeNumber: rules.GetNumber(),
		Text: rules.GetText(), Lines: rule.Attributions(rules.GetText()),
	}
	output.Changes = lo.Map(resp.GetChanges(), func(c *control.Change, _ int) acceptedChange {
		at := time.UnixMilli(c.GetTime()).UTC().Format(time.RFC3339)
		return acceptedChange{Number: c.GetNumber(), Revision: c.GetRevision(), Time: at, Origin: c.GetOrigin(), Reason: c.GetReason()}
	})
	if inForce, ok := lo.Find(output.Changes, func(c acceptedChange) bool { return c.Number == output.ChangeNumber }); ok {
		output.InForceSince, output.Origin = inForce.Time, inForce.Origin
	}
	return output
}

func (o showOutput) print(c *cli.Command) {
	if o.ChangeNumber == 0 {
		printf(c, "no rules are in force yet\n")
		return
	}
	printf(c, "change %d, revision %d", o.ChangeNumber, o.Revision)
	if o.InForceSince != "" {
		printf(c, ", in force since %s, from %s", o.InForceSince, o.Origin)
	}
	printf(c, "\n\n")
	table := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "line\twho\twhy\trule")
	for _, l := range o.Lines {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", l.Line, l.Author, l.Reason, ruleText(l))
	}
	table.Flush()
	o.printHistory(c)
}

// ruleText returns a line of the rules without the comment that names author and reason, since these have columns of
// their own, and with the number of keys in place of the keys of an account.
func ruleText(l rule.Attribution) string {
	if l.Author == "" {
		return rule.HideKeys(l.Text)
	}
	return rule.HideKeys(l.Statement)
}

func (o showOutput) printHistory(c *cli.Command) {
	count := min(c.Int("history"), len(o.Changes))
	if count <= 0 {
		return
	}
	printf(c, "\n")
	table := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "change\ttime\tfrom\treason")
	for _, change := range o.Changes[len(o.Changes)-count:] {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", change.Number, change.Time, change.Origin, change.Reason)
	}
	table.Flush()
}
