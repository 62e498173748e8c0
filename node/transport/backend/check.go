package backend

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/destination"
)

// maxLoad bounds what is kept of a load report, in bytes.
const maxLoad = 256

// Probe carries out one check of the back end without waiting for it; its connection closes at the end of its budget.
func (b *Backend) Probe(cmd destination.Probe) {
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), cmd.Deadline)
		defer cancel()
		finding := b.inspect(ctx, cmd.Path)
		b.cfg.Engine.UpdateDestination(destination.ProbeDone{ID: cmd.ID, Path: cmd.Path, Result: finding})
	}()
}

// inspect tells a failed check from one that only ran out of its budget, which proves nothing.
func (b *Backend) inspect(ctx context.Context, path string) destination.ProbeResult {
	pool := b.current()
	if pool == nil {
		return destination.Inconclusive
	}
	resp, err := pool.Exchange(ctx, check(path, pool.Address()), nil)
	if err != nil {
		var step *tcp.Error
		if ctx.Err() != nil || errors.As(err, &step) && step.Step == tcp.AcquireConnection {
			return destination.Inconclusive
		}
		return destination.Unhealthy
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxLoad))
	switch {
	case err != nil:
		return destination.Inconclusive
	case resp.Header.StatusCode() >= fasthttp.StatusInternalServerError:
		return destination.Unhealthy
	case resp.Header.StatusCode() >= fasthttp.StatusBadRequest:
		return destination.Inconclusive // the back end has no such endpoint
	}
	if path == destination.PathLoad {
		b.report(string(text))
	}
	return destination.Healthy
}

// LoadReport is the newest load report of the back end, as it was written.
type LoadReport struct {
	Text       string
	ReceivedAt time.Time
}

func (b *Backend) report(text string) {
	b.load.Store(&LoadReport{Text: text, ReceivedAt: time.Now()})
}

// LoadReport returns the newest load report; admission does not use it, since such reports are stale or wrong.
func (b *Backend) LoadReport() LoadReport {
	if l := b.load.Load(); l != nil {
		return *l
	}
	return LoadReport{}
}
