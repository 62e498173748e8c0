package backend

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/destination"
)

// maxCheckBodyBytes is the longest body with which a health check or a load poll has an answer, in bytes. A faulty back end may
// send one without end.
const maxCheckBodyBytes = 64 << 10

// maxLoadReportBytes is how much of a response to a probe is read, in bytes; the rest of a load report is dropped.
const maxLoadReportBytes = 256

// Probe runs one probe in the background and reports its result to the engine. At cmd.Deadline its connection is closed.
func (b *Backend) Probe(cmd destination.Probe) {
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), cmd.Deadline)
		defer cancel()
		result := b.runProbe(ctx, cmd.Path)
		b.cfg.Engine.UpdateDestination(destination.ProbeDone{ID: cmd.ID, Path: cmd.Path, Result: result})
	}()
}

// runProbe sends one probe. It is inconclusive if it ran out of time or all connections were in use, since that says
// nothing about the back end.
func (b *Backend) runProbe(ctx context.Context, path string) destination.ProbeResult {
	pool := b.currentPool()
	if pool == nil {
		return destination.Inconclusive
	}
	b.recordCheck()
	resp, err := pool.Exchange(ctx, getRequestHeader(path, pool.Address()), nil)
	if err != nil {
		var step *tcp.Error
		if ctx.Err() != nil || errors.As(err, &step) && step.Step == tcp.AcquireConnection {
			return destination.Inconclusive
		}
		return destination.Unhealthy
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadReportBytes))
	switch {
	case err != nil:
		return destination.Inconclusive
	case resp.Header.StatusCode() >= fasthttp.StatusInternalServerError:
		return destination.Unhealthy
	case resp.Header.StatusCode() >= fasthttp.StatusBadRequest:
		return destination.Inconclusive // the back end has no such endpoint
	}
	if path == destination.PathLoad {
		b.storeLoadReport(string(text))
	}
	return destination.Healthy
}
