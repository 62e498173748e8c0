package command

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pollenhill.example/pollenhill/state/timeline"
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:      "timeline",
		Usage:     "merge the event files of several processes in the order of events",
		ArgsUsage: "FILE...",
		Description: "FILE may be - for standard input. Lines that are not events are skipped and reported on standard error.\n" +
			"With --json the selected lines are printed as they are in the files.\n\n" + exitCodes,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "only events of the attempt or Idempotency-Key `ID`"},
			&cli.StringFlag{Name: "peer", Usage: "only events by or about the process or back end `NAME`"},
			&cli.StringFlag{Name: "zone", Usage: "only events about the zone `NAME`"},
			&cli.StringFlag{Name: "event", Usage: "only events with this `NUMBER` or name (docs/events.md)"},
		},
		Action: runTimeline,
	}
}

func runTimeline(_ context.Context, c *cli.Command) error {
	files, err := positionalArguments(c, 1, -1)
	if err != nil {
		return err
	}
	t := timeline.New(timeline.Filter{
		Request: c.String("request"), Peer: c.String("peer"), Zone: c.String("zone"), Event: c.String("event"),
	})
	for _, name := range files {
		if err := readEventFile(c, t, name); err != nil {
			return withExitCode(ExitFileError, err)
		}
	}
	for _, line := range t.SkippedLines() {
		fmt.Fprintln(c.Root().ErrWriter, "pollenhill: skipped", line)
	}
	for _, e := range t.Events() {
		if c.Bool("json") {
			printf(c, "%s\n", e.Raw)
		} else {
			printf(c, "%s\n", e)
		}
	}
	return nil
}

// readEventFile adds the events of a file, or of standard input if name is "-", to t.
func readEventFile(c *cli.Command, t *timeline.Timeline, name string) error {
	if name == "-" {
		return t.Read("standard input", c.Root().Reader)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.CombineErrors(t.Read(name, file), file.Close())
}
