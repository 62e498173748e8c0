package demo

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"
)

// Command returns the commands "demo prepare" and "demo run".
func Command() *cli.Command {
	dir := &cli.StringFlag{Name: "dir", Usage: "folder of the demonstration", Value: "out/demo"}
	return &cli.Command{
		Name:  "demo",
		Usage: "demonstration with 1 control process, 6 nodes and 6 back ends on loopback addresses",
		Commands: []*cli.Command{
			{
				Name: "prepare", Usage: "write the settings and the rule file", Flags: []cli.Flag{dir},
				Action: func(_ context.Context, c *cli.Command) error { return Prepare(c.String("dir")) },
			},
			{
				Name: "run", Usage: "send load, move a zone out and back, check the invariants", Flags: []cli.Flag{dir},
				Action: func(ctx context.Context, c *cli.Command) error {
					return Run(ctx, Config{Dir: c.String("dir"), Out: os.Stdout})
				},
			},
		},
	}
}
