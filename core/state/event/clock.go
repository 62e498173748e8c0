package event

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Stamp is a hybrid logical time: wall time in Unix microseconds and a counter that orders equal wall times.
type Stamp struct {
	Wall  int64
	Count uint32
}

// String returns the form that ParseStamp reads; equal wall times sort by count.
func (s Stamp) String() string {
	return strconv.FormatInt(s.Wall, 10) + "." + strconv.FormatUint(uint64(s.Count), 10)
}

// ParseStamp reads the form written by String.
func ParseStamp(text string) (Stamp, error) {
	wall, count, ok := strings.Cut(text, ".")
	if !ok {
		return Stamp{}, errors.Newf("parse stamp %q: want wall.count", text)
	}
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return Stamp{}, errors.Wrapf(err, "parse stamp %q", text)
	}
	n, err := strconv.ParseUint(count, 10, 32)
	if err != nil {
		return Stamp{}, errors.Wrapf(err, "parse stamp %q", text)
	}
	return Stamp{Wall: w, Count: uint32(n)}, nil
}

// Clock is a hybrid logical clock, safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Stamp
}

// NewClock returns a Clock that reads wall time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns a stamp after every stamp returned or merged before.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixMicro()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Count++
	}
	return c.last
}

// Merge moves the clock past a stamp received from another process.
func (c *Clock) Merge(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Wall > c.last.Wall || s.Wall == c.last.Wall && s.Count > c.last.Count {
		c.last = s
	}
}
