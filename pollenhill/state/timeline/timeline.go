package timeline

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// Timeline collects the events of several files that a Filter selects.
type Timeline struct {
	filter  Filter
	events  []Event
	skipped []string // file, line number and error of each line that is not an event
}

// New returns an empty Timeline that keeps the events selected by filter.
func New(filter Filter) *Timeline {
	return &Timeline{filter: filter}
}

// Read adds the events of r and returns an error if r fails; messages call the file name. Lines that are not events do
// not fail it but are listed by SkippedLines, because a process that is killed leaves an incomplete last line.
func (t *Timeline) Read(name string, r io.Reader) error {
	buffered := bufio.NewReader(r)
	for lineNumber := 1; ; lineNumber++ {
		line, err := buffered.ReadBytes('\n')
		if line = bytes.TrimSpace(line); len(line) > 0 {
			t.addLine(name, lineNumber, line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "read events of %s", name)
		}
	}
}

func (t *Timeline) addLine(name string, lineNumber int, line []byte) {
	e, err := ParseEvent(line)
	if err != nil {
		t.skipped = append(t.skipped, fmt.Sprintf("%s:%d: %v", name, lineNumber, err))
		return
	}
	if t.filter.Match(e) {
		t.events = append(t.events, e)
	}
}

// Events returns the selected events in the order of their timestamps, and of the processes' names where these are equal.
func (t *Timeline) Events() []Event {
	slices.SortStableFunc(t.events, func(a, b Event) int {
		return cmp.Or(
			cmp.Compare(a.Timestamp.WallMicros, b.Timestamp.WallMicros),
			cmp.Compare(a.Timestamp.Counter, b.Timestamp.Counter),
			cmp.Compare(a.Process, b.Process),
		)
	})
	return t.events
}

// SkippedLines returns a message with the file, line number and error for each line that is not an event.
func (t *Timeline) SkippedLines() []string {
	return t.skipped
}
