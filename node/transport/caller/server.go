package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/coordination/choice"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/header"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/coordination/arrival"
	"pollenhill.example/node/coordination/call"
	"pollenhill.example/node/coordination/engine"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/inbound"
)

// Sender makes attempts at destination nodes.
type Sender interface {
	Send(ctx context.Context, target choice.Target, a message.Attempt, req *message.Request) *message.Reply
	Cancel(ctx context.Context, target choice.Target, id attempt.ID) arrival.Answer
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
	in       *inbound.Handler
	app      *fiber.App
	split    Splitter
	sizes    sizes
	returns  returning
	log      callLog
	inflight atomic.Int64
	leaving  atomic.Bool
	work     sync.WaitGroup // calls and claims that outlive their reply
}

// Config connects a Server with the rest of the node.
type Config struct {
	Node     string
	Prefix   string // of the attempt IDs of claims; no other node incarnation has the same
	Engine   *engine.Engine
	Sender   Sender
	Claims   Claims
	Rules    func() *rule.Set
	Observe  func(Observation)    // may be nil
	Events   *event.Log           // nil: calls are not logged
	Called   func(service string) // told of every call; may be nil
	Inflight int                  // calls at once
	Header   int                  // largest header, in bytes
	Body     int                  // largest request body, in bytes
	Memory   *semaphore.Weighted
	Read     time.Duration // longest time for receiving a request
	Idle     time.Duration // after which an unused connection is closed
	Stall    time.Duration // longest time for one write
	Headers  header.Names
	Service  string // beside this node, told to back ends
	Promise  bool   // callers take 503 as the promise that a request did not run, and a Retry-After in fractions
}

// Observation is what metrics need to know of one call.
type Observation struct {
	Service string
	Status  int
	Outcome attempt.Outcome
	Reason  refusal.Reason // None if a back end answered
	Tries   int
	Took    time.Duration // until the response header
	Back    time.Duration // part of Took spent at the destination
}

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, log: newCallLog(cfg)}
	s.in = inbound.New(inbound.Config{Body: cfg.Body, Memory: cfg.Memory, Refuse: s.refuse, Serve: s.serve})
	s.app = fiber.New(fiber.Config{
		ErrorHandler:                 s.malformed,
		ReadBufferSize:               cfg.Header,
		BodyLimit:                    cfg.Body,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadTimeout:                  cfg.Read,
		IdleTimeout:                  cfg.Idle,
		DisableDefaultDate:           true,
		DisableDefaultContentType:    true,
		Immutable:                    true,
	})
	// Not Use: fiber runs its Use handlers for requests that it could not parse, too.
	s.app.All("/*", s.handle)
	s.app.Server().ExpectHandler = s.expect
	return s
}

func (s *Server) handle(c fiber.Ctx) error {
	rc := c.RequestCtx()
	s.in.Handle(rc)
	if s.leaving.Load() {
		rc.SetConnectionClose()
	}
	return nil
}

// expect refuses a body that is too large before the caller sends it.
func (s *Server) expect(rc *fasthttp.RequestCtx) int {
	if rc.Request.Header.ContentLength() <= s.cfg.Body {
		return fasthttp.StatusContinue
	}
	s.in.Reject(rc, refusal.Large)
	return rc.Response.StatusCode()
}

// malformed answers requests that fasthttp or fiber could not read.
func (s *Server) malformed(c fiber.Ctx, err error) error {
	reason := refusal.Malformed
	var status *fiber.Error
	if errors.As(err, &status) {
		switch status.Code {
		case fiber.StatusRequestHeaderFieldsTooLarge:
			reason = refusal.Header
		case fiber.StatusRequestEntityTooLarge:
			reason = refusal.Large
		}
	}
	s.in.Reject(c.RequestCtx(), reason)
	return nil
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.app.Listener(inbound.Listen(ln, s.cfg.Stall), fiber.ListenConfig{DisableStartupMessage: true})
}

// Leave makes every reply close its connection, so that callers move to other nodes.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// Shutdown stops accepting and waits for the calls in flight and their claims.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.app.ShutdownWithContext(ctx)
	s.work.Wait()
	return err
}

// refuse refuses a request before a key that it may carry was claimed.
func (s *Server) refuse(h *fasthttp.RequestHeader, reason refusal.Reason) *message.Reply {
	keyed := len(h.Peek(headerKey)) > 0
	f := refusal.Refusal{Reason: reason, Outcome: call.Unclaimed(keyed), After: time.Second, Node: s.cfg.Node}
	return message.Refuse(s.waited(f, nil))
}

// Waits told to callers that take a fraction of a second: short enough to come back within the time that most
// requests have left, spread so that refused callers do not return together.
const (
	shortWait = 60 * time.Millisecond
	waitRange = 120 * time.Millisecond
)

// waited fills in when the caller may come back.
func (s *Server) waited(f refusal.Refusal, req *message.Request) refusal.Refusal {
	if !s.cfg.Promise || req != nil && req.Route == "" {
		return f
	}
	f.Promise = true
	f.After = shortWait + rand.N(waitRange)
	if req != nil && req.Given > 0 {
		s.returns.refuse(req)
	}
	return f
}

// serve carries out one call.
func (s *Server) serve(ctx context.Context, in inbound.Request) *message.Reply {
	defer s.inflight.Add(-1)
	if s.inflight.Add(1) > int64(s.cfg.Inflight) {
		return s.refuse(in.Header, refusal.Full)
	}
	began := time.Now()
	req, reason := s.request(in, began)
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
	if s.cfg.Observe == nil {
		return
	}
	s.cfg.Observe(Observation{
		Service: r.req.Service,
		Status:  reply.Header.StatusCode(),
		Outcome: reply.Outcome,
		Reason:  reply.Refusal.Reason,
		Tries:   int(r.sent.Load()),
		Took:    took,
		Back:    time.Duration(r.back.Load()),
	})
}
