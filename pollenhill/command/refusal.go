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
		Action: explain,
		ShellComplete: func(_ context.Context, c *cli.Command) {
			for _, a := range refusalhelp.All() {
				printf(c, "%s\n", a.Reason)
			}
		},
	}
}

func explain(_ context.Context, c *cli.Command) error {
	list := refusalhelp.All()
	if text := strings.Join(c.Args().Slice(), " "); text != "" {
		one, ok := refusalhelp.Find(text)
		if !ok {
			names := lo.Map(list, func(a refusalhelp.Entry, _ int) string { return a.Reason })
			return errors.Newf("no reason for a refusal is named in %q; reasons are %s", text, strings.Join(names, ", "))
		}
		list = []refusalhelp.Entry{one}
	}
	if c.Bool("json") {
		return printJSON(c, list)
	}
	for _, a := range list {
		printf(c, "%s\n    %s\n    %s\n", a.Reason, a.Meaning, a.Action)
	}
	return nil
}
