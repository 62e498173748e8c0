package peer

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/coordination/choice"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/node/coordination/arrival"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/inbound"
)

// Paths of the peer port besides attempts, and the header of the answer to a cancel.
const (
	pathCancel   = "/cancel"
	pathRules    = "/rules"
	headerAnswer = attempt.HeaderOutcome
)

// Server serves attempts, cancels and rules to other nodes.
type Server struct {
	cfg  ServerConfig
	in   *inbound.Handler
	http *fasthttp.Server
}

// ServerConfig connects a Server with the rest of the node.
type ServerConfig struct {
	Node   string
	Local  Local
	Hint   func() hint.Hint
	Rules  func() (revision uint64, text string)
	Seen   func(node string, revision uint64) // reports the revision of the node that sent an attempt
	Header int                                // largest header, in bytes
	Body   int                                // largest request body, in bytes
	Memory *semaphore.Weighted
	Read   time.Duration // longest time for receiving a request
	Idle   time.Duration // after which an unused connection is closed
	Stall  time.Duration // longest time for one write
	Clock  *event.Clock  // nil: messages carry no stamp
	TLS    *mtls.Source  // nil: plain connections
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg}
	s.in = inbound.New(inbound.Config{Body: cfg.Body, Memory: cfg.Memory, Refuse: s.reject, Serve: s.attempt})
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 func(rc *fasthttp.RequestCtx, _ error) { s.in.Reject(rc, refusal.Malformed) },
		ReadBufferSize:               cfg.Header,
		MaxRequestBodySize:           cfg.Body,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadTimeout:                  cfg.Read,
		IdleTimeout:                  cfg.Idle,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       silent{},
	}
	return s
}

// silent drops the lines of fasthttp about single connections; refusals are counted instead.
type silent struct{}

func (silent) Printf(string, ...any) {}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(s.cfg.TLS.Listen(inbound.Listen(ln, s.cfg.Stall), mtls.HTTP1))
}

// Shutdown stops accepting and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// handle separates attempts, which carry an attempt ID to any path, from the node's own paths.
func (s *Server) handle(rc *fasthttp.RequestCtx) {
	id := rc.Request.Header.Peek(attempt.HeaderAttempt)
	service := rc.Request.Header.Peek(attempt.HeaderService)
	switch path := string(rc.Path()); {
	case len(service) > 0:
		s.in.Handle(rc)
		// A refusal before the headers were read must still name the attempt that it answers.
		rc.Response.Header.SetBytesV(attempt.HeaderAttempt, id)
	case path == pathCancel && len(id) > 0:
		s.cancel(rc)
	case path == pathRules:
		s.rules(rc)
	default:
		s.in.Reject(rc, refusal.Malformed)
	}
}

func (s *Server) refuse(reason refusal.Reason) *message.Reply {
	return message.Refuse(refusal.Refusal{Reason: reason, Outcome: attempt.NotRun, After: time.Second, Node: s.cfg.Node})
}

func (s *Server) reject(_ *fasthttp.RequestHeader, reason refusal.Reason) *message.Reply {
	return s.refuse(reason)
}

// attempt serves one attempt. A request that was not received completely never gets here.
func (s *Server) attempt(ctx context.Context, in inbound.Request) *message.Reply {
	a, err := message.ReadAttempt(in.Header, time.Now())
	if err != nil {
		return s.refuse(refusal.Malformed)
	}
	merge(s.cfg.Clock, in.Header)
	s.cfg.Seen(a.ID.Node, a.Revision)
	req := &message.Request{Body: in.Body}
	in.Header.CopyTo(&req.Header)
	message.Strip(&req.Header)
	reply := s.cfg.Local.Serve(ctx, a, req)
	reply.Header.Set(attempt.HeaderAttempt, a.ID.String())
	reply.Header.Set(attempt.HeaderOutcome, reply.Outcome.String())
	stamp(s.cfg.Clock, &reply.Header)
	reply.Header.Set(attempt.HeaderHint, s.cfg.Hint().String())
	revision, _ := s.cfg.Rules()
	reply.Header.Set(attempt.HeaderRevision, strconv.FormatUint(revision, 10))
	return reply
}

// cancelTimeout bounds the wait for the control goroutine.
const cancelTimeout = time.Second

func (s *Server) cancel(rc *fasthttp.RequestCtx) {
	h := &rc.Request.Header
	id, err := attempt.Parse(string(h.Peek(attempt.HeaderAttempt)))
	incarnation, err2 := strconv.ParseUint(string(h.Peek(attempt.HeaderIncarnation)), 10, 64)
	if err != nil || err2 != nil {
		s.in.Reject(rc, refusal.Malformed)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	answer := s.cfg.Local.Cancel(ctx, arrival.Cancel{ID: id, Incarnation: incarnation})
	rc.Response.Header.Set(attempt.HeaderAttempt, id.String())
	rc.Response.Header.Set(headerAnswer, answer.String())
}

// rules answers 204 if there are none newer than the revision that the peer names.
func (s *Server) rules(rc *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(rc.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		s.in.Reject(rc, refusal.Malformed)
		return
	}
	revision, text := s.cfg.Rules()
	if revision <= after {
		rc.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	rc.Response.Header.Set(attempt.HeaderRevision, strconv.FormatUint(revision, 10))
	rc.SetBodyString(text)
}

// Address finds the peer address of a node among targets.
func Address(targets []choice.Target, node string) (netip.AddrPort, bool) {
	for _, t := range targets {
		if t.Node == node {
			return t.Peer, true
		}
	}
	return netip.AddrPort{}, false
}
