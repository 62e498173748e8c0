package message

import (
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// Request is a completely received request without hop-by-hop headers. It is read-only once it has been routed.
type Request struct {
	Header         fasthttp.RequestHeader
	Body           []byte
	Service        string
	Idempotent     bool
	Upload         bool // the body may be large
	Priority       rule.Priority
	Rank           int           // priority number of a request on a route, 0 for the most urgent
	RouteRank      int           // priority number of the route
	Account        string        // client account of the request, empty for none
	ByCost         bool          // under overload, requests give way by what their delay costs callers
	Inherited      bool          // Account and Rank are those of the request for which the local back end makes this call
	Arrived        time.Time     // arrival at the entry node
	PipelinedAhead int           // earlier requests of the same connection that were unanswered on arrival
	Deadline       time.Time     // for the whole response
	Depth          int           // position in the call chain, sent with every attempt
	Route          string        // empty if a service line of the rules matched the request, not a route
	Objective      time.Duration // latency objective, counted from FirstTry; 0 if none is set
	CallerTimeout  time.Duration // timeout that the caller sent, 0 if it sent none
	FirstTry       time.Time     // arrival of the caller's first try of this request
	MaxTries       int           // back ends that the request may be sent to, 0 for no limit by its route
	IdempotencyKey string        // value of the Idempotency-Key header, empty if absent
}

// Reply is a response whose body is still to be read, or a refusal without a body.
type Reply struct {
	Header   fasthttp.ResponseHeader
	Length   int           // of Body, tcp.Chunked if unknown
	Body     io.ReadCloser // nil for none
	Buffered bool          // Body is completely in memory and its connection is released
	Deadline time.Time     // by which a body that is not Buffered must be written; zero for no limit
	Outcome  attempt.Outcome
	Result   balancer.Result
	Refusal  refusal.Refusal // set if a node or a back end refused the request
	Hint     *hint.Hint
}

// Close closes the body, read or not; it accepts a nil Reply.
func (r *Reply) Close() {
	if r != nil && r.Body != nil {
		_ = r.Body.Close()
	}
}

// BufferedBodySize is the length in bytes up to which a body is always received before its header is passed on. A
// connection that breaks within such a body then yields an error instead of a truncated response.
const BufferedBodySize = 4 << 10

// SetDeadline limits the time for a body that is still to be received. One that is in memory is delivered, also late.
func (r *Reply) SetDeadline(deadline time.Time) {
	if r.Body != nil && !r.Buffered {
		r.Deadline = deadline
	}
}

// RefusalReply returns the reply that reports f in its status and headers.
func RefusalReply(f refusal.Refusal) *Reply {
	r := &Reply{Outcome: f.Outcome, Result: balancer.Refused, Refusal: f}
	r.Header.SetNoDefaultContentType(true)
	r.Header.SetStatusCode(f.StatusCode())
	for _, field := range f.HeaderFields() {
		r.Header.Set(field.Name, field.Value)
	}
	return r
}

// hopByHop lists the headers that are not forwarded (RFC 9110, section 7.6.1) and those that only nodes set.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	attempt.HeaderAttempt, attempt.HeaderIncarnation, attempt.HeaderDeadline, attempt.HeaderDepth,
	attempt.HeaderRevision, attempt.HeaderPriority, attempt.HeaderService, attempt.HeaderRoute, attempt.HeaderObjective,
	attempt.HeaderRerun, attempt.HeaderMovable, attempt.HeaderRequestLimit, attempt.HeaderHint, attempt.HeaderClock,
	attempt.HeaderAccount, attempt.HeaderRank, attempt.HeaderNested,
}

// header is the common interface of fasthttp's request and response headers.
type header interface {
	Peek(key string) []byte
	PeekAll(key string) [][]byte
	Del(key string)
	ResetConnectionClose()
}

// StripHopByHop removes hop-by-hop headers, the headers named in Connection and the headers used between nodes.
func StripHopByHop(h header) {
	for _, line := range h.PeekAll("Connection") {
		for name := range strings.SplitSeq(string(line), ",") {
			if name = strings.TrimSpace(name); !isProtected(name) {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	h.ResetConnectionClose()
}

// isProtected reports whether a Connection header must not remove the header name: Content-Length and Host are needed
// to frame and route the message. It is also true for the empty name.
func isProtected(name string) bool {
	return strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Host") || name == ""
}
