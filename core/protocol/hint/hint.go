package hint

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Hint is the load of one back end as its destination node saw it when it wrote the response.
type Hint struct {
	Inflight int           // requests at the back end
	Queued   int           // requests waiting at the destination node
	Limit    int           // requests that admission currently lets through at once
	Latency  time.Duration // smoothed service time, microsecond resolution
}

// String returns the form that Parse reads.
func (h Hint) String() string {
	return fmt.Sprintf("%d %d %d %d", h.Inflight, h.Queued, h.Limit, h.Latency.Microseconds())
}

// Parse reads the form written by String.
func Parse(s string) (Hint, error) {
	var h Hint
	var us int64
	if _, err := fmt.Sscanf(s, "%d %d %d %d", &h.Inflight, &h.Queued, &h.Limit, &us); err != nil {
		return Hint{}, errors.Wrapf(err, "parse hint %q", s)
	}
	h.Latency = time.Duration(us) * time.Microsecond
	return h, nil
}
