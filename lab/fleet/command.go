package fleet

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"
)

// Command returns the commands "fleet prepare" and "fleet run".
func Command() *cli.Command {
	size := []cli.Flag{
		&cli.StringFlag{Name: "dir", Usage: "folder of the processes", Value: "out/fleet"},
		&cli.IntFlag{Name: "controls", Usage: "control processes", Value: 3},
		&cli.IntFlag{Name: "nodes", Usage: "nodes in each of the 5 zones", Value: 12},
		&cli.IntFlag{Name: "services", Usage: "services in the rule file", Value: 10},
	}
	return &cli.Command{
		Name:  "fleet",
		Usage: "measure many control processes and nodes",
		Commands: []*cli.Command{
			{
				Name: "prepare", Usage: "write the settings and the rule file", Flags: size,
				Action: func(_ context.Context, c *cli.Command) error { return Prepare(parseConfig(c)) },
			},
			{
				Name: "run", Usage: "measure CPU time, memory and the time until rule changes are in force",
				Flags: append(size,
					&cli.DurationFlag{Name: "idle", Usage: "length of the idle measurement", Value: 15 * time.Second},
					&cli.IntFlag{Name: "changes", Usage: "changes of the rule file", Value: 40},
					&cli.DurationFlag{Name: "interval", Usage: "time between changes", Value: 500 * time.Millisecond},
					&cli.StringFlag{Name: "fault", Usage: "halfway through the changes: none, kill the leader or freeze it, so that it stops responding", Value: "none"},
				),
				Action: func(ctx context.Context, c *cli.Command) error { return Run(ctx, parseConfig(c)) },
			},
		},
	}
}

func parseConfig(c *cli.Command) Config {
	return Config{
		Dir: c.String("dir"), ControlProcesses: c.Int("controls"), NodesPerZone: c.Int("nodes"), Services: c.Int("services"),
		IdleDuration: c.Duration("idle"), RuleChanges: c.Int("changes"), ChangeInterval: c.Duration("interval"), LeaderFault: c.String("fault"), Output: os.Stdout,
	}
}
