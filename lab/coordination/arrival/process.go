package arrival

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pollenhill.example/core/coordination/pause"
)

// Process is an open-loop Poisson arrival process.
type Process struct {
	cfg Config
}

// Config sets the rate and the limit of a Process.
type Config struct {
	Rate        float64 // requests a second
	MaxInFlight int     // requests at once; an arrival above it is dropped and counted
	Rand        *rand.Rand
}

// New returns a Process.
func New(cfg Config) *Process {
	return &Process{cfg: cfg}
}

// Run starts do for every arrival until ctx ends, waits for all of them and returns the arrivals dropped.
func (p *Process) Run(ctx context.Context, do func(n int)) int {
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
				do(n)
				<-slots
			})
		default:
			dropped++
		}
	}
	wg.Wait()
	return dropped
}
