package event

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Timestamp is a time of a hybrid logical clock; timestamps are ordered by WallMicros, then by Counter.
type Timestamp struct {
	WallMicros int64  // Unix time in microseconds
	Counter    uint32 // orders events of equal wall time
}

// String returns the timestamp as WallMicros.Counter, the form that ParseTimestamp reads.
func (s Timestamp) String() string {
	return strconv.FormatInt(s.WallMicros, 10) + "." + strconv.FormatUint(uint64(s.Counter), 10)
}

// ParseTimestamp parses the form that String returns.
func ParseTimestamp(text string) (Timestamp, error) {
	wallText, counterText, ok := strings.Cut(text, ".")
	if !ok {
		return Timestamp{}, errors.Newf("parse timestamp %q: want MICROSECONDS.COUNTER", text)
	}
	wall, err := strconv.ParseInt(wallText, 10, 64)
	if err != nil {
		return Timestamp{}, errors.Wrapf(err, "parse timestamp %q", text)
	}
	counter, err := strconv.ParseUint(counterText, 10, 32)
	if err != nil {
		return Timestamp{}, errors.Wrapf(err, "parse timestamp %q", text)
	}
	return Timestamp{WallMicros: wall, Counter: uint32(counter)}, nil
}

// Clock is a hybrid logical clock: it orders causally related events of several processes although their wall clocks differ.
// It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Timestamp
}

// NewClock returns a Clock that reads the wall time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns a timestamp that is later than all timestamps returned or merged before.
func (c *Clock) Next() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixMicro()
	if wall > c.last.WallMicros {
		c.last = Timestamp{WallMicros: wall}
	} else {
		c.last.Counter++
	}
	return c.last
}

// Merge advances the clock to a timestamp received from another process, so that Next returns a later one.
func (c *Clock) Merge(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.WallMicros > c.last.WallMicros || s.WallMicros == c.last.WallMicros && s.Counter > c.last.Counter {
		c.last = s
	}
}
