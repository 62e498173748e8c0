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
	"pollenhill.example/node/protocol/message"
)

// Serve admits one attempt and carries it out at the back end; ctx ends when the entry node gives it up.
func (b *Backend) Serve(ctx context.Context, a message.Attempt, req *message.Request) *message.Reply {
	effects := b.cfg.Engine.SubmitAttempt(destination.Arrive{
		ID:          a.ID,
		Incarnation: a.Incarnation,
		Service:     a.Service,
		Deadline:    a.Deadline,
		Priority:    a.Priority,
		Depth:       a.Depth,
		Route:       a.Route,
		Objective:   a.Objective,
		Rerun:       a.Rerun,
		Movable:     a.Movable,
	})
	var cmd destination.Cmd
	select {
	case cmd = <-effects:
	case <-ctx.Done():
		// The model answers with a refusal, or starts the attempt if it was about to.
		b.cfg.Engine.UpdateDestination(destination.ConnectionLost{ID: a.ID})
		cmd = <-effects
	}
	if r, ok := cmd.(destination.Refuse); ok {
		b.log(a, r)
		return b.refuse(a, refusal.Refusal{Reason: r.Reason, Outcome: r.Outcome, RetryAfter: r.RetryAfter})
	}
	return b.run(ctx, a, req, effects)
}

// log records a refusal, with the entry node as peer.
func (b *Backend) log(a message.Attempt, r destination.Refuse) {
	fields, ok := b.logged.Allow()
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

func (b *Backend) refuse(a message.Attempt, f refusal.Refusal) *message.Reply {
	f.Node = b.cfg.Node
	f.Depth = a.Depth
	return message.RefusalReply(f)
}

// run carries out a started attempt; it reports Done exactly once.
func (b *Backend) run(ctx context.Context, a message.Attempt, req *message.Request, effects <-chan destination.Cmd) *message.Reply {
	ctx, cancel := context.WithCancelCause(ctx)
	over := make(chan struct{})
	go func() {
		select {
		case <-effects:
			cancel(errAborted)
		case <-over:
		}
	}()
	late := time.AfterFunc(time.Until(a.Deadline), func() { cancel(errLate) })
	began := time.Now()
	finish := sync.OnceFunc(func() { close(over); cancel(nil) })
	reply, result, ended := b.exchange(ctx, a, req)
	late.Stop()
	took := time.Since(began)
	done := func(result admission.Result) {
		b.cfg.Engine.UpdateDestination(destination.Done{ID: a.ID, Result: result, Latency: took})
		finish()
	}
	switch {
	case ended != nil:
		// The attempt was given up, but the back end may still run it and must not get another in its place.
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

var (
	errAborted = errors.New("cancelled by the entry node")
	errLate    = errors.New("deadline passed")
)

// exchange returns the reply, or a refusal and a channel that is closed when the back end has ended the attempt.
func (b *Backend) exchange(ctx context.Context, a message.Attempt, req *message.Request) (*message.Reply, admission.Result, <-chan struct{}) {
	pool, id := b.instance()
	if pool == nil {
		return b.refuse(a, refusal.Refusal{Reason: refusal.NoBackend, Outcome: attempt.NotRun}), admission.Aborted, nil
	}
	h := b.header(a, req, id)
	resp, err := pool.Exchange(ctx, h, req.Body)
	if err != nil {
		b.missed(ctx, err)
		return b.broken(ctx, a, err)
	}
	reply := &message.Reply{Length: resp.Length}
	resp.Header.CopyTo(&reply.Header)
	if resp.Length != 0 {
		reply.Body = resp.Body
	}
	if err := reply.Buffer(b.cfg.MaxBufferedBytes); err != nil {
		return b.broken(ctx, a, err)
	}
	b.measure(&reply.Header)
	if err := b.verify(reply, a); err != nil {
		reply.Close()
		return b.broken(ctx, a, err)
	}
	message.StripHopByHop(&reply.Header)
	if reply.Outcome != attempt.Answered {
		if reply.Refusal.Reason == refusal.NoBackend {
			b.observe(instance.Gone{})
		}
		refused, result := b.passOn(reply)
		return refused, result, nil
	}
	if reply.Header.StatusCode() >= fasthttp.StatusInternalServerError {
		return reply, admission.Failed, nil
	}
	return reply, admission.Good, nil
}

// header returns the request header for the back end.
func (b *Backend) header(a message.Attempt, req *message.Request, id string) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	req.Header.CopyTo(h)
	h.SetNoDefaultContentType(true)
	h.Set(cmp.Or(b.cfg.Headers.Deadline, attempt.HeaderDeadline), message.DeadlineValue(a.Deadline, time.Now()))
	h.Set(attempt.HeaderDepth, strconv.Itoa(a.Depth+1))
	if name := b.cfg.Headers.TargetInstance; name != "" && id != "" {
		h.Set(name, id)
	}
	return h
}

// missed tells presence what a failed exchange says of the back end.
func (b *Backend) missed(ctx context.Context, err error) {
	var step *tcp.Error
	if ctx.Err() != nil || !errors.As(err, &step) {
		return
	}
	switch step.Step {
	case tcp.Connect:
		b.observe(instance.Gone{})
	case tcp.WriteRequest, tcp.ReadHeader:
		b.observe(instance.ConnectionBroken{})
	}
}

// Errors of responses that the back end did not make.
var (
	errSeal     = errors.New("response has no seal")
	errEncoding = errors.New("response has a content encoding that was not asked for")
	errPromise  = errors.New("response says that the request may come again, but not that it did not run")
)

// lost records an attempt that ended without a response of the back end, with what ended it.
func (b *Backend) lost(a message.Attempt, err error) {
	if fields, ok := b.logged.Allow(); ok {
		b.cfg.Events.Emit(event.AttemptLost, append(fields, zap.String("attempt", a.ID.String()), zap.String("peer", a.ID.Node),
			zap.String("service", a.Service), zap.NamedError("cause", err))...)
	}
}

// verify fills in the outcome of a response, or returns why it must not reach the caller.
func (b *Backend) verify(reply *message.Reply, a message.Attempt) error {
	names := b.cfg.Headers
	if names.BackendMarker == "" {
		message.ReadOutcome(reply, a.Depth)
		return nil
	}
	h := &reply.Header
	code := h.StatusCode()
	switch {
	case code == fasthttp.StatusMisdirectedRequest:
		reply.Refusal = refusal.Refusal{Reason: refusal.NoBackend, Outcome: attempt.NotRun, Depth: a.Depth}
	case len(h.Peek(names.NotRun)) > 0:
		reply.Refusal = refusal.Refusal{Reason: refusal.Shed, Outcome: attempt.NotRun, Depth: a.Depth}
	case len(h.Peek(names.BackendMarker)) == 0:
		return errSeal
	case len(h.Peek(fasthttp.HeaderContentEncoding)) > 0:
		return errEncoding
	case code == fasthttp.StatusServiceUnavailable, code == fasthttp.StatusTooManyRequests, code == fasthttp.StatusRequestTimeout:
		return errPromise
	default:
		reply.Outcome = attempt.Answered
		return nil
	}
	reply.Outcome = attempt.NotRun
	return nil
}

// broken says what a failed exchange proves: without a byte written the back end cannot have run it.
func (b *Backend) broken(ctx context.Context, a message.Attempt, err error) (*message.Reply, admission.Result, <-chan struct{}) {
	f := refusal.Refusal{Reason: refusal.ConnectionBroken, Outcome: attempt.Unknown, RetryAfter: time.Second}
	result := admission.Reset
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errLate):
		f.Reason = refusal.Timeout
		result = admission.Failed
	case cause != nil:
		f.Reason = refusal.Cancelled
		result = admission.Aborted
	}
	if f.Reason != refusal.Cancelled {
		b.lost(a, err)
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
	return b.refuse(a, f), result, ended
}

// smallBody is how much of a refusal's body is read to keep its connection, in bytes.
const smallBody = 4 << 10

// passOn turns a refusal by the back end, or one that it passes on, into a refusal of the attempt.
func (b *Backend) passOn(reply *message.Reply) (*message.Reply, admission.Result) {
	if reply.Body != nil {
		_, _ = io.CopyN(io.Discard, reply.Body, smallBody)
		reply.Close()
	}
	f := reply.Refusal
	if f.Node == "" {
		f.Node = b.cfg.Node
	}
	return message.RefusalReply(f), admission.Shed
}
