package caller

import (
	"strings"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/state/rule"
	"pollenhill.example/node/protocol/message"
)

// bearerScheme is the authentication scheme of keys (RFC 6750); names of schemes are compared without regard to case.
const bearerScheme = "Bearer"

// invalidTokenChallenge tells a caller that the key which it sent is not known (RFC 6750, section 3.1).
const invalidTokenChallenge = refusal.Challenge + `, error="invalid_token"`

// bearerKey returns the key that a request carries, and whether it carries one. Several Authorization headers count as a key
// that no account holds, as nodes and back ends could read different ones.
func bearerKey(h *fasthttp.RequestHeader) (key string, sent bool) {
	values := h.PeekAll(fasthttp.HeaderAuthorization)
	if len(values) != 1 {
		return "", len(values) > 1
	}
	scheme, key, _ := strings.Cut(string(values[0]), " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return "", false
	}
	return strings.Trim(key, " "), true
}

// authenticate returns the account whose key a request carries; the zero Account stands for none. A request needs a key if
// the rules have accounts, unless its route is open. One that carries a key is refused if no account holds it, also on an
// open route: a key that was withdrawn must not run anything.
func authenticate(set *rule.Set, h *fasthttp.RequestHeader, open bool) (rule.Account, refusal.Reason) {
	if !set.RequiresKeys() {
		return rule.Account{}, refusal.None
	}
	key, sent := bearerKey(h)
	if !sent && open && !hasDotSegments(string(h.RequestURI())) {
		return rule.Account{}, refusal.None
	}
	account, ok := set.AccountByKey(key)
	if !ok {
		return rule.Account{}, refusal.UnknownKey
	}
	return account, refusal.None
}

// hasDotSegments reports whether the path of a request target could mean another one to a back end that resolves "..", also
// percent-encoded. Such a target must not reach what needs a key through the prefix of an open route.
func hasDotSegments(target string) bool {
	path, _, _ := strings.Cut(strings.ToLower(target), "?")
	path = dotSegmentDecoder.Replace(path) + "/"
	return strings.Contains(path, "/../")
}

var dotSegmentDecoder = strings.NewReplacer("%2e", ".", "%2f", "/", "%5c", "/", `\`, "/")

// refuseUnread returns why a request is refused before its body is read, or refusal.None. routeRequest decides again once
// the body is there, since the rules may have changed.
func (s *Server) refuseUnread(h *fasthttp.RequestHeader) refusal.Reason {
	set := s.cfg.Rules()
	if !set.RequiresKeys() {
		return refusal.None
	}
	host, path := string(h.Host()), string(h.RequestURI())
	open := false
	if r, ok := set.RouteFor(host, path); ok {
		open = r.Access == rule.AccessOpen
	} else if _, ok := set.ServiceFor(host, path); !ok {
		return refusal.None // refused as NoRoute later
	}
	_, reason := authenticate(set, h, open)
	return s.unlessOutdated(reason)
}

// setAccountHeader removes the key from a request to back ends and names the account in its place. A call that inherits its
// account carries no key, so that its back end is told of no account.
func (s *Server) setAccountHeader(req *message.Request, set *rule.Set) {
	if !set.RequiresKeys() {
		return
	}
	req.Header.Del(fasthttp.HeaderAuthorization)
	name := s.cfg.Headers.Account
	switch {
	case name == "":
	case req.Account == "" || req.Inherited:
		req.Header.Del(name)
	default:
		req.Header.Set(name, req.Account)
	}
}

// inheritFromParent gives a request without a key the account and the rank of the request for which the local back end makes
// it, if its ID names one that the back end runs.
func (s *Server) inheritFromParent(req *message.Request) {
	if s.cfg.Parents == nil || s.cfg.Headers.RequestID == "" {
		return
	}
	ids := req.Header.PeekAll(s.cfg.Headers.RequestID)
	if len(ids) != 1 {
		return
	}
	p, ok := s.cfg.Parents.Of(string(ids[0]))
	if !ok {
		return
	}
	req.Account, req.Rank, req.Inherited = p.Account, p.Rank, true
}

// reportRefusedKey counts and logs a request without a known key, and names the reason in its reply if it sent one. The key
// itself is not logged: it may be one that its caller mistyped or that was withdrawn a moment ago.
func (s *Server) reportRefusedKey(h *fasthttp.RequestHeader, reply *message.Reply) {
	_, sent := bearerKey(h)
	if sent {
		reply.Header.Set(refusal.HeaderChallenge, invalidTokenChallenge)
	}
	if s.cfg.OnKeyRefused != nil {
		s.cfg.OnKeyRefused(sent)
	}
	if s.cfg.Events == nil {
		return
	}
	if fields, ok := s.log.keyLimiter.Allow(); ok {
		s.cfg.Events.Emit(event.KeyRefused, append(fields, zap.String("request", s.log.requestID(h)), zap.Bool("sent", sent),
			zap.Uint64("revision", s.cfg.Rules().Revision), zap.Int("status", reply.Header.StatusCode()),
			zap.Stringer("outcome", reply.Outcome), zap.Stringer("reason", reply.Refusal.Reason))...)
	}
}
