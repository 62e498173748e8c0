package fleet

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// reportDelays prints percentiles of the time from the edit of the rule file until a change was in force at a node.
func (m *measurement) reportDelays() error {
	delays := hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
	missing := 0
	for _, v := range m.fleet.VMs() {
		times, err := readInForceTimes(m.fleet.EventFile(v.NodeName()))
		if err != nil {
			return err
		}
		for number, written := range m.writeTimes {
			at, ok := firstInForce(times, number)
			if !ok {
				missing++
				continue
			}
			_ = delays.RecordValue(max(at.Sub(written).Milliseconds(), 0))
		}
	}
	fmt.Fprintf(m.cfg.Output, "in force, ms from the edit of the file: n %d, missing %d, p50 %d, p90 %d, p99 %d, max %d\n",
		delays.TotalCount(), missing, delays.ValueAtQuantile(50), delays.ValueAtQuantile(90), delays.ValueAtQuantile(99), delays.Max())
	if missing > 0 {
		return errors.Newf("%d changes, counted per node, were not in force %s after the last edit", missing, inForceTimeout)
	}
	return nil
}

// firstInForce returns the first time at which the change with this number or a later one was in force at a node, and
// whether there is one. A node may skip changes that quickly follow each other.
func firstInForce(times map[uint64]time.Time, number uint64) (time.Time, bool) {
	var first time.Time
	for n, at := range times {
		if n >= number && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}
