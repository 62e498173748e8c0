package backend

import (
	"cmp"
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"pollenhill.example/core/coordination/admission"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/instance"
	"pollenhill.example/node/coordination/observer"
	"pollenhill.example/node/protocol/message"
)

// Serve submits an attempt for admission and sends it to the back end once it is started. It returns the response, or a
// refusal, and never nil; ctx ends when the entry node cancels the attempt.
func (b *Backend) Serve(ctx context.Context, a message.Attempt, req *message.Request) *message.Reply {
	commands := b.cfg.Engine.SubmitAttempt(destination.Arrive{
		ID:          a.ID,
		Incarnation: a.Incarnation,
		Service:     a.Service,
		Deadline:    a.Deadline,
		Priority:    a.Priority,
		Rank:        a.Rank,
		Account:     a.Account,
		Nested:      a.Nested,
		Depth:       a.Depth,
		Route:       a.Route,
		Objective:   a.Objective,
		Rerun:       a.Rerun,
		Movable:     a.Movable,
		KnownLimit:  a.KnownLimit,
	})
	var cmd destination.Cmd
	select {
	case cmd = <-commands:
	case <-ctx.Done():
		// The model refuses the attempt if it is still queued; otherwise it has started it already.
		b.cfg.Engine.UpdateDestination(destination.ConnectionLost{ID: a.ID})
		cmd = <-commands
	}
	if r, ok := cmd.(destination.Refuse); ok {
		b.logRefusal(a, r)
		b.logOverload(a, r)
		return b.refusalReply(a, refusal.Refusal{Reason: r.Reason, Outcome: r.Outcome, RetryAfter: r.RetryAfter})
	}
	return b.runAttempt(ctx, a, req, commands)
}

// logRefusal logs a refusal with the state and load of the back end; the field peer is the entry node.
func (b *Backend) logRefusal(a message.Attempt, r destination.Refuse) {
	fields, ok := b.logLimiter.Allow()
	if !ok {
		return
	}
	v := b.cfg.Engine.View().Admission
	fields = append(fields, zap.String("attempt", a.ID.String()), zap.String("peer", a.ID.Node),
		zap.String("service", a.Service), zap.Stringer("reason", r.Reason), zap.Stringer("outcome", r.Outcome),
		zap.Stringer("state", v.State), zap.Int("inflight", v.Hint.Inflight), zap.Int("queued", v.Hint.Queued),
		zap.Int("limit", v.Hint.Limit), zap.Float64("pace", v.Hint.Slowdown), zap.Duration("age", time.Since(b.LoadReport().ReceivedAt)))
	b.cfg.Events.Emit(event.AttemptRefused, fields...)
}

func (b *Backend) refusalReply(a message.Attempt, f refusal.Refusal) *message.Reply {
	f.Node = b.cfg.Node
	f.Depth = a.Depth
	return message.RefusalReply(f)
}

// runAttempt sends a started attempt to the back end and reports destination.Done exactly once. The deadline of the attempt
// holds until the last byte of the body.
func (b *Backend) runAttempt(ctx context.Context, a message.Attempt, req *message.Request, commands <-chan destination.Cmd) *message.Reply {
	ctx, cancel := context.WithCancelCause(ctx)
	finished := make(chan struct{})
	go func() {
		select {
		case <-commands:
			cancel(errCancelled)
		case <-finished:
		}
	}()
	deadlineTimer := time.AfterFunc(time.Until(a.Deadline), func() { cancel(errDeadlinePassed) })
	start, slowdown := time.Now(), max(1, b.cfg.Engine.View().Admission.Hint.Slowdown)
	endParent := b.startParent(a, req)
	stop := sync.OnceFunc(func() { deadlineTimer.Stop(); close(finished); cancel(nil); endParent() })
	reply, result, ended := b.exchange(ctx, a, req)
	latency := time.Since(start)
	done := func(result admission.Result) {
		if result == admission.Reset && errors.Is(context.Cause(ctx), errDeadlinePassed) {
			result = admission.Failed
		}
		b.cfg.Engine.UpdateDestination(destination.Done{ID: a.ID, Result: result, Latency: latency})
		if ended == nil {
			b.observe(a, reply, result, scale(latency, slowdown))
		}
		stop()
	}
	switch {
	case ended != nil:
		// The attempt has failed or was cancelled, but the back end may still run it. It stays in flight until the back end
		// has ended it, so that no other attempt starts in its place.
		b.observe(a, reply, result, scale(latency, slowdown))
		go func() {
			<-ended
			done(result)
		}()
		return reply
	case reply.Body == nil || reply.Buffered:
		done(result)
		return reply
	}
	reply.Body = &message.TrackedBody[admission.Result]{
		ReadCloser: reply.Body, Complete: result, Failed: admission.Reset, Closed: admission.Aborted, Done: done,
	}
	return reply
}

// scale returns the time that an attempt would have taken without the slowdown at its start, which is that of the VM and not
// of the version.
func scale(latency time.Duration, slowdown float64) time.Duration {
	return time.Duration(float64(latency) / slowdown)
}

// observe counts the end of an attempt that the back end ran, for a rollout of its service. An attempt that was cancelled had
// waited for its answer that long.
func (b *Backend) observe(a message.Attempt, reply *message.Reply, result admission.Result, latency time.Duration) {
	if b.cfg.Observer == nil || result == admission.Shed || reply.Outcome == attempt.NotRun {
		return
	}
	b.cfg.Observer.Record(observer.Answer{
		Route:    a.Route,
		Failed:   result == admission.Failed || result == admission.Reset,
		Duration: latency,
		Cold:     b.cfg.Engine.View().Admission.State == admission.Cold,
	})
}

// Causes for which the context of an attempt ends.
var (
	errCancelled      = errors.New("attempt cancelled by the entry node")
	errDeadlinePassed = errors.New("deadline of the attempt passed")
)

// exchange sends the attempt to the back end and returns the reply, or a refusal if there is no valid response. If the
// back end may still run the attempt, the channel is not nil and closes when that has ended or cancelledRequestTimeout
// has passed.
func (b *Backend) exchange(ctx context.Context, a message.Attempt, req *message.Request) (*message.Reply, admission.Result, <-chan struct{}) {
	pool, id := b.poolAndInstance()
	if pool == nil {
		return b.refusalReply(a, refusal.Refusal{Reason: refusal.NoBackend, Outcome: attempt.NotRun}), admission.Aborted, nil
	}
	h := b.requestHeader(a, req, id)
	b.sent.record(time.Now(), AttemptRequest)
	resp, err := pool.Exchange(ctx, h, req.Body)
	if err != nil {
		b.reportExchangeError(ctx, err)
		return b.failedExchangeReply(ctx, a, err)
	}
	reply := &message.Reply{Length: resp.Length}
	resp.Header.CopyTo(&reply.Header)
	if resp.Length != 0 {
		reply.Body = resp.Body
	}
	if err := reply.Buffer(b.cfg.MaxBufferedBytes, b.cfg.BufferMemory); err != nil {
		return b.failedExchangeReply(ctx, a, err)
	}
	b.readLoadHeader(&reply.Header)
	b.readCondition(&reply.Header, id, AttemptRequest)
	if err := b.setOutcome(reply, a); err != nil {
		reply.Close()
		return b.failedExchangeReply(ctx, a, err)
	}
	message.StripHopByHop(&reply.Header)
	if reply.Outcome != attempt.Answered {
		if reply.Refusal.Reason == refusal.NoBackend {
			b.updateInstance(instance.Gone{})
		}
		refused, result := b.backendRefusalReply(reply)
		return refused, result, nil
	}
	if reply.Header.StatusCode() >= fasthttp.StatusInternalServerError {
		return reply, admission.Failed, nil
	}
	return reply, admission.Good, nil
}

// requestHeader returns the header of the request to the back end, with the announced name id as its target.
func (b *Backend) requestHeader(a message.Attempt, req *message.Request, id string) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	req.Header.CopyTo(h)
	h.SetNoDefaultContentType(true)
	b.removeForeignIdentity(h, a)
	h.Set(cmp.Or(b.cfg.Headers.Deadline, attempt.HeaderDeadline), message.DeadlineValue(a.Deadline, time.Now()))
	h.Set(attempt.HeaderDepth, strconv.Itoa(a.Depth+1))
	if name := b.cfg.Headers.TargetInstance; name != "" && id != "" {
		h.Set(name, id)
	}
	return h
}

// reportExchangeError tells the instance model that the back end refused a connection or broke one, unless the attempt
// was cancelled or its deadline passed.
func (b *Backend) reportExchangeError(ctx context.Context, err error) {
	var step *tcp.Error
	if ctx.Err() != nil || !errors.As(err, &step) {
		return
	}
	switch step.Step {
	case tcp.Connect:
		b.updateInstance(instance.Gone{})
	case tcp.WriteRequest, tcp.ReadHeader:
		b.updateInstance(instance.ConnectionBroken{})
	}
}

// logLostAttempt logs an attempt that ended without a valid response of the back end, with the error that ended it.
func (b *Backend) logLostAttempt(a message.Attempt, err error) {
	if fields, ok := b.logLimiter.Allow(); ok {
		b.cfg.Events.Emit(event.AttemptLost, append(fields, zap.String("attempt", a.ID.String()), zap.String("peer", a.ID.Node),
			zap.String("service", a.Service), zap.NamedError("cause", err))...)
	}
}

// failedExchangeReply returns the refusal, result and channel for a failed exchange. The attempt was not run if no byte
// of it was written; otherwise its outcome is unknown.
func (b *Backend) failedExchangeReply(ctx context.Context, a message.Attempt, err error) (*message.Reply, admission.Result, <-chan struct{}) {
	f := refusal.Refusal{Reason: refusal.ConnectionBroken, Outcome: attempt.Unknown, RetryAfter: time.Second}
	result := admission.Reset
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadlinePassed):
		f.Reason = refusal.Timeout
		result = admission.Failed
	case cause != nil:
		f.Reason = refusal.Cancelled
		result = admission.Aborted
	}
	if f.Reason != refusal.Cancelled {
		b.logLostAttempt(a, err)
	}
	var step *tcp.Error
	var ended <-chan struct{}
	if errors.As(err, &step) {
		ended = step.PeerDone
	}
	if step != nil && !step.WroteAny {
		f.Outcome = attempt.NotRun
		if f.Reason == refusal.ConnectionBroken {
			f.Reason = refusal.NoBackend
		}
	}
	return b.refusalReply(a, f), result, ended
}

// maxDiscardedBytes is how much of the body of a refusal is read, in bytes, so that its connection can be used again.
const maxDiscardedBytes = 4 << 10

// backendRefusalReply returns the refusal of the attempt for a refusal by the back end or one that it passes on.
func (b *Backend) backendRefusalReply(reply *message.Reply) (*message.Reply, admission.Result) {
	if reply.Body != nil {
		_, _ = io.CopyN(io.Discard, reply.Body, maxDiscardedBytes)
		reply.Close()
	}
	f := reply.Refusal
	if f.Node == "" {
		f.Node = b.cfg.Node
	}
	return message.RefusalReply(f), admission.Shed
}
