package demo

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"
)

// Command returns the commands "demo prepare" and "demo run".
func Command() *cli.Command {
	dir := &cli.StringFlag{Name: "dir", Usage: "folder of the demonstration", Value: "out/demo"}
	faults := &cli.BoolFlag{Name: "faults", Usage: "inject faults instead of moving a zone; 3 control processes"}
	flags := []cli.Flag{dir, faults}
	config := func(c *cli.Command) Config {
		return Config{Dir: c.String("dir"), InjectFaults: c.Bool("faults"), Output: os.Stdout}
	}
	return &cli.Command{
		Name:  "demo",
		Usage: "demonstration with control processes, 6 nodes and 6 back ends on loopback addresses",
		Commands: []*cli.Command{
			{
				Name: "prepare", Usage: "write the settings and the rule file", Flags: flags,
				Action: func(_ context.Context, c *cli.Command) error { return Prepare(config(c)) },
			},
			{
				Name: "run", Usage: "send load, move a zone out and back or inject faults, check the invariants", Flags: flags,
				Action: func(ctx context.Context, c *cli.Command) error { return Run(ctx, config(c)) },
			},
		},
	}
}
