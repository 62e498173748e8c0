package fleet

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// report prints the time from the edit of the file until each node had the change in force.
func (r *run) report() error {
	delays := hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
	missing := 0
	for _, v := range r.fleet.VMs() {
		times, err := inForce(r.fleet.EventFile(v.NodeName()))
		if err != nil {
			return err
		}
		for number, written := range r.written {
			at, ok := newest(times, number)
			if !ok {
				missing++
				continue
			}
			_ = delays.RecordValue(max(at.Sub(written).Milliseconds(), 0))
		}
	}
	fmt.Fprintf(r.cfg.Output, "in force, ms from the edit of the file: n %d, missing %d, p50 %d, p90 %d, p99 %d, max %d\n",
		delays.TotalCount(), missing, delays.ValueAtQuantile(50), delays.ValueAtQuantile(90), delays.ValueAtQuantile(99), delays.Max())
	if missing > 0 {
		return errors.Newf("%d times a change was not in force at a node %s after the last edit", missing, settleTime)
	}
	return nil
}

// newest returns when a node had change number or a later one in force; a node may skip changes that follow each other quickly.
func newest(times map[uint64]time.Time, number uint64) (time.Time, bool) {
	var first time.Time
	for n, at := range times {
		if n >= number && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}
