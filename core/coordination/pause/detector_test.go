package pause_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pollenhill.example/core/coordination/pause"
)

// Guards against a pause of the process that is noticed only by the next tick, or counts forever.
func TestDetectorNoticesPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Without Run the process seems to have stopped between two calls.
		d := pause.NewDetector()
		if d.ResumedWithin(time.Second) {
			t.Error("a pause at the start")
		}
		<-time.After(2 * time.Second)
		if !d.ResumedWithin(time.Second) {
			t.Error("the pause is not noticed")
		}
		for range 30 {
			<-time.After(50 * time.Millisecond)
			d.ResumedWithin(time.Second)
		}
		if d.ResumedWithin(time.Second) {
			t.Error("the pause counts although it ended long ago")
		}
	})
}
