package demo

import (
	"fmt"
	"sync"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/lab/state/requeststats"
	"pollenhill.example/lab/transport/node"
)

func (d *demonstration) sendLookup(n int) {
	phase := d.currentPhase()
	d.recordResult(requeststats.Lookup, phase, d.runningCaller(n).Lookup(fmt.Sprintf("l%d", n)))
}

func (d *demonstration) sendDownload(n int) {
	phase := d.currentPhase()
	d.recordResult(requeststats.Download, phase, d.runningCaller(n).Download(downloadSize))
}

func (d *demonstration) sendReservation(n int) {
	phase, id := d.currentPhase(), fmt.Sprintf("r%d", n)
	res := d.runningCaller(n).Reserve(id, "")
	d.recordResult(requeststats.Reservation, phase, res)
	d.outcomes.Record(id, knownOutcome(res))
}

// sendKeyedReservations sends the same reservation with the same Idempotency-Key to two nodes at the same time.
func (d *demonstration) sendKeyedReservations(n int) {
	phase, id := d.currentPhase(), fmt.Sprintf("k%d", n)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			res := d.runningCaller(n+i).Reserve(id, id)
			d.recordResult(requeststats.KeyedReservation, phase, res)
			d.outcomes.Record(id, knownOutcome(res))
		})
	}
	wg.Wait()
}

// knownOutcome returns what the caller knows of a reservation: after an incomplete response, it cannot know whether the
// reservation ran.
func knownOutcome(res node.Result) attempt.Outcome {
	switch {
	case res.Complete:
		return attempt.Answered
	case res.Outcome == attempt.NotRun:
		return attempt.NotRun
	}
	return attempt.Unknown
}
