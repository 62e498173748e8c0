package observation_test

import (
	"testing"
	"time"

	"pollenhill.example/core/protocol/observation"
)

// Guards against times that fall outside of the buckets, and against one that takes twice as long but cannot be told apart.
func TestBucket(t *testing.T) {
	for _, d := range []time.Duration{-1, 0, time.Millisecond, time.Hour} {
		if b := observation.Bucket(d); b < 0 || b >= observation.Buckets {
			t.Errorf("bucket %d for %v", b, d)
		}
	}
	for d := 2 * time.Millisecond; d < 5*time.Second; d += 7 * time.Millisecond {
		if step := observation.Bucket(2*d) - observation.Bucket(d); step != 2 {
			t.Errorf("%v is %d buckets above %v", 2*d, step, d)
		}
	}
}
