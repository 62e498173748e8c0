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

// Names of standard headers that are read from callers or set for back ends.
const (
	headerTimeout = "Request-Timeout" // seconds
	headerKey     = "Idempotency-Key"
	headerVia     = "Via"
)

// maxKeyLength limits an Idempotency-Key, in bytes.
const maxKeyLength = 255

// routeRequest finds the service for a received request by the current rules and returns the request to send to back ends.
// A reason other than refusal.None means that the request must be refused.
func (s *Server) routeRequest(in inbound.Request) (*message.Request, refusal.Reason) {
	now := in.Arrived
	req := &message.Request{Body: in.Body, Arrived: now, FirstTry: now, PipelinedAhead: in.PipelinedAhead}
	in.Header.CopyTo(&req.Header)
	if !toOriginForm(&req.Header) {
		return nil, refusal.Malformed
	}
	set := s.cfg.Rules()
	if set.Revision == 0 || !set.HasRoutes() {
		// A node that has just started has no rules yet, or none but orders about zones; 404 would tell callers not to retry.
		return nil, refusal.NoQuorum
	}
	path := string(req.Header.RequestURI())
	if r, ok := set.RouteFor(string(req.Header.Host()), path); ok {
		return req, s.applyRoute(req, set, r, now)
	}
	service, ok := set.ServiceFor(string(req.Header.Host()), path)
	if !ok {
		return nil, refusal.NoRoute
	}
	account, reason := authenticate(set, &req.Header, false)
	if reason != refusal.None {
		return nil, reason
	}
	req.Account = account.Name
	req.Service = service.Name
	req.Idempotent = set.Idempotent(service.Name, string(req.Header.Method()), path)
	req.Priority = set.Priority(service.Name, path)
	if account.Priority != nil {
		req.Priority = priorityOf(*account.Priority)
	}
	if reason := s.readCallerHeaders(req, service.Deadline, now); reason != refusal.None {
		return nil, reason
	}
	message.StripHopByHop(&req.Header)
	s.setAccountHeader(req, set)
	req.Header.Add(headerVia, "1.1 "+s.cfg.Node)
	s.setContentLength(req)
	return req, refusal.None
}

// unlessOutdated returns a reason, or NoQuorum in place of one that newer rules may take away: a route or a key that was just added.
// After 404 and 401 callers do not retry.
func (s *Server) unlessOutdated(reason refusal.Reason) refusal.Reason {
	if (reason == refusal.NoRoute || reason == refusal.UnknownKey) && s.cfg.RulesOutdated() {
		return refusal.NoQuorum
	}
	return reason
}

// exclusive reports whether a request must not run concurrently with others of its connection. That holds for requests that
// must not run twice: if an earlier reply closes the connection, callers take that as proof that this one did not run.
func (s *Server) exclusive(h *fasthttp.RequestHeader) bool {
	set := s.cfg.Rules()
	host, path := string(h.Host()), string(h.RequestURI())
	if r, ok := set.RouteFor(host, path); ok {
		return !r.Kind.Repeatable()
	}
	service, ok := set.ServiceFor(host, path)
	return !ok || !set.Idempotent(service.Name, string(h.Method()), path)
}

// deadline returns the deadline of a request whose header has arrived, or zero if the request will be refused.
func (s *Server) deadline(h *fasthttp.RequestHeader, arrived time.Time) time.Time {
	set := s.cfg.Rules()
	host, path := string(h.Host()), string(h.RequestURI())
	var timeout time.Duration
	if r, ok := set.RouteFor(host, path); ok {
		timeout = cmp.Or(r.Timeout, rule.DefaultDeadline)
	} else if service, ok := set.ServiceFor(host, path); ok {
		timeout = service.Deadline
	} else {
		return time.Time{}
	}
	req := &message.Request{}
	h.CopyTo(&req.Header)
	if s.readCallerHeaders(req, timeout, arrived) != refusal.None {
		return time.Time{}
	}
	return req.Deadline
}

// setContentLength sets Content-Length to the length of the received body; GET and HEAD requests without a body get none.
func (s *Server) setContentLength(req *message.Request) {
	if len(req.Body) > 0 || !req.Header.IsGet() && !req.Header.IsHead() {
		req.Header.SetContentLength(len(req.Body))
	}
}

// Largest priority numbers of routes whose requests get PriorityHigh and PriorityNormal; 0 is the most urgent number.
const (
	maxHighPriority   = 1
	maxNormalPriority = 2
)

func priorityOf(routePriority int) rule.Priority {
	switch {
	case routePriority <= maxHighPriority:
		return rule.PriorityHigh
	case routePriority <= maxNormalPriority:
		return rule.PriorityNormal
	}
	return rule.PriorityLow
}

// applyRoute sets the service, limits and headers of a request according to its route.
func (s *Server) applyRoute(req *message.Request, set *rule.Set, r rule.Route, now time.Time) refusal.Reason {
	if reason := s.applyAccount(req, set, r); reason != refusal.None {
		return reason
	}
	req.Route = r.Name
	req.Service = s.splitter.Pick(r)
	req.Idempotent = r.Kind.Repeatable()
	req.Upload = r.Kind == rule.KindUpload
	req.MaxTries = r.MaxTries
	timeout := cmp.Or(r.Timeout, rule.DefaultDeadline)
	req.Objective = r.LatencyObjective
	if req.ByCost {
		req.Objective = cmp.Or(r.LatencyObjective, timeout) // without one the request would count as late from its start
	}
	if reason := s.readCallerHeaders(req, timeout, now); reason != refusal.None {
		return reason
	}
	req.FirstTry = s.refusedCallers.firstTry(req)
	message.StripHopByHop(&req.Header)
	s.setAccountHeader(req, set)
	if s.cfg.Headers.CallerService != "" {
		req.Header.Set(s.cfg.Headers.CallerService, s.cfg.LocalService)
	}
	s.setContentLength(req)
	return refusal.None
}

// applyAccount sets the account and the priority of a request on a route, or returns why its key is refused.
func (s *Server) applyAccount(req *message.Request, set *rule.Set, r rule.Route) refusal.Reason {
	account, reason := authenticate(set, &req.Header, r.Access == rule.AccessOpen)
	if reason != refusal.None {
		return reason
	}
	req.Account = account.Name
	req.Rank, req.RouteRank = account.RequestPriority(r.Priority), r.Priority
	req.ByCost = set.RanksByCost()
	if req.ByCost && req.Account == "" {
		s.inheritFromParent(req)
	}
	req.Priority = priorityOf(req.Rank)
	return refusal.None
}

// toOriginForm converts a request target in absolute form to origin form (RFC 9112, section 3.2), which back ends expect;
// false means that the target is in another form or has no path.
func toOriginForm(h *fasthttp.RequestHeader) bool {
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

// readCallerHeaders sets the deadline, the depth and the idempotency key from the headers of the caller; timeout is the
// longest that the rules allow.
func (s *Server) readCallerHeaders(req *message.Request, timeout time.Duration, now time.Time) refusal.Reason {
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
		timeout = min(timeout, req.CallerTimeout)
	}
	if value := string(h.Peek(headerTimeout)); value != "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(seconds) || seconds < 0 {
			return refusal.Malformed
		}
		timeout = min(timeout, time.Duration(min(seconds, timeout.Seconds())*float64(time.Second)))
	}
	req.Deadline = now.Add(timeout)
	if value := string(h.Peek(attempt.HeaderDepth)); value != "" {
		depth, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return refusal.Malformed
		}
		req.Depth = int(depth)
	}
	req.IdempotencyKey = string(h.Peek(headerKey))
	if len(req.IdempotencyKey) > maxKeyLength {
		return refusal.Malformed
	}
	return refusal.None
}
