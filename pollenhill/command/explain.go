package command

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pollenhill.example/pollenhill/state/cause"
	"pollenhill.example/pollenhill/state/timeline"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "follow one request through collected event files to the cause of its end",
		ArgsUsage: "ID FILE...",
		Description: "ID is the request ID that the caller sent. FILE may be - for standard input. Text before the first\n" +
			"brace of a line, such as the name of a VM, is ignored.\n\n" + exitCodes,
		Action: explained,
	}
}

func explained(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, 2, -1)
	if err != nil {
		return err
	}
	var events []timeline.Event
	for _, name := range args[1:] {
		found, err := collect(c, name)
		if err != nil {
			return fail(ExitFileError, err)
		}
		events = append(events, found...)
	}
	slices.SortStableFunc(events, func(a, b timeline.Event) int {
		if a.Timestamp.WallMicros != b.Timestamp.WallMicros {
			return int(a.Timestamp.WallMicros - b.Timestamp.WallMicros)
		}
		return int(a.Timestamp.Counter) - int(b.Timestamp.Counter)
	})
	walk, err := cause.Explain(args[0], events)
	if err != nil {
		return fail(ExitCheckFailed, errors.Wrapf(err, "explain %s", args[0]))
	}
	printf(c, "%s", walk)
	return nil
}

// collect reads the events of a file; other lines are passed over, since collected logs hold those of other programs.
func collect(c *cli.Command, name string) ([]timeline.Event, error) {
	if name == "-" {
		return scan(c.Root().Reader)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	events, err := scan(file)
	return events, errors.CombineErrors(err, file.Close())
}

// maxLine bounds a line, in bytes; an event takes a few hundred per attempt.
const maxLine = 1 << 20

func scan(r io.Reader) ([]timeline.Event, error) {
	var events []timeline.Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		at := bytes.IndexByte(lines.Bytes(), '{')
		if at < 0 {
			continue
		}
		if e, err := timeline.ParseEvent(bytes.Clone(lines.Bytes()[at:])); err == nil {
			events = append(events, e)
		}
	}
	return events, lines.Err()
}
