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
	Limit        int           // concurrency limit of the back end, in requests
	ServiceTime  time.Duration // mean of recent requests, sent in microseconds
	Slowdown     float64       // current service time over its normal value, 0 if the back end does not report it
	FailureShare float64       // 0 to 1: share of recent requests that the back end failed, aborted or did not answer in time
}

const (
	// percent scales Slowdown and FailureShare to the integers that are sent.
	percent = 100
	// requiredFields is the number of fields that every hint has; Slowdown and FailureShare may be absent.
	requiredFields = 4
	// maxFields is the number of fields that Parse reads; further ones are ignored.
	maxFields = requiredFields + 2
)

// String returns the form that Parse reads.
func (h Hint) String() string {
	return fmt.Sprintf("%d %d %d %d %d %d", h.Inflight, h.Queued, h.Limit, h.ServiceTime.Microseconds(),
		int(percent*h.Slowdown), int(percent*h.FailureShare))
}

// Parse reads the form written by Hint.String and returns an error if a field is missing or not a number.
func Parse(s string) (Hint, error) {
	fields := strings.Split(s, " ")
	if len(fields) < requiredFields {
		return Hint{}, errors.Newf("parse hint %q: %d fields, want at least %d", s, len(fields), requiredFields)
	}
	var n [maxFields]int
	for i, field := range fields[:min(len(fields), len(n))] {
		var err error
		if n[i], err = strconv.Atoi(field); err != nil {
			return Hint{}, errors.Wrapf(err, "parse hint %q", s)
		}
	}
	return Hint{
		Inflight:     n[0],
		Queued:       n[1],
		Limit:        n[2],
		ServiceTime:  time.Duration(n[3]) * time.Microsecond,
		Slowdown:     float64(n[4]) / percent,
		FailureShare: float64(n[5]) / percent,
	}, nil
}
