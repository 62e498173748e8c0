package model

import (
	"context"

	"github.com/urfave/cli/v3"
)

// DefaultSeed is the seed of the tables in docs/measurements.
const DefaultSeed = 1

// Command returns the command "model", which runs the policy experiments.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "model",
		Usage: "run policy experiments in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: DefaultSeed, Usage: "seed of the random streams"},
			&cli.StringFlag{Name: "out", Usage: "folder for policy.md and the plots; standard output without it"},
			&cli.StringSliceFlag{Name: "table", Usage: "only the tables of these names"},
			&cli.StringSliceFlag{Name: "service", Usage: "only the runs of these services"},
			&cli.IntFlag{Name: "parallel", Value: 4, Usage: "runs at the same time"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return writeReport(cmd.Root().Writer, Options{
				Seed:      cmd.Uint64("seed"),
				OutputDir: cmd.String("out"),
				Tables:    cmd.StringSlice("table"),
				Services:  cmd.StringSlice("service"),
				Parallel:  cmd.Int("parallel"),
			})
		},
	}
}
