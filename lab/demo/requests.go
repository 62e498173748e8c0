package demo

import (
	"fmt"
	"sync"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/lab/state/requeststats"
	"pollenhill.example/lab/transport/node"
)

func (r *run) lookup(n int) {
	phase := r.now()
	r.add(requeststats.Lookup, phase, r.any(n).Lookup(fmt.Sprintf("l%d", n)))
}

func (r *run) download(n int) {
	phase := r.now()
	r.add(requeststats.Download, phase, r.any(n).Download(downloadSize))
}

func (r *run) reserve(n int) {
	phase, id := r.now(), fmt.Sprintf("r%d", n)
	res := r.any(n).Reserve(id, "")
	r.add(requeststats.Reservation, phase, res)
	r.notes.Record(id, outcome(res))
}

// keyed sends the same reservation with the same key to two nodes at once.
func (r *run) keyed(n int) {
	phase, id := r.now(), fmt.Sprintf("k%d", n)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			res := r.any(n+i).Reserve(id, id)
			r.add(requeststats.KeyedReservation, phase, res)
			r.notes.Record(id, outcome(res))
		})
	}
	wg.Wait()
}

// outcome returns what the caller knows: an incomplete answer leaves it open whether the reservation ran.
func outcome(res node.Result) attempt.Outcome {
	switch {
	case res.Complete:
		return attempt.Answered
	case res.Outcome == attempt.NotRun:
		return attempt.NotRun
	}
	return attempt.Unknown
}
