package event

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Timestamp is a hybrid logical time: wall time in Unix microseconds and a counter that orders equal wall times.
type Timestamp struct {
	WallMicros int64
	Counter    uint32
}

// String returns the form that ParseStamp reads; equal wall times sort by count.
func (s Timestamp) String() string {
	return strconv.FormatInt(s.WallMicros, 10) + "." + strconv.FormatUint(uint64(s.Counter), 10)
}

// ParseTimestamp reads the form written by String.
func ParseTimestamp(text string) (Timestamp, error) {
	wall, count, ok := strings.Cut(text, ".")
	if !ok {
		return Timestamp{}, errors.Newf("parse stamp %q: want wall.count", text)
	}
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return Timestamp{}, errors.Wrapf(err, "parse stamp %q", text)
	}
	n, err := strconv.ParseUint(count, 10, 32)
	if err != nil {
		return Timestamp{}, errors.Wrapf(err, "parse stamp %q", text)
	}
	return Timestamp{WallMicros: w, Counter: uint32(n)}, nil
}

// Clock is a hybrid logical clock, safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Timestamp
}

// NewClock returns a Clock that reads wall time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns a stamp after every stamp returned or merged before.
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

// Merge moves the clock past a stamp received from another process.
func (c *Clock) Merge(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.WallMicros > c.last.WallMicros || s.WallMicros == c.last.WallMicros && s.Counter > c.last.Counter {
		c.last = s
	}
}
