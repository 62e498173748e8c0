package hint

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Hint is the load of one back end as its destination node saw it when it wrote the response.
type Hint struct {
	Inflight     int           // requests at the back end
	Queued       int           // requests waiting at the destination node
	Limit        int           // requests that admission currently lets through at once
	ServiceTime  time.Duration // smoothed service time, microsecond resolution
	Slowdown     float64       // how long work takes now, over its usual time; 0 if the back end does not say
	FailureShare float64       // share of recent requests that the back end failed, broke off or did not answer in time
}

// percent is the resolution of Pace and Faults on the wire; figures are those that every hint has.
const (
	percent = 100
	figures = 4
)

// String returns the form that Parse reads.
func (h Hint) String() string {
	return fmt.Sprintf("%d %d %d %d %d %d", h.Inflight, h.Queued, h.Limit, h.ServiceTime.Microseconds(),
		int(percent*h.Slowdown), int(percent*h.FailureShare))
}

// Parse reads the form written by String.
func Parse(s string) (Hint, error) {
	var h Hint
	parts := strings.Split(s, " ")
	if len(parts) < figures {
		return Hint{}, errors.Newf("parse hint %q: want %d figures", s, figures)
	}
	var n [figures + 2]int
	for i, part := range parts[:min(len(parts), len(n))] {
		var err error
		if n[i], err = strconv.Atoi(part); err != nil {
			return Hint{}, errors.Wrapf(err, "parse hint %q", s)
		}
	}
	h = Hint{Inflight: n[0], Queued: n[1], Limit: n[2], ServiceTime: time.Duration(n[3]) * time.Microsecond, Slowdown: float64(n[4]) / percent, FailureShare: float64(n[5]) / percent}
	return h, nil
}
