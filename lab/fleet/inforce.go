package fleet

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/event"
)

// eventRecord has the fields of an event that the measurement needs.
type eventRecord struct {
	Event  event.Kind `json:"event"`
	Stamp  string     `json:"stamp"`
	Number uint64     `json:"number"`
}

// readInForceTimes reads from an event file when a node first applied each change, by change number.
func readInForceTimes(path string) (map[uint64]time.Time, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read events")
	}
	defer f.Close()
	times := map[uint64]time.Time{}
	for s := bufio.NewScanner(f); s.Scan(); {
		var r eventRecord
		if err := json.Unmarshal(s.Bytes(), &r); err != nil {
			return nil, errors.Wrapf(err, "read events of %s", path)
		}
		if r.Event != event.RulesApplied {
			continue
		}
		stamp, err := event.ParseTimestamp(r.Stamp)
		if err != nil {
			return nil, errors.Wrapf(err, "read events of %s", path)
		}
		if _, seen := times[r.Number]; !seen {
			times[r.Number] = time.UnixMicro(stamp.WallMicros)
		}
	}
	return times, nil
}
