package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/header"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/coordination/callerretry"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/engine"
	"pollenhill.example/node/coordination/parent"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/httpserver"
	"pollenhill.example/node/transport/inbound"
)

// Sender sends attempts to destination nodes and cancels them there.
type Sender interface {
	Send(ctx context.Context, target balancer.Target, a message.Attempt, req *message.Request) *message.Reply
	Cancel(ctx context.Context, target balancer.Target, id attempt.ID) destination.CancelOutcome
}

// Claims grants, finishes and releases claims at the control processes: only the call that holds the claim of a key runs.
type Claims interface {
	Claim(ctx context.Context, req *control.ClaimRequest) (*control.ClaimResponse, error)
	Finish(ctx context.Context, req *control.FinishRequest) error
	Release(ctx context.Context, req *control.ReleaseRequest) error
}

// Server is the HTTP server for callers; it is safe for concurrent use.
type Server struct {
	cfg            Config
	http           *httpserver.Server
	splitter       TrafficSplitter
	responseSizes  responseSizes
	refusedCallers refusedCallers
	log            callLog
	inflight       atomic.Int64
	background     sync.WaitGroup // goroutines of calls and claims, which may outlive the reply
}

// Config holds the dependencies and limits of a Server.
type Config struct {
	Node             string
	ClaimOwnerPrefix string // of the owner IDs in claims; unique for each incarnation of a node
	Engine           *engine.Engine
	Sender           Sender
	Claims           Claims
	Allowances       Allowances           // nil: no account is limited
	Rules            func() *rule.Set     // returns the current rules
	RulesOutdated    func() bool          // reports whether newer rules are known to exist
	OnCallDone       func(CallMetrics)    // receives every call whose reply header is known; may be nil
	Events           *event.Log           // receives the log lines of calls; nil disables them
	OnCallStart      func(service string) // receives the service of every new call; may be nil
	OnKeyRefused     func(sent bool)      // called for each request refused with UnknownKey: whether it sent a key; may be nil
	Parents          *parent.Table        // requests that the back end of this node runs; nil: calls inherit nothing
	MaxCalls         int                  // limit of concurrent requests
	MaxPipelined     int                  // limit of unanswered requests per connection
	MaxReadAhead     int                  // limit, over all connections, of requests read while an earlier one of their connection is unanswered
	MaxHeaderBytes   int                  // limit of one request header
	MaxBodyBytes     int                  // limit of one request body
	BodyMemory       *semaphore.Weighted  // memory budget in bytes for the request bodies of all listeners
	ReadTimeout      time.Duration        // for the first byte on a new connection, for each request header and for each body
	IdleTimeout      time.Duration        // after which an unused connection is closed
	WriteTimeout     time.Duration        // of a single write to a connection
	Headers          header.Names         // configured header names
	LocalService     string               // service of the back end on this VM, sent to back ends as the caller
	Guarantee503     bool                 // 503 guarantees that the request did not run, and Retry-After may be a fraction
}

// CallMetrics describes a call whose reply header is known, for metrics.
type CallMetrics struct {
	Service         string
	Status          int
	Outcome         attempt.Outcome
	Reason          refusal.Reason // None if a back end answered
	Attempts        int
	HeaderLatency   time.Duration // until the response header
	DestinationTime time.Duration // part of HeaderLatency spent on the delivered attempt
}

// New returns a Server; Serve starts it.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, log: newCallLog(cfg)}
	in := inbound.New(inbound.Config{MaxBodyBytes: cfg.MaxBodyBytes, BodyMemory: cfg.BodyMemory, RefusalReply: s.refusalReply, Serve: s.serve, PanicReply: s.panicReply, ExpiredReply: s.expiredReply})
	s.http = httpserver.New(httpserver.Config{
		Handler:        in,
		Exclusive:      s.exclusive,
		Deadline:       s.deadline,
		Unwanted:       s.refuseUnread,
		MaxHeaderBytes: cfg.MaxHeaderBytes,
		MaxBodyBytes:   cfg.MaxBodyBytes,
		MaxPipelined:   cfg.MaxPipelined,
		MaxReadAhead:   cfg.MaxReadAhead,
		ReadTimeout:    cfg.ReadTimeout,
		IdleTimeout:    cfg.IdleTimeout,
	})
	return s
}

// Serve accepts connections from ln until Shutdown and then returns nil; other errors of the listener are returned.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(inbound.WithWriteTimeout(ln, s.cfg.WriteTimeout))
}

// DrainConnections closes each connection after the reply to its last request that was read, so that callers reconnect to
// other nodes.
func (s *Server) DrainConnections() {
	s.http.DrainConnections()
}

// Shutdown stops accepting and waits for the calls in flight and their claims. It returns the error of ctx if ctx ends
// before all replies are written, but even then waits for the background goroutines.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.background.Wait()
	return err
}

// refusalReply returns the reply to a request that is refused before its idempotency key, if any, was claimed.
func (s *Server) refusalReply(h *fasthttp.RequestHeader, reason refusal.Reason) *message.Reply {
	keyed := len(h.Peek(headerKey)) > 0
	f := refusal.Refusal{Reason: reason, Outcome: call.UnclaimedOutcome(keyed), RetryAfter: time.Second, Node: s.cfg.Node}
	reply := message.RefusalReply(s.withRetryAfter(f, nil))
	if reason == refusal.UnknownKey {
		s.reportRefusedKey(h, reply)
	}
	return reply
}

// panicReply logs a panic and returns the reply to its request, which may have run.
func (s *Server) panicReply(h *fasthttp.RequestHeader, panicValue any) *message.Reply {
	s.log.logPanic(h, panicValue)
	f := refusal.Refusal{Reason: refusal.Internal, Outcome: attempt.Unknown, Node: s.cfg.Node, Guarantee503: s.cfg.Guarantee503}
	return message.RefusalReply(f)
}

// expiredReply returns the reply to a request whose response is not whole at its deadline.
func (s *Server) expiredReply(*fasthttp.RequestHeader) *message.Reply {
	f := refusal.Refusal{Reason: refusal.Timeout, Outcome: attempt.Unknown, Node: s.cfg.Node, Guarantee503: s.cfg.Guarantee503}
	return message.RefusalReply(f)
}

// Range of Retry-After for callers that accept fractions of a second: short enough to retry within the time that most
// requests have left, with jitter so that refused callers do not retry all at once.
const (
	minRetryAfter    = 60 * time.Millisecond
	retryAfterJitter = 120 * time.Millisecond
)

// withRetryAfter sets when the caller may retry and stores the caller, so that its retry is recognized; req is nil if the
// request was not routed. Without Guarantee503, and for requests without a route, f is returned unchanged.
func (s *Server) withRetryAfter(f refusal.Refusal, req *message.Request) refusal.Refusal {
	if !s.cfg.Guarantee503 || req != nil && req.Route == "" {
		return f
	}
	f.Guarantee503 = true
	wait := minRetryAfter
	if f.Reason == refusal.RequestLimit || f.Reason == refusal.OverAllowance {
		wait = max(wait, f.RetryAfter)
	}
	if req != nil && req.ByCost && f.Reason != refusal.OverAllowance {
		f.RetryAfter = callerretry.Spread(max(wait, f.RetryAfter), retryAfterJitter, time.Until(req.Deadline))
	} else {
		f.RetryAfter = wait + rand.N(retryAfterJitter)
	}
	if req != nil && req.CallerTimeout > 0 {
		s.refusedCallers.add(req)
	}
	return f
}

// serve processes a request and returns the reply.
func (s *Server) serve(ctx context.Context, in inbound.Request) *message.Reply {
	defer s.inflight.Add(-1)
	if s.inflight.Add(1) > int64(s.cfg.MaxCalls) {
		return s.refusalReply(in.Header, refusal.AtCapacity)
	}
	arrived := in.Arrived
	req, reason := s.routeRequest(in)
	reason = s.unlessOutdated(reason)
	if reason != refusal.None {
		reply := s.refusalReply(in.Header, reason)
		if reason != refusal.UnknownKey { // reportRefusedKey has logged it
			s.log.logRefused(in.Header, reply)
		}
		return reply
	}
	if reply := s.refuseOverAllowance(in, req); reply != nil {
		return reply
	}
	r := s.startCall(ctx, req)
	reply := <-r.reply
	s.giveBackAllowance(req, reply)
	s.reportMetrics(r, reply, time.Since(arrived))
	s.log.logCall(ctx, r, reply, time.Since(arrived))
	return s.finishReply(req, reply)
}

// finishReply sets the outcome header and drops the body of a reply to HEAD.
func (s *Server) finishReply(req *message.Request, reply *message.Reply) *message.Reply {
	reply.Header.Set(attempt.HeaderOutcome, reply.Outcome.String())
	reply.SetDeadline(req.Deadline)
	if req.Header.IsHead() && reply.Body != nil {
		reply.Close()
		reply.Body = nil
	}
	return reply
}

func (s *Server) reportMetrics(r *callRunner, reply *message.Reply, took time.Duration) {
	if s.cfg.OnCallDone == nil {
		return
	}
	s.cfg.OnCallDone(CallMetrics{
		Service:         r.req.Service,
		Status:          reply.Header.StatusCode(),
		Outcome:         reply.Outcome,
		Reason:          reply.Refusal.Reason,
		Attempts:        int(r.attemptsSent.Load()),
		HeaderLatency:   took,
		DestinationTime: time.Duration(r.destinationTime.Load()),
	})
}
