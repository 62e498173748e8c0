package pause

import (
	"context"
	"sync/atomic"
	"time"
)

// Detector notices that its process did not run for a while, as one that is stopped or starved; it is safe for concurrent use.
type Detector struct {
	started  time.Time
	lastTick atomic.Int64 // nanoseconds after started
	resumed  atomic.Int64 // end of the last pause in nanoseconds after started, 0 for none
}

const (
	detectorInterval = 50 * time.Millisecond
	minPause         = 500 * time.Millisecond // shorter ones are scheduling delays
)

// NewDetector returns a Detector that has seen no pause; it needs Run.
func NewDetector() *Detector { return &Detector{started: time.Now()} }

// Run watches the process until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	for For(ctx, detectorInterval) {
		d.tick()
	}
}

// tick records a pause that has ended.
func (d *Detector) tick() {
	now := int64(time.Since(d.started))
	if time.Duration(now-d.lastTick.Swap(now)) >= minPause {
		d.resumed.Store(now)
	}
}

// ResumedWithin reports whether a pause has ended in the given time before now.
func (d *Detector) ResumedWithin(period time.Duration) bool {
	d.tick()
	resumed := d.resumed.Load()
	return resumed > 0 && time.Since(d.started)-time.Duration(resumed) <= period
}
