package observation

import (
	"math"
	"time"
)

const (
	// Interval is the time between two observations that a node sends.
	Interval = 500 * time.Millisecond

	// Buckets is the number of buckets for times; the last one begins at 11.6 s.
	Buckets = 28

	firstBound       = time.Millisecond
	bucketsPerDouble = 2
)

// Bucket returns the index of the bucket for a time. The bounds of the buckets rise by a factor of 1.41 from one millisecond.
func Bucket(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	return min(int(math.Ceil(math.Log2(float64(d)/float64(firstBound))*bucketsPerDouble)), Buckets-1)
}
