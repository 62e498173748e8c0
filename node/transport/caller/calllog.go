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

// Lines a second about calls: those that failed are what on-call engineers look for.
const (
	failedRate  = 50
	failedBurst = 200
	servedRate  = 5
	servedBurst = 20
)

// callLog logs how calls ended and what decided it; it is safe for concurrent use.
type callLog struct {
	cfg    Config
	failed *event.RateLimiter
	served *event.RateLimiter
}

func newCallLog(cfg Config) callLog {
	return callLog{
		cfg:    cfg,
		failed: event.NewRateLimiter(failedRate, failedBurst),
		served: event.NewRateLimiter(servedRate, servedBurst),
	}
}

// step is one attempt of a call as the log shows it.
type step struct {
	id      attempt.ID
	target  balancer.Target
	rerun   bool // an earlier attempt may run or have run
	at      time.Time
	took    time.Duration
	ended   bool
	status  int
	outcome attempt.Outcome
	reason  refusal.Reason
}

// note records the start of an attempt.
func (r *run) note(cmd call.Send) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.order = append(r.order, step{id: cmd.Attempt, target: cmd.Target, rerun: cmd.Rerun, at: time.Now()})
}

// ending records the response header of an attempt, or its failure.
func (r *run) ending(h head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.order {
		if s := &r.order[i]; s.id == h.id {
			s.ended = true
			s.took = time.Since(s.at)
			s.status = h.reply.Header.StatusCode()
			s.outcome = h.reply.Outcome
			s.reason = h.reply.Refusal.Reason
		}
	}
}

// MarshalLogObject writes an attempt with the inputs that chose its back end.
func (s step) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("attempt", s.id.String())
	enc.AddString("backend", s.target.Backend)
	enc.AddString("node", s.target.Node)
	enc.AddDuration("age", s.target.Observed.HintAge)
	enc.AddFloat64("pace", s.target.Observed.Slowdown)
	enc.AddFloat64("load", s.target.Observed.Requests)
	if s.target.Observed.FastAlternatives > 0 {
		enc.AddInt("others", s.target.Observed.FastAlternatives)
	}
	if s.rerun {
		enc.AddBool("rerun", true)
	}
	if !s.ended {
		enc.AddString("outcome", "open")
		return nil
	}
	enc.AddDuration("took", s.took)
	enc.AddString("outcome", s.outcome.String())
	if s.outcome == attempt.Answered {
		enc.AddInt("status", s.status)
	} else {
		enc.AddString("reason", s.reason.String())
	}
	return nil
}

type steps []step

// MarshalLogArray writes the attempts in the order of their starts.
func (s steps) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, one := range s {
		if err := enc.AppendObject(one); err != nil {
			return err
		}
	}
	return nil
}

// tell logs the end of a call; reply may have no body any more.
func (s *callLog) tell(ctx context.Context, r *run, reply *message.Reply, took time.Duration) {
	status := reply.Header.StatusCode()
	left := ctx.Err() != nil
	kind, limit := event.CallEnded, s.served
	if status >= fasthttp.StatusBadRequest {
		kind, limit = event.CallFailed, s.failed
	}
	if s.cfg.Events == nil {
		return
	}
	fields, ok := limit.Allow()
	if !ok {
		return
	}
	r.mu.Lock()
	order := append(steps(nil), r.order...)
	r.mu.Unlock()
	fields = append(fields, zap.String("request", s.request(&r.req.Header)), zap.String("route", r.req.Route),
		zap.String("service", r.req.Service), zap.Uint64("revision", s.cfg.Rules().Revision), zap.Int("status", status),
		zap.Stringer("outcome", reply.Outcome), zap.Duration("took", took), zap.Duration("given", r.req.Deadline.Sub(r.req.Arrived)),
		zap.Duration("waited", r.req.Arrived.Sub(r.req.FirstTry)),
		zap.Array("attempts", order))
	if r.req.PipelinedAhead > 0 {
		fields = append(fields, zap.Int("behind", r.req.PipelinedAhead))
	}
	if left {
		fields = append(fields, zap.Bool("left", true)) // the caller; it gets no answer
	} else if reply.Refusal.Reason != refusal.None {
		fields = append(fields, zap.Stringer("reason", reply.Refusal.Reason), zap.Duration("after", reply.Refusal.RetryAfter))
	}
	s.cfg.Events.Emit(kind, fields...)
}

// refused logs a request that was refused before it became a call.
func (s *callLog) refused(h *fasthttp.RequestHeader, reply *message.Reply) {
	if s.cfg.Events == nil {
		return
	}
	if fields, ok := s.failed.Allow(); ok {
		s.cfg.Events.Emit(event.CallFailed, append(fields, zap.String("request", s.request(h)),
			zap.Uint64("revision", s.cfg.Rules().Revision), zap.Int("status", reply.Header.StatusCode()),
			zap.Stringer("outcome", reply.Outcome), zap.Stringer("reason", reply.Refusal.Reason))...)
	}
}

// panicked logs a fault of this node that ended a request; it is not limited, since it must never happen.
func (s *callLog) panicked(h *fasthttp.RequestHeader, fault any) {
	if s.cfg.Events != nil {
		s.cfg.Events.Emit(event.RequestPanicked, zap.String("request", s.request(h)), zap.Any("fault", fault), zap.Stack("stack"))
	}
}

// request returns the ID that the caller gave its request, empty if callers give none.
func (s *callLog) request(h *fasthttp.RequestHeader) string {
	if s.cfg.Headers.RequestID == "" {
		return ""
	}
	return string(h.Peek(s.cfg.Headers.RequestID))
}
