package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/coordination/upload"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/httpserver"
	"pollenhill.example/node/transport/inbound"
)

// Paths that the server handles itself; attempts can have any path.
const (
	pathCancel = "/cancel"
	pathRules  = "/rules"
)

// headerCancelOutcome holds what the destination knows of a cancelled attempt.
const headerCancelOutcome = attempt.HeaderOutcome

// Server serves attempts, cancel requests and rules to other nodes.
type Server struct {
	cfg    ServerConfig
	http   *httpserver.Server
	bodies *bodyGate

	uploadLog *event.RateLimiter // for uploads that are refused before their bodies
}

// ServerConfig holds the parameters of a Server and the parts of the node that it uses.
type ServerConfig struct {
	Node           string
	Destination    LocalDestination
	LocalHint      func() hint.Hint                      // returns the load hint of this node
	Rules          func() (revision uint64, text string) // returns the rules in force
	OnPeerRevision func(node string, revision uint64)    // called with each attempt: the entry node and its revision
	RefuseEarly    func(message.Attempt) refusal.Reason  // returns why an attempt is refused before its body is sent, or None; nil: never
	MaxHeaderBytes int                                   // limit of one request header
	MaxBodyBytes   int                                   // limit of one request body
	BodyMemory     *semaphore.Weighted                   // memory budget in bytes for the request bodies of all listeners
	ReadTimeout    time.Duration                         // for the first byte on a new connection, for each request header and for each body
	IdleTimeout    time.Duration                         // after which an unused connection is closed
	WriteTimeout   time.Duration                         // of a single write to a connection
	Events         *event.Log                            // nil: panics are not logged
	Clock          *event.Clock                          // nil: messages carry no timestamp
	TLS            *mtls.Credentials                     // nil: plain connections
}

// Limits of the log entries about uploads that are refused before their bodies.
const (
	maxUploadLogsPerSecond = 10
	maxUploadLogBurst      = 50 // entries at once after a quiet period
)

// NewServer returns a Server that accepts connections once Serve is called.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg, bodies: newBodyGate(), uploadLog: event.NewRateLimiter(maxUploadLogsPerSecond, maxUploadLogBurst)}
	s.http = httpserver.New(httpserver.Config{
		Handler: inbound.New(inbound.Config{MaxBodyBytes: cfg.MaxBodyBytes, BodyMemory: cfg.BodyMemory, RefusalReply: s.attemptRefusalReply, Serve: s.serve, PanicReply: s.panicReply, ExpiredReply: s.expiredReply}),
		// Nodes send one attempt at a time on a connection.
		Exclusive:      func(*fasthttp.RequestHeader) bool { return true },
		Deadline:       attemptDeadline,
		AdmitBody:      s.admitBody,
		MaxHeaderBytes: cfg.MaxHeaderBytes,
		MaxBodyBytes:   cfg.MaxBodyBytes,
		MaxPipelined:   1,
		ReadTimeout:    cfg.ReadTimeout,
		IdleTimeout:    cfg.IdleTimeout,
	})
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(s.cfg.TLS.WrapListener(inbound.WithWriteTimeout(ln, s.cfg.WriteTimeout), mtls.ALPNHTTP1))
}

// Shutdown stops accepting and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// serve handles one request. Requests with a service header are attempts, whatever their path.
func (s *Server) serve(ctx context.Context, in inbound.Request) *message.Reply {
	path, query, _ := strings.Cut(string(in.Header.RequestURI()), "?")
	switch {
	case len(in.Header.Peek(attempt.HeaderService)) > 0:
		return s.serveAttempt(ctx, in)
	case path == pathCancel:
		return s.serveCancel(ctx, in.Header)
	case path == pathRules:
		return s.serveRules(query)
	}
	return s.refusalReply(refusal.Malformed)
}

func (s *Server) refusalReply(reason refusal.Reason) *message.Reply {
	return message.RefusalReply(refusal.Refusal{Reason: reason, Outcome: attempt.NotRun, RetryAfter: time.Second, Node: s.cfg.Node})
}

// attemptRefusalReply refuses an attempt that was not received completely or is malformed. The refusal repeats the
// attempt ID, since the entry node drops responses without it.
func (s *Server) attemptRefusalReply(h *fasthttp.RequestHeader, reason refusal.Reason) *message.Reply {
	if len(h.Peek(fasthttp.HeaderExpect)) > 0 {
		s.logUploadRefused(h, reason)
	}
	reply := s.refusalReply(reason)
	reply.Header.SetBytesV(attempt.HeaderAttempt, h.Peek(attempt.HeaderAttempt))
	reply.Header.Set(attempt.HeaderHint, s.cfg.LocalHint().String())
	return reply
}

// logUploadRefused logs that an upload is refused before its body is complete.
func (s *Server) logUploadRefused(h *fasthttp.RequestHeader, reason refusal.Reason) {
	if s.cfg.Events == nil {
		return
	}
	if fields, ok := s.uploadLog.Allow(); ok {
		waiting, receiving := s.bodies.counts()
		s.cfg.Events.Emit(event.UploadRefused, append(fields, zap.ByteString("attempt", h.Peek(attempt.HeaderAttempt)),
			zap.Stringer("reason", reason), zap.Int("waiting", waiting), zap.Int("receiving", receiving))...)
	}
}

// panicReply logs a panic of this node and answers the attempt that caused it, which may have run.
func (s *Server) panicReply(h *fasthttp.RequestHeader, panicValue any) *message.Reply {
	id := h.Peek(attempt.HeaderAttempt)
	if s.cfg.Events != nil {
		s.cfg.Events.Emit(event.RequestPanicked, zap.ByteString("attempt", id), zap.Any("fault", panicValue), zap.Stack("stack"))
	}
	reply := message.RefusalReply(refusal.Refusal{Reason: refusal.Internal, Outcome: attempt.Unknown, Node: s.cfg.Node})
	reply.Header.SetBytesV(attempt.HeaderAttempt, id)
	return reply
}

// expiredReply returns the reply to an attempt whose response is not whole at its deadline.
func (s *Server) expiredReply(h *fasthttp.RequestHeader) *message.Reply {
	reply := message.RefusalReply(refusal.Refusal{Reason: refusal.Timeout, Outcome: attempt.Unknown, Node: s.cfg.Node})
	reply.Header.SetBytesV(attempt.HeaderAttempt, h.Peek(attempt.HeaderAttempt))
	return reply
}

// attemptDeadline returns the deadline of an attempt, or zero for other requests.
func attemptDeadline(h *fasthttp.RequestHeader, arrived time.Time) time.Time {
	a, err := message.ReadAttempt(h, arrived)
	if err != nil {
		return time.Time{}
	}
	return a.Deadline
}

// admitBody decides about an attempt whose entry node asks before it sends a large body.
func (s *Server) admitBody(h *fasthttp.RequestHeader, arrived time.Time) httpserver.BodyTicket {
	a, err := message.ReadAttempt(h, arrived)
	if err != nil {
		return s.bodies.refuse(refusal.Malformed)
	}
	if s.cfg.RefuseEarly != nil {
		if reason := s.cfg.RefuseEarly(a); reason != refusal.None {
			return s.bodies.refuse(reason)
		}
	}
	return s.bodies.ask(a, h.ContentLength())
}

// RefuseUploads refuses attempts whose large bodies have not been asked for, now and later, as the node shuts down.
func (s *Server) RefuseUploads() {
	s.bodies.update(upload.Leave{})
}

// UploadCounts returns the attempts that wait to send large bodies, the bodies that arrive, and the attempts refused so far
// before their bodies.
func (s *Server) UploadCounts() (waiting, receiving int, refused int64) {
	waiting, receiving = s.bodies.counts()
	return waiting, receiving, s.bodies.refused.Load()
}

// serveAttempt runs a completely received attempt.
func (s *Server) serveAttempt(ctx context.Context, in inbound.Request) *message.Reply {
	// Its times count from the header: a large body may have taken much of them.
	a, err := message.ReadAttempt(in.Header, in.Arrived)
	if err != nil {
		return s.attemptRefusalReply(in.Header, refusal.Malformed)
	}
	if a.Objective > 0 {
		a.Objective -= time.Since(in.Arrived)
	}
	if len(in.Header.Peek(fasthttp.HeaderExpect)) > 0 {
		// Its body has crossed the link after RefuseEarly let it; sending it to another node now would cost that again.
		a.Movable = false
	}
	mergeClockHeader(s.cfg.Clock, in.Header)
	s.cfg.OnPeerRevision(a.ID.Node, a.Revision)
	req := &message.Request{Body: in.Body}
	in.Header.CopyTo(&req.Header)
	message.StripHopByHop(&req.Header)
	reply := s.cfg.Destination.Serve(ctx, a, req)
	reply.SetDeadline(a.Deadline)
	reply.Header.Set(attempt.HeaderAttempt, a.ID.String())
	reply.Header.Set(attempt.HeaderOutcome, reply.Outcome.String())
	setClockHeader(s.cfg.Clock, &reply.Header)
	reply.Header.Set(attempt.HeaderHint, s.cfg.LocalHint().String())
	revision, _ := s.cfg.Rules()
	reply.Header.Set(attempt.HeaderRevision, strconv.FormatUint(revision, 10))
	return reply
}

// cancelTimeout bounds the wait for the engine, which answers a cancel request.
const cancelTimeout = time.Second

func (s *Server) serveCancel(ctx context.Context, h *fasthttp.RequestHeader) *message.Reply {
	id, err := attempt.ParseID(string(h.Peek(attempt.HeaderAttempt)))
	incarnation, incarnationErr := strconv.ParseUint(string(h.Peek(attempt.HeaderIncarnation)), 10, 64)
	if err != nil || incarnationErr != nil {
		return s.refusalReply(refusal.Malformed)
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	outcome := s.cfg.Destination.Cancel(ctx, destination.Cancel{ID: id, Incarnation: incarnation})
	reply := &message.Reply{Outcome: attempt.Answered}
	reply.Header.Set(attempt.HeaderAttempt, id.String())
	reply.Header.Set(headerCancelOutcome, outcome.String())
	return reply
}

// serveRules returns the rules in force, or status 204 if they are not newer than the revision in the query.
func (s *Server) serveRules(query string) *message.Reply {
	values, err := url.ParseQuery(query)
	if err != nil {
		return s.refusalReply(refusal.Malformed)
	}
	after, err := strconv.ParseUint(values.Get("after"), 10, 64)
	if err != nil {
		return s.refusalReply(refusal.Malformed)
	}
	reply := &message.Reply{Outcome: attempt.Answered}
	revision, text := s.cfg.Rules()
	if revision <= after {
		reply.Header.SetStatusCode(fasthttp.StatusNoContent)
		return reply
	}
	reply.Header.Set(attempt.HeaderRevision, strconv.FormatUint(revision, 10))
	reply.Length = len(text)
	reply.Body = io.NopCloser(strings.NewReader(text))
	return reply
}

// FindAddress returns the peer address of a node from targets, and whether it is there.
func FindAddress(targets []balancer.Target, node string) (netip.AddrPort, bool) {
	for _, t := range targets {
		if t.Node == node {
			return t.PeerAddress, true
		}
	}
	return netip.AddrPort{}, false
}
