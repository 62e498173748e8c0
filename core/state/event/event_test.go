package event_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/state/event"
)

const (
	catalogPath = "../../../docs/events.md"
	kindLimit   = 6000 // above every event number
)

// Guards against event numbers that the operators' catalog in docs/events.md does not explain, and against rows of events that
// no longer exist.
func TestCatalogMatchesKinds(t *testing.T) {
	raw, err := os.ReadFile(catalogPath)
	if err != nil {
		t.Fatal(err)
	}
	rows := strings.Count(string(raw), "\n| ") - 1 // without the table header
	defined := 0
	for n := range kindLimit {
		name := event.Kind(n).String()
		if strings.HasPrefix(name, "Kind(") {
			continue
		}
		defined++
		if row := fmt.Sprintf("| %d | %s |", n, name); !bytes.Contains(raw, []byte(row)) {
			t.Errorf("docs/events.md has no row %q", row)
		}
	}
	if rows != defined {
		t.Errorf("docs/events.md has %d rows for %d events", rows, defined)
	}
}

// Guards against an effect that sorts before its cause in another process, with wall clocks up to 5 ms early or late.
func TestClockOrdersCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		skew := rapid.SliceOfN(rapid.Int64Range(-5000, 5000), 2, 4).Draw(t, "skew")
		steps := rapid.SliceOfN(rapid.IntRange(0, len(skew)-1), 2, 50).Draw(t, "steps")
		now := int64(1_000_000)
		clocks := make([]*event.Clock, len(skew))
		for i := range skew {
			clocks[i] = event.NewClock(func() time.Time { return time.UnixMicro(now + skew[i]) })
		}
		var last event.Timestamp
		for _, i := range steps {
			now += rapid.Int64Range(0, 10).Draw(t, "pass")
			clocks[i].Merge(last)
			next := clocks[i].Next()
			if next.WallMicros < last.WallMicros || next.WallMicros == last.WallMicros && next.Counter <= last.Counter {
				t.Fatalf("timestamp %v is not later than %v", next, last)
			}
			parsed, err := event.ParseTimestamp(next.String())
			if err != nil || parsed != next {
				t.Fatalf("timestamp %v parses as %v, error %v", next, parsed, err)
			}
			last = next
		}
	})
}

// Guards against event lines that the timeline cannot merge, because they lack a timestamp, a process or an event number.
func TestOpenWritesTimestampedLines(t *testing.T) {
	path := filepath.Join(t.TempDir(), "events")
	log, closeLog, err := event.Open("node-1", path)
	if err != nil {
		t.Fatal(err)
	}
	log.Emit(event.NodeStarted)
	log.Emit(event.NodeStopped)
	if err := closeLog(); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(raw) {
		var e struct {
			Event   event.Kind `json:"event"`
			Stamp   string     `json:"stamp"`
			Process string     `json:"process"`
		}
		if err := json.Unmarshal(line, &e); err != nil {
			t.Fatal(err)
		}
		if _, err := event.ParseTimestamp(e.Stamp); err != nil || e.Process != "node-1" || e.Event == 0 {
			t.Fatalf("line %s: process %q, event %d, timestamp error %v", line, e.Process, e.Event, err)
		}
	}
}

// Guards against a process that starts although its event file cannot be opened, and so never writes an event.
func TestOpenFailsIfDirectoryIsMissing(t *testing.T) {
	if _, _, err := event.Open("node-1", filepath.Join(t.TempDir(), "absent", "events")); err == nil {
		t.Fatal("Open returned no error for a file in a missing directory")
	}
}
