package demo

import (
	"fmt"
	"sync"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/lab/state/tally"
	"pollenhill.example/lab/transport/node"
)

func (r *run) lookup(n int) {
	phase := r.now()
	r.add(tally.Lookup, phase, r.any(n).Lookup(fmt.Sprintf("l%d", n)))
}

func (r *run) download(n int) {
	phase := r.now()
	r.add(tally.Download, phase, r.any(n).Download(downloadSize))
}

func (r *run) reserve(n int) {
	phase, id := r.now(), fmt.Sprintf("r%d", n)
	res := r.any(n).Reserve(id, "")
	r.add(tally.Reservation, phase, res)
	r.notes.note(id, res)
}

// keyed sends the same reservation with the same key to two nodes at once.
func (r *run) keyed(n int) {
	phase, id := r.now(), fmt.Sprintf("k%d", n)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			res := r.any(n+i).Reserve(id, id)
			r.add(tally.Keyed, phase, res)
			r.notes.note(id, res)
		})
	}
	wg.Wait()
}

// ledger keeps what callers were told of each reservation.
type ledger struct {
	mu    sync.Mutex
	notes map[string][]node.Result
}

func newLedger() *ledger {
	return &ledger{notes: map[string][]node.Result{}}
}

func (l *ledger) note(id string, res node.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notes[id] = append(l.notes[id], res)
}

// reported summarises the results of one reservation: answered if any response was, not-run only if all were.
func reported(results []node.Result) attempt.Outcome {
	outcome := attempt.NotRun
	for _, res := range results {
		switch {
		case res.Whole:
			return attempt.Answered
		case res.Outcome != attempt.NotRun:
			outcome = attempt.Unknown
		}
	}
	return outcome
}
