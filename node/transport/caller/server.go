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
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/engine"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/httpserver"
	"pollenhill.example/node/transport/inbound"
)

// Sender makes attempts at destination nodes.
type Sender interface {
	Send(ctx context.Context, target balancer.Target, a message.Attempt, req *message.Request) *message.Reply
	Cancel(ctx context.Context, target balancer.Target, id attempt.ID) destination.CancelOutcome
}

// Claims decides which attempt may run a keyed request.
type Claims interface {
	Claim(ctx context.Context, req *control.ClaimRequest) (*control.ClaimResponse, error)
	Finish(ctx context.Context, req *control.FinishRequest) error
	Release(ctx context.Context, req *control.ReleaseRequest) error
}

// Server serves callers; it is safe for concurrent use.
type Server struct {
	cfg      Config
	http     *httpserver.Server
	split    TrafficSplitter
	sizes    sizes
	returns  returning
	log      callLog
	inflight atomic.Int64
	work     sync.WaitGroup // calls and claims that outlive their reply
}

// Config connects a Server with the rest of the node.
type Config struct {
	Node             string
	ClaimOwnerPrefix string // of the attempt IDs of claims; no other node incarnation has the same
	Engine           *engine.Engine
	Sender           Sender
	Claims           Claims
	Rules            func() *rule.Set
	OnCallDone       func(CallMetrics)    // may be nil
	Events           *event.Log           // nil: calls are not logged
	OnCallStart      func(service string) // told of every call; may be nil
	MaxCalls         int                  // calls at once
	MaxPipelined     int                  // requests of one connection that are read and not answered
	MaxReadAhead     int                  // requests of all connections that were read while an earlier one was not answered
	MaxHeaderBytes   int                  // largest header, in bytes
	MaxBodyBytes     int                  // largest request body, in bytes
	BodyMemory       *semaphore.Weighted
	ReadTimeout      time.Duration // longest time for receiving a request
	IdleTimeout      time.Duration // after which an unused connection is closed
	WriteTimeout     time.Duration // longest time for one write
	Headers          header.Names
	LocalService     string // beside this node, told to back ends
	Guarantee503     bool   // callers take 503 as the promise that a request did not run, and a Retry-After in fractions
}

// CallMetrics is what metrics need to know of one call.
type CallMetrics struct {
	Service         string
	Status          int
	Outcome         attempt.Outcome
	Reason          refusal.Reason // None if a back end answered
	Attempts        int
	HeaderLatency   time.Duration // until the response header
	DestinationTime time.Duration // part of Took spent at the destination
}

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, log: newCallLog(cfg)}
	in := inbound.New(inbound.Config{MaxBodyBytes: cfg.MaxBodyBytes, BodyMemory: cfg.BodyMemory, RefusalReply: s.refuse, Serve: s.serve, PanicReply: s.failed})
	s.http = httpserver.New(httpserver.Config{
		Handler:        in,
		Exclusive:      s.alone,
		MaxHeaderBytes: cfg.MaxHeaderBytes,
		MaxBodyBytes:   cfg.MaxBodyBytes,
		MaxPipelined:   cfg.MaxPipelined,
		MaxReadAhead:   cfg.MaxReadAhead,
		ReadTimeout:    cfg.ReadTimeout,
		IdleTimeout:    cfg.IdleTimeout,
	})
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(inbound.WithWriteTimeout(ln, s.cfg.WriteTimeout))
}

// DrainConnections makes every reply close its connection, so that callers move to other nodes.
func (s *Server) DrainConnections() {
	s.http.DrainConnections()
}

// Shutdown stops accepting and waits for the calls in flight and their claims.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.work.Wait()
	return err
}

// refuse refuses a request before a key that it may carry was claimed.
func (s *Server) refuse(h *fasthttp.RequestHeader, reason refusal.Reason) *message.Reply {
	keyed := len(h.Peek(headerKey)) > 0
	f := refusal.Refusal{Reason: reason, Outcome: call.UnclaimedOutcome(keyed), RetryAfter: time.Second, Node: s.cfg.Node}
	return message.RefusalReply(s.waited(f, nil))
}

// failed answers a request that a fault of this node ended: it may have run.
func (s *Server) failed(h *fasthttp.RequestHeader, fault any) *message.Reply {
	s.log.panicked(h, fault)
	f := refusal.Refusal{Reason: refusal.Internal, Outcome: attempt.Unknown, Node: s.cfg.Node, Guarantee503: s.cfg.Guarantee503}
	return message.RefusalReply(f)
}

// Waits told to callers that take a fraction of a second: short enough to come back within the time that most
// requests have left, spread so that refused callers do not return together.
const (
	shortWait = 60 * time.Millisecond
	waitRange = 120 * time.Millisecond
)

// waited fills in when the caller may come back.
func (s *Server) waited(f refusal.Refusal, req *message.Request) refusal.Refusal {
	if !s.cfg.Guarantee503 || req != nil && req.Route == "" {
		return f
	}
	f.Guarantee503 = true
	f.RetryAfter = shortWait + rand.N(waitRange)
	if req != nil && req.CallerTimeout > 0 {
		s.returns.refuse(req)
	}
	return f
}

// serve carries out one call.
func (s *Server) serve(ctx context.Context, in inbound.Request) *message.Reply {
	defer s.inflight.Add(-1)
	if s.inflight.Add(1) > int64(s.cfg.MaxCalls) {
		return s.refuse(in.Header, refusal.AtCapacity)
	}
	began := in.Arrived
	req, reason := s.request(in)
	if reason != refusal.None {
		reply := s.refuse(in.Header, reason)
		s.log.refused(in.Header, reply)
		return reply
	}
	r := s.start(ctx, req)
	reply := <-r.answer
	s.observe(r, reply, time.Since(began))
	s.log.tell(ctx, r, reply, time.Since(began))
	return s.finish(req, reply)
}

// finish sets what the caller sees of the outcome.
func (s *Server) finish(req *message.Request, reply *message.Reply) *message.Reply {
	reply.Header.Set(attempt.HeaderOutcome, reply.Outcome.String())
	if req.Header.IsHead() && reply.Body != nil {
		reply.Close()
		reply.Body = nil
	}
	return reply
}

func (s *Server) observe(r *run, reply *message.Reply, took time.Duration) {
	if s.cfg.OnCallDone == nil {
		return
	}
	s.cfg.OnCallDone(CallMetrics{
		Service:         r.req.Service,
		Status:          reply.Header.StatusCode(),
		Outcome:         reply.Outcome,
		Reason:          reply.Refusal.Reason,
		Attempts:        int(r.sent.Load()),
		HeaderLatency:   took,
		DestinationTime: time.Duration(r.back.Load()),
	})
}
