package caller

import (
	"cmp"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/inbound"
)

// Headers that callers may send besides the usual ones.
const (
	headerTimeout = "Request-Timeout" // seconds
	headerKey     = "Idempotency-Key"
	headerVia     = "Via"
)

// maxKey bounds an Idempotency-Key, in bytes.
const maxKey = 255

// request routes a received request by the rules in force.
func (s *Server) request(in inbound.Request) (*message.Request, refusal.Reason) {
	now := in.Arrived
	req := &message.Request{Body: in.Body, Arrived: now, FirstTry: now, PipelinedAhead: in.PipelinedAhead}
	in.Header.CopyTo(&req.Header)
	if !origin(&req.Header) {
		return nil, refusal.Malformed
	}
	set := s.cfg.Rules()
	if set.Revision == 0 {
		// A node that has just started knows no service yet; 404 would tell callers not to come back.
		return nil, refusal.NoQuorum
	}
	path := string(req.Header.RequestURI())
	if r, ok := set.RouteFor(string(req.Header.Host()), path); ok {
		return req, s.routed(req, r, now)
	}
	service, ok := set.ServiceFor(string(req.Header.Host()), path)
	if !ok {
		return nil, refusal.NoRoute
	}
	req.Service = service.Name
	req.Idempotent = set.Idempotent(service.Name, string(req.Header.Method()), path)
	req.Priority = set.Priority(service.Name, path)
	if reason := s.read(req, service.Deadline, now); reason != refusal.None {
		return nil, reason
	}
	message.StripHopByHop(&req.Header)
	req.Header.Add(headerVia, "1.1 "+s.cfg.Node)
	s.measured(req)
	return req, refusal.None
}

// alone reports whether a request must not run beside others of its connection: one that must not run twice cannot be
// taken back when an answer before it ends the connection.
func (s *Server) alone(h *fasthttp.RequestHeader) bool {
	set := s.cfg.Rules()
	host, path := string(h.Host()), string(h.RequestURI())
	if r, ok := set.RouteFor(host, path); ok {
		return !r.Kind.Repeatable()
	}
	service, ok := set.ServiceFor(host, path)
	return !ok || !set.Idempotent(service.Name, string(h.Method()), path)
}

// measured states the length of a body that was received whole.
func (s *Server) measured(req *message.Request) {
	if len(req.Body) > 0 || !req.Header.IsGet() && !req.Header.IsHead() {
		req.Header.SetContentLength(len(req.Body))
	}
}

// urgent and usual are the ranks of routes up to which requests have the level High and Normal.
const (
	urgent = 1
	usual  = 2
)

func levelOf(rank int) rule.Priority {
	switch {
	case rank <= urgent:
		return rule.PriorityHigh
	case rank <= usual:
		return rule.PriorityNormal
	}
	return rule.PriorityLow
}

// routed fills in what a route says of a request.
func (s *Server) routed(req *message.Request, r rule.Route, now time.Time) refusal.Reason {
	req.Route = r.Name
	req.Service = s.split.Pick(r)
	req.Idempotent = r.Kind.Repeatable()
	req.Priority = levelOf(r.Priority)
	req.MaxTries = r.MaxTries
	req.Objective = r.LatencyObjective
	if reason := s.read(req, cmp.Or(r.Timeout, rule.DefaultDeadline), now); reason != refusal.None {
		return reason
	}
	req.FirstTry = s.returns.first(req)
	message.StripHopByHop(&req.Header)
	if s.cfg.Headers.CallerService != "" {
		req.Header.Set(s.cfg.Headers.CallerService, s.cfg.LocalService)
	}
	s.measured(req)
	return refusal.None
}

// origin turns an absolute request target into the form that back ends expect.
func origin(h *fasthttp.RequestHeader) bool {
	target := string(h.RequestURI())
	if strings.HasPrefix(target, "/") {
		return true
	}
	rest, ok := strings.CutPrefix(target, "http://")
	if !ok {
		return false
	}
	slash := strings.IndexByte(rest, '/')
	if slash < 0 {
		return false
	}
	h.SetHost(rest[:slash])
	h.SetRequestURI(rest[slash:])
	return true
}

// read reads the deadline, the depth and the key that the caller sent.
func (s *Server) read(req *message.Request, limit time.Duration, now time.Time) refusal.Reason {
	h := &req.Header
	deadline := cmp.Or(s.cfg.Headers.Deadline, attempt.HeaderDeadline)
	for _, name := range []string{deadline, headerTimeout, attempt.HeaderDepth, headerKey} {
		if len(h.PeekAll(name)) > 1 {
			return refusal.Malformed
		}
	}
	if value := string(h.Peek(deadline)); value != "" {
		ms, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return refusal.Malformed
		}
		req.CallerTimeout = time.Duration(ms) * time.Millisecond
		limit = min(limit, req.CallerTimeout)
	}
	if value := string(h.Peek(headerTimeout)); value != "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(seconds) || seconds < 0 {
			return refusal.Malformed
		}
		limit = min(limit, time.Duration(min(seconds, limit.Seconds())*float64(time.Second)))
	}
	req.Deadline = now.Add(limit)
	if value := string(h.Peek(attempt.HeaderDepth)); value != "" {
		depth, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return refusal.Malformed
		}
		req.Depth = int(depth)
	}
	req.IdempotencyKey = string(h.Peek(headerKey))
	if len(req.IdempotencyKey) > maxKey {
		return refusal.Malformed
	}
	return refusal.None
}
