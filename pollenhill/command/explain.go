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
		Action: runExplain,
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	args, err := positionalArguments(c, 2, -1)
	if err != nil {
		return err
	}
	var events []timeline.Event
	for _, name := range args[1:] {
		fileEvents, err := readCollectedLog(c, name)
		if err != nil {
			return withExitCode(ExitFileError, err)
		}
		events = append(events, fileEvents...)
	}
	slices.SortStableFunc(events, func(a, b timeline.Event) int {
		if a.Timestamp.WallMicros != b.Timestamp.WallMicros {
			return int(a.Timestamp.WallMicros - b.Timestamp.WallMicros)
		}
		return int(a.Timestamp.Counter) - int(b.Timestamp.Counter)
	})
	explanation, err := cause.Explain(args[0], events)
	if err != nil {
		return withExitCode(ExitCheckFailed, errors.Wrapf(err, "explain %s", args[0]))
	}
	printf(c, "%s", explanation)
	return nil
}

// readCollectedLog returns the events of a file. Lines that are not events are skipped and not reported, because collected
// logs also contain lines of other programs.
func readCollectedLog(c *cli.Command, name string) ([]timeline.Event, error) {
	if name == "-" {
		return parseCollectedLog(c.Root().Reader)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	events, err := parseCollectedLog(file)
	return events, errors.CombineErrors(err, file.Close())
}

// maxLineBytes limits the length of a line; an event takes a few hundred bytes per attempt.
const maxLineBytes = 1 << 20

func parseCollectedLog(r io.Reader) ([]timeline.Event, error) {
	var events []timeline.Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		start := bytes.IndexByte(lines.Bytes(), '{')
		if start < 0 {
			continue
		}
		if e, err := timeline.ParseEvent(bytes.Clone(lines.Bytes()[start:])); err == nil {
			events = append(events, e)
		}
	}
	return events, lines.Err()
}
