package caller

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/event"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/protocol/message"
)

// Rate limits of log lines about calls, in lines per second, and bursts in lines. Failed calls get higher ones, as on-call
// engineers look for them.
const (
	failedCallsPerSecond = 50
	failedCallBurst      = 200
	servedCallsPerSecond = 5
	servedCallBurst      = 20
	refusedKeysPerSecond = 1
	refusedKeyBurst      = 10
)

// callLog logs the results of calls with their attempts; it is safe for concurrent use.
type callLog struct {
	cfg           Config
	failedLimiter *event.RateLimiter
	servedLimiter *event.RateLimiter
	keyLimiter    *event.RateLimiter // apart, as callers that guess keys must not suppress the lines of other calls
}

func newCallLog(cfg Config) callLog {
	return callLog{
		cfg:           cfg,
		failedLimiter: event.NewRateLimiter(failedCallsPerSecond, failedCallBurst),
		servedLimiter: event.NewRateLimiter(servedCallsPerSecond, servedCallBurst),
		keyLimiter:    event.NewRateLimiter(refusedKeysPerSecond, refusedKeyBurst),
	}
}

// attemptRecord is an attempt of a call in the form that is logged.
type attemptRecord struct {
	id        attempt.ID
	target    balancer.Target
	rerun     bool // an earlier attempt may be running or have run
	startedAt time.Time
	latency   time.Duration // until the response header or the failure
	done      bool          // the response header or a failure was received
	status    int
	outcome   attempt.Outcome
	reason    refusal.Reason
}

// recordStart adds an attempt that is being sent to the attempt log.
func (r *callRunner) recordStart(cmd call.Send) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attemptLog = append(r.attemptLog, attemptRecord{id: cmd.Attempt, target: cmd.Target, rerun: cmd.Rerun, startedAt: time.Now()})
}

// recordResponse adds the response header or the failure of an attempt to the attempt log.
func (r *callRunner) recordResponse(resp attemptResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.attemptLog {
		if record := &r.attemptLog[i]; record.id == resp.id {
			record.done = true
			record.latency = time.Since(record.startedAt)
			record.status = resp.reply.Header.StatusCode()
			record.outcome = resp.reply.Outcome
			record.reason = resp.reply.Refusal.Reason
		}
	}
}

// MarshalLogObject encodes an attempt with the observations by which its back end was chosen.
func (a attemptRecord) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("attempt", a.id.String())
	enc.AddString("backend", a.target.Backend)
	enc.AddString("node", a.target.Node)
	enc.AddDuration("age", a.target.Observed.HintAge)
	enc.AddFloat64("pace", a.target.Observed.Slowdown)
	enc.AddFloat64("load", a.target.Observed.Requests)
	if a.target.Observed.FastAlternatives > 0 {
		enc.AddInt("others", a.target.Observed.FastAlternatives)
	}
	if a.rerun {
		enc.AddBool("rerun", true)
	}
	if !a.done {
		enc.AddString("outcome", "open")
		return nil
	}
	enc.AddDuration("took", a.latency)
	enc.AddString("outcome", a.outcome.String())
	if a.outcome == attempt.Answered {
		enc.AddInt("status", a.status)
	} else {
		enc.AddString("reason", a.reason.String())
	}
	return nil
}

type attemptRecords []attemptRecord

// MarshalLogArray encodes the attempts in the order in which they started.
func (a attemptRecords) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, record := range a {
		if err := enc.AppendObject(record); err != nil {
			return err
		}
	}
	return nil
}

// logCall logs the result of a call and its latency; ctx ends when the caller disconnects. It does not use the body of
// reply, which may have been consumed.
func (l *callLog) logCall(ctx context.Context, r *callRunner, reply *message.Reply, took time.Duration) {
	status := reply.Header.StatusCode()
	disconnected := ctx.Err() != nil
	kind, limiter := event.CallEnded, l.servedLimiter
	if status >= fasthttp.StatusBadRequest {
		kind, limiter = event.CallFailed, l.failedLimiter
	}
	if l.cfg.Events == nil {
		return
	}
	fields, ok := limiter.Allow()
	if !ok {
		return
	}
	r.mu.Lock()
	attempts := append(attemptRecords(nil), r.attemptLog...)
	r.mu.Unlock()
	fields = append(fields, zap.String("request", l.requestID(&r.req.Header)), zap.String("route", r.req.Route),
		zap.String("service", r.req.Service), zap.Uint64("revision", l.cfg.Rules().Revision), zap.Int("status", status),
		zap.Stringer("outcome", reply.Outcome), zap.Duration("took", took), zap.Duration("given", r.req.Deadline.Sub(r.req.Arrived)),
		zap.Duration("waited", r.req.Arrived.Sub(r.req.FirstTry)),
		zap.Array("attempts", attempts))
	if r.req.PipelinedAhead > 0 {
		fields = append(fields, zap.Int("behind", r.req.PipelinedAhead))
	}
	if disconnected {
		fields = append(fields, zap.Bool("left", true)) // the caller disconnected and gets no reply
	} else if reply.Refusal.Reason != refusal.None {
		fields = append(fields, zap.Stringer("reason", reply.Refusal.Reason), zap.Duration("after", reply.Refusal.RetryAfter))
	}
	l.cfg.Events.Emit(kind, fields...)
}

// logRefused logs a request that was refused before a call was started for it.
func (l *callLog) logRefused(h *fasthttp.RequestHeader, reply *message.Reply) {
	if l.cfg.Events == nil {
		return
	}
	if fields, ok := l.failedLimiter.Allow(); ok {
		l.cfg.Events.Emit(event.CallFailed, append(fields, zap.String("request", l.requestID(h)),
			zap.Uint64("revision", l.cfg.Rules().Revision), zap.Int("status", reply.Header.StatusCode()),
			zap.Stringer("outcome", reply.Outcome), zap.Stringer("reason", reply.Refusal.Reason))...)
	}
}

// logPanic logs a panic while a request was processed; it has no rate limit, as it must never happen.
func (l *callLog) logPanic(h *fasthttp.RequestHeader, panicValue any) {
	if l.cfg.Events != nil {
		l.cfg.Events.Emit(event.RequestPanicked, zap.String("request", l.requestID(h)), zap.Any("fault", panicValue), zap.Stack("stack"))
	}
}

// requestID returns the request ID that the caller sent, or "" if no header is configured for it.
func (l *callLog) requestID(h *fasthttp.RequestHeader) string {
	if l.cfg.Headers.RequestID == "" {
		return ""
	}
	return string(h.Peek(l.cfg.Headers.RequestID))
}
