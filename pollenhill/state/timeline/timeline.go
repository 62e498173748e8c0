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

// Timeline collects events of several files.
type Timeline struct {
	filter  Filter
	events  []Event
	skipped []string
}

// New returns an empty Timeline of the events that filter selects.
func New(filter Filter) *Timeline {
	return &Timeline{filter: filter}
}

// Read adds the lines of r; name is the file in messages. Lines that are not events are skipped and reported by
// Skipped, because a process that is killed leaves half a line.
func (t *Timeline) Read(name string, r io.Reader) error {
	buffered := bufio.NewReader(r)
	for no := 1; ; no++ {
		line, err := buffered.ReadBytes('\n')
		if line = bytes.TrimSpace(line); len(line) > 0 {
			t.add(name, no, line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "read events of %s", name)
		}
	}
}

func (t *Timeline) add(name string, no int, line []byte) {
	e, err := ParseEvent(line)
	if err != nil {
		t.skipped = append(t.skipped, fmt.Sprintf("%s:%d: %v", name, no, err))
		return
	}
	if t.filter.Match(e) {
		t.events = append(t.events, e)
	}
}

// Events returns the selected events in the order of their stamps, equal stamps in the order of processes.
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

// SkippedLines lists the lines that are not events, with the reason.
func (t *Timeline) SkippedLines() []string {
	return t.skipped
}
