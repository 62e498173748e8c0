package command

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"pollenhill.example/pollenhill/protocol/refusalhelp"
)

func refusalCommand() *cli.Command {
	return &cli.Command{
		Name:      "refusal",
		Usage:     "explain why a request was refused and what to do",
		ArgsUsage: "[REASON]",
		Description: "REASON is the name in the Proxy-Status header or the whole header line. Without it all reasons are explained.\n\n" +
			exitCodes,
		Action: runRefusal,
		ShellComplete: func(_ context.Context, c *cli.Command) {
			for _, entry := range refusalhelp.All() {
				printf(c, "%s\n", entry.Reason)
			}
		},
	}
}

func runRefusal(_ context.Context, c *cli.Command) error {
	entries := refusalhelp.All()
	if text := strings.Join(c.Args().Slice(), " "); text != "" {
		entry, ok := refusalhelp.Find(text)
		if !ok {
			reasons := lo.Map(entries, func(e refusalhelp.Entry, _ int) string { return e.Reason })
			return errors.Newf("no reason for a refusal is named in %q; reasons are %s", text, strings.Join(reasons, ", "))
		}
		entries = []refusalhelp.Entry{entry}
	}
	if c.Bool("json") {
		return printJSON(c, entries)
	}
	for _, entry := range entries {
		printf(c, "%s\n    %s\n    %s\n", entry.Reason, entry.Meaning, entry.Action)
	}
	return nil
}
