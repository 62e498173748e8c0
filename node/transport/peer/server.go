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
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/httpserver"
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
	http *httpserver.Server
}

// ServerConfig connects a Server with the rest of the node.
type ServerConfig struct {
	Node           string
	Destination    LocalDestination
	LocalHint      func() hint.Hint
	Rules          func() (revision uint64, text string)
	OnPeerRevision func(node string, revision uint64) // reports the revision of the node that sent an attempt
	MaxHeaderBytes int                                // largest header, in bytes
	MaxBodyBytes   int                                // largest request body, in bytes
	BodyMemory     *semaphore.Weighted
	ReadTimeout    time.Duration     // longest time for receiving a request
	IdleTimeout    time.Duration     // after which an unused connection is closed
	WriteTimeout   time.Duration     // longest time for one write
	Events         *event.Log        // nil: faults are not logged
	Clock          *event.Clock      // nil: messages carry no stamp
	TLS            *mtls.Credentials // nil: plain connections
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg}
	s.http = httpserver.New(httpserver.Config{
		Handler: inbound.New(inbound.Config{MaxBodyBytes: cfg.MaxBodyBytes, BodyMemory: cfg.BodyMemory, RefusalReply: s.reject, Serve: s.serve, PanicReply: s.failed}),
		// Nodes send one attempt at a time on a connection.
		Exclusive:      func(*fasthttp.RequestHeader) bool { return true },
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

// serve separates attempts, which carry an attempt ID to any path, from the node's own paths.
func (s *Server) serve(ctx context.Context, in inbound.Request) *message.Reply {
	path, query, _ := strings.Cut(string(in.Header.RequestURI()), "?")
	switch {
	case len(in.Header.Peek(attempt.HeaderService)) > 0:
		return s.attempt(ctx, in)
	case path == pathCancel:
		return s.cancel(ctx, in.Header)
	case path == pathRules:
		return s.rules(query)
	}
	return s.refuse(refusal.Malformed)
}

func (s *Server) refuse(reason refusal.Reason) *message.Reply {
	return message.RefusalReply(refusal.Refusal{Reason: reason, Outcome: attempt.NotRun, RetryAfter: time.Second, Node: s.cfg.Node})
}

// reject refuses a request that was not received; the refusal must still name the attempt that it answers.
func (s *Server) reject(h *fasthttp.RequestHeader, reason refusal.Reason) *message.Reply {
	reply := s.refuse(reason)
	reply.Header.SetBytesV(attempt.HeaderAttempt, h.Peek(attempt.HeaderAttempt))
	return reply
}

// failed answers an attempt that a fault of this node ended: it may have run.
func (s *Server) failed(h *fasthttp.RequestHeader, fault any) *message.Reply {
	id := h.Peek(attempt.HeaderAttempt)
	if s.cfg.Events != nil {
		s.cfg.Events.Emit(event.RequestPanicked, zap.ByteString("attempt", id), zap.Any("fault", fault), zap.Stack("stack"))
	}
	reply := message.RefusalReply(refusal.Refusal{Reason: refusal.Internal, Outcome: attempt.Unknown, Node: s.cfg.Node})
	reply.Header.SetBytesV(attempt.HeaderAttempt, id)
	return reply
}

// attempt serves one attempt. A request that was not received completely never gets here.
func (s *Server) attempt(ctx context.Context, in inbound.Request) *message.Reply {
	a, err := message.ReadAttempt(in.Header, time.Now())
	if err != nil {
		return s.reject(in.Header, refusal.Malformed)
	}
	merge(s.cfg.Clock, in.Header)
	s.cfg.OnPeerRevision(a.ID.Node, a.Revision)
	req := &message.Request{Body: in.Body}
	in.Header.CopyTo(&req.Header)
	message.StripHopByHop(&req.Header)
	reply := s.cfg.Destination.Serve(ctx, a, req)
	reply.Header.Set(attempt.HeaderAttempt, a.ID.String())
	reply.Header.Set(attempt.HeaderOutcome, reply.Outcome.String())
	stamp(s.cfg.Clock, &reply.Header)
	reply.Header.Set(attempt.HeaderHint, s.cfg.LocalHint().String())
	revision, _ := s.cfg.Rules()
	reply.Header.Set(attempt.HeaderRevision, strconv.FormatUint(revision, 10))
	return reply
}

// cancelTimeout bounds the wait for the control goroutine.
const cancelTimeout = time.Second

func (s *Server) cancel(ctx context.Context, h *fasthttp.RequestHeader) *message.Reply {
	id, err := attempt.ParseID(string(h.Peek(attempt.HeaderAttempt)))
	incarnation, err2 := strconv.ParseUint(string(h.Peek(attempt.HeaderIncarnation)), 10, 64)
	if err != nil || err2 != nil {
		return s.refuse(refusal.Malformed)
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	answer := s.cfg.Destination.Cancel(ctx, destination.Cancel{ID: id, Incarnation: incarnation})
	reply := &message.Reply{Outcome: attempt.Answered}
	reply.Header.Set(attempt.HeaderAttempt, id.String())
	reply.Header.Set(headerAnswer, answer.String())
	return reply
}

// rules answers 204 if there are none newer than the revision that the peer names.
func (s *Server) rules(query string) *message.Reply {
	values, err := url.ParseQuery(query)
	if err != nil {
		return s.refuse(refusal.Malformed)
	}
	after, err := strconv.ParseUint(values.Get("after"), 10, 64)
	if err != nil {
		return s.refuse(refusal.Malformed)
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

// FindAddress finds the peer address of a node among targets.
func FindAddress(targets []balancer.Target, node string) (netip.AddrPort, bool) {
	for _, t := range targets {
		if t.Node == node {
			return t.PeerAddress, true
		}
	}
	return netip.AddrPort{}, false
}
