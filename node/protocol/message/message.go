package message

import (
	"bytes"
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

// Request is a completely received request without hop-by-hop headers; it is not changed after that.
type Request struct {
	Header         fasthttp.RequestHeader
	Body           []byte
	Service        string
	Idempotent     bool
	Priority       rule.Priority
	Arrived        time.Time     // at the entry node
	PipelinedAhead int           // requests of the same connection that were not answered then
	Deadline       time.Time     // for the response header
	Depth          int           // of the attempts for this request
	Route          string        // empty for a request that a service line led here
	Objective      time.Duration // time from First within which an answer is of full use
	CallerTimeout  time.Duration // time that the caller allows, 0 if it does not say
	FirstTry       time.Time     // arrival of the caller's first try
	MaxTries       int           // back ends that the request may be sent to, 0 for no limit of its route
	IdempotencyKey string        // Idempotency-Key, empty if none
}

// Reply is a response whose body is still to be read, or a refusal without a body.
type Reply struct {
	Header   fasthttp.ResponseHeader
	Length   int           // of Body, tcp.Chunked if unknown
	Body     io.ReadCloser // nil for none
	Buffered bool          // Body is in memory; where it came from has finished
	Outcome  attempt.Outcome
	Result   balancer.Result
	Refusal  refusal.Refusal // set when a node or a back end refused
	Hint     *hint.Hint
}

// Close abandons the body.
func (r *Reply) Close() {
	if r != nil && r.Body != nil {
		_ = r.Body.Close()
	}
}

// BufferedBodySize is the length up to which a body is received before its header is passed on, in bytes:
// a cut then becomes an error instead of a half response.
const BufferedBodySize = 4 << 10

// Buffer receives the body if it has at most limit bytes; an error says that it was cut. Above SmallBody it also
// receives bodies of unknown length, so that one that is cut never reaches the caller. A larger one stays a stream.
func (r *Reply) Buffer(limit int) error {
	limit = max(limit, BufferedBodySize)
	if r.Body == nil || r.Length == 0 || r.Length > limit || r.Length < 0 && limit <= BufferedBodySize {
		return nil
	}
	size := r.Length
	if size < 0 {
		size = BufferedBodySize
	}
	buf := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	// One byte more than the limit tells a longer body; the end of the stream gives the connection back.
	n, err := buf.ReadFrom(io.LimitReader(r.Body, int64(limit)+1))
	if err == nil && n > int64(limit) {
		r.Body = joined{Reader: io.MultiReader(buf, r.Body), Closer: r.Body}
		return nil
	}
	if err == nil && r.Length > 0 && n != int64(r.Length) {
		err = io.ErrUnexpectedEOF
	}
	r.Close()
	r.Length = int(n)
	r.Body = io.NopCloser(bytes.NewReader(buf.Bytes()))
	r.Buffered = true
	return err
}

// joined is a body whose beginning was read already.
type joined struct {
	io.Reader
	io.Closer
}

// RefusalReply returns the reply that carries f.
func RefusalReply(f refusal.Refusal) *Reply {
	r := &Reply{Outcome: f.Outcome, Result: balancer.Refused, Refusal: f}
	r.Header.SetNoDefaultContentType(true)
	r.Header.SetStatusCode(f.Status())
	for _, field := range f.Fields() {
		r.Header.Set(field.Name, field.Value)
	}
	return r
}

// hopByHop are the headers that end at every hop (RFC 9110, section 7.6.1), and those that only nodes set.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	attempt.HeaderAttempt, attempt.HeaderIncarnation, attempt.HeaderDeadline, attempt.HeaderDepth,
	attempt.HeaderRevision, attempt.HeaderPriority, attempt.HeaderService, attempt.HeaderRoute, attempt.HeaderAim, attempt.HeaderRerun, attempt.HeaderMovable, attempt.HeaderHint, attempt.HeaderClock,
}

// fields is what request and response headers of fasthttp have in common here.
type fields interface {
	Peek(key string) []byte
	PeekAll(key string) [][]byte
	Del(key string)
	ResetConnectionClose()
}

// StripHopByHop removes hop-by-hop headers, those named in Connection and those between nodes.
func StripHopByHop(h fields) {
	for _, line := range h.PeekAll("Connection") {
		for name := range strings.SplitSeq(string(line), ",") {
			if name = strings.TrimSpace(name); !framing(name) {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	h.ResetConnectionClose()
}

// framing protects the headers that a Connection header must not remove.
func framing(name string) bool {
	return strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Host") || name == ""
}
