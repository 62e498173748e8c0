package backend

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/protocol/message"
)

// Reasons why a response is dropped instead of being passed on.
var (
	errNoBackendMarker       = errors.New("response has no seal header, so it is not from the back end")
	errUnexpectedEncoding    = errors.New("response has a content encoding that the request did not ask for")
	errRetryWithoutGuarantee = errors.New("response allows a retry but does not say that the request was not run")
)

// setOutcome sets the outcome of a response, and the refusal if the back end or a node that it called did not run the
// request. It returns an error if the response must not reach the caller.
func (b *Backend) setOutcome(reply *message.Reply, a message.Attempt) error {
	names := b.cfg.Headers
	if names.BackendMarker == "" {
		message.ReadOutcome(reply, a.Depth)
		return nil
	}
	h := &reply.Header
	code := h.StatusCode()
	switch {
	case code == fasthttp.StatusMisdirectedRequest:
		reply.Refusal = refusal.Refusal{Reason: refusal.NoBackend, Outcome: attempt.NotRun, Depth: a.Depth}
	case len(h.Peek(names.NotRun)) > 0:
		reply.Refusal = refusal.Refusal{Reason: refusal.Shed, Outcome: attempt.NotRun, Depth: a.Depth}
	case len(h.Peek(names.BackendMarker)) == 0:
		return errNoBackendMarker
	case len(h.Peek(fasthttp.HeaderContentEncoding)) > 0:
		return errUnexpectedEncoding
	case code == fasthttp.StatusServiceUnavailable, code == fasthttp.StatusTooManyRequests, code == fasthttp.StatusRequestTimeout:
		return errRetryWithoutGuarantee
	default:
		reply.Outcome = attempt.Answered
		return nil
	}
	reply.Outcome = attempt.NotRun
	return nil
}
