package arrival

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pollenhill.example/core/coordination/pause"
)

// Process starts requests at exponentially distributed intervals.
type Process struct {
	cfg Config
}

// Config sets the rate and the concurrency limit of a Process.
type Config struct {
	Rate        float64    // requests per second
	MaxInFlight int        // requests in flight at once; arrivals above it are dropped and counted
	Rand        *rand.Rand // source of the intervals
}

// New returns a Process.
func New(cfg Config) *Process {
	return &Process{cfg: cfg}
}

// Run calls send in a goroutine for every arrival until ctx ends, waits for all calls and returns the number of dropped
// arrivals. n counts all arrivals from 0.
func (p *Process) Run(ctx context.Context, send func(n int)) int {
	var wg sync.WaitGroup
	slots := make(chan struct{}, p.cfg.MaxInFlight)
	dropped := 0
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(p.cfg.Rand.ExpFloat64() / p.cfg.Rate * float64(time.Second)))
		if !pause.For(ctx, time.Until(next)) {
			break
		}
		select {
		case slots <- struct{}{}:
			wg.Go(func() {
				send(n)
				<-slots
			})
		default:
			dropped++
		}
	}
	wg.Wait()
	return dropped
}
