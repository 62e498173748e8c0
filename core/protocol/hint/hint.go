package hint

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/requestlimit"
)

// Hint is the load of one back end as its destination node saw it when it wrote the response.
type Hint struct {
	Inflight     int           // requests at the back end
	Queued       int           // requests waiting at the destination node
	Limit        int           // concurrency limit of the back end, in requests
	ServiceTime  time.Duration // mean of recent requests, sent in microseconds
	Slowdown     float64       // current service time over its normal value, 0 if the back end does not report it
	FailureShare float64       // 0 to 1: share of recent requests that the back end failed, aborted or did not answer in time

	RequestLimit requestlimit.Limit // as the back end named it
	RequestShare float64            // 0 to 1: share of the attempts that entry nodes should send to stay within RequestLimit
}

const (
	// percent scales Slowdown and FailureShare to the integers that are sent.
	percent = 100
	// requiredFields is the number of fields that every hint has; Slowdown and FailureShare may be absent.
	requiredFields = 4
	// numberFields is the number of fields that are whole numbers; RequestLimit and RequestShare follow them.
	numberFields = requiredFields + 2
)

// String returns the form that Parse reads.
func (h Hint) String() string {
	numbers := fmt.Sprintf("%d %d %d %d %d %d", h.Inflight, h.Queued, h.Limit, h.ServiceTime.Microseconds(),
		int(percent*h.Slowdown), int(percent*h.FailureShare))
	if !h.RequestLimit.Known() {
		return numbers
	}
	return fmt.Sprintf("%s %s %.3f", numbers, h.RequestLimit, h.RequestShare)
}

// Parse reads the form written by Hint.String and returns an error if a field is missing or not a number.
func Parse(s string) (Hint, error) {
	fields := strings.Split(s, " ")
	if len(fields) < requiredFields {
		return Hint{}, errors.Newf("parse hint %q: %d fields, want at least %d", s, len(fields), requiredFields)
	}
	var n [numberFields]int
	for i, field := range fields[:min(len(fields), len(n))] {
		var err error
		if n[i], err = strconv.Atoi(field); err != nil {
			return Hint{}, errors.Wrapf(err, "parse hint %q", s)
		}
	}
	h := Hint{
		Inflight:     n[0],
		Queued:       n[1],
		Limit:        n[2],
		ServiceTime:  time.Duration(n[3]) * time.Microsecond,
		Slowdown:     float64(n[4]) / percent,
		FailureShare: float64(n[5]) / percent,
	}
	if len(fields) < numberFields+2 {
		return h, nil
	}
	return h.withRequestLimit(fields[numberFields], fields[numberFields+1])
}

// withRequestLimit returns h with the last two fields, or an error if one of them is malformed.
func (h Hint) withRequestLimit(limit, share string) (Hint, error) {
	var err error
	if h.RequestLimit, err = requestlimit.Parse(limit); err != nil {
		return Hint{}, err
	}
	if h.RequestShare, err = strconv.ParseFloat(share, 64); err != nil || !(h.RequestShare >= 0) {
		return Hint{}, errors.Newf("parse hint: share %q of the request limit is no number from 0", share)
	}
	return h, nil
}
