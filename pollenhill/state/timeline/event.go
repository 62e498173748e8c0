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
	Process   string         // name of the process that logged the event
	Kind      int            // number of the event, 0 if the line has none
	Name      string         // name of the event
	Fields    map[string]any // all other fields but the level and the time of the log
	Raw       []byte         // the line as it was read
}

// ParseEvent parses one line; it returns an error if the line is not a JSON object or has no valid timestamp or event
// number. The Event keeps line.
func ParseEvent(line []byte) (Event, error) {
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.UseNumber()
	fields := map[string]any{}
	if err := dec.Decode(&fields); err != nil {
		return Event{}, errors.Wrap(err, "not a JSON object")
	}
	timestamp, err := event.ParseTimestamp(fieldText(fields["stamp"]))
	if err != nil {
		return Event{}, err
	}
	e := Event{Timestamp: timestamp, Process: fieldText(fields["process"]), Name: fieldText(fields["msg"]), Fields: fields, Raw: line}
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

// fieldText returns the value of a field as text: strings as they are, other values as JSON, a missing one as "".
func fieldText(value any) string {
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

// String returns the event as one line of text, with the fields in the order of their names.
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
		fmt.Fprintf(&b, "  %s=%s", key, quoteIfNeeded(fieldText(e.Fields[key])))
	}
	return b.String()
}

// quoteIfNeeded quotes an empty value, and one whose spaces, quotation marks or control characters would break the line
// or run into the next field.
func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsFunc(value, func(r rune) bool { return r == ' ' || r == '"' || unicode.IsControl(r) }) {
		return fmt.Sprintf("%q", value)
	}
	return value
}
