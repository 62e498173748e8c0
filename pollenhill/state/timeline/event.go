package timeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/event"
)

// Event is one line of an event file.
type Event struct {
	Timestamp event.Timestamp
	Process   string
	Kind      int
	Name      string
	Fields    map[string]any // everything else of the line but its level and time
	Raw       []byte         // the line as it was read
}

// ParseEvent reads one line.
func ParseEvent(line []byte) (Event, error) {
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.UseNumber()
	fields := map[string]any{}
	if err := dec.Decode(&fields); err != nil {
		return Event{}, errors.Wrap(err, "not a JSON object")
	}
	stamp, err := event.ParseTimestamp(text(fields["stamp"]))
	if err != nil {
		return Event{}, err
	}
	e := Event{Timestamp: stamp, Process: text(fields["process"]), Name: text(fields["msg"]), Fields: fields, Raw: line}
	if n, ok := fields["event"].(json.Number); ok {
		kind, err := n.Int64()
		if err != nil {
			return Event{}, errors.Wrap(err, "event number")
		}
		e.Kind = int(kind)
	}
	for _, key := range []string{"stamp", "process", "msg", "event", "level", "ts"} {
		delete(fields, key)
	}
	return e, nil
}

func text(value any) string {
	switch value := value.(type) {
	case nil:
		return ""
	case string:
		return value
	case json.Number:
		return value.String()
	}
	raw, _ := json.Marshal(value)
	return string(raw)
}

// String returns the event as one line of text.
func (e Event) String() string {
	var b strings.Builder
	b.WriteString(time.UnixMicro(e.Timestamp.WallMicros).UTC().Format("2006-01-02 15:04:05.000000"))
	if e.Timestamp.Counter > 0 {
		fmt.Fprintf(&b, "+%d", e.Timestamp.Counter)
	}
	fmt.Fprintf(&b, "  %-16s %4d %s", e.Process, e.Kind, e.Name)
	keys := make([]string, 0, len(e.Fields))
	for key := range e.Fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		fmt.Fprintf(&b, "  %s=%s", key, quoted(text(e.Fields[key])))
	}
	return b.String()
}

// quoted keeps values with blanks and control characters on one line and apart from their neighbours.
func quoted(value string) string {
	if value == "" || strings.ContainsFunc(value, func(r rune) bool { return r == ' ' || r == '"' || unicode.IsControl(r) }) {
		return fmt.Sprintf("%q", value)
	}
	return value
}
