package message

import (
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/coordination/choice"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/hint"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/rule"
)

// Request is a completely received request without hop-by-hop headers; it is not changed after that.
type Request struct {
	Header     fasthttp.RequestHeader
	Body       []byte
	Service    string
	Idempotent bool
	Level      rule.Level
	Deadline   time.Time // for the response header
	Depth      int       // of the attempts for this request
	Key        string    // Idempotency-Key, empty if none
}

// Reply is a response whose body is still to be read, or a refusal without a body.
type Reply struct {
	Header  fasthttp.ResponseHeader
	Length  int           // of Body, tcp.Chunked if unknown
	Body    io.ReadCloser // nil for none
	Whole   bool          // Body is in memory; where it came from has finished
	Outcome attempt.Outcome
	Result  choice.Result
	Refusal refusal.Refusal // set when a node or a back end refused
	Hint    *hint.Hint
}

// Close abandons the body.
func (r *Reply) Close() {
	if r != nil && r.Body != nil {
		_ = r.Body.Close()
	}
}

// SmallBody is the length up to which a body is received before its header is passed on, in bytes:
// a cut then becomes an error instead of a half response.
const SmallBody = 4 << 10

// Absorb receives the body if it is small; an error says that it was cut.
func (r *Reply) Absorb() error {
	if r.Body == nil || r.Length <= 0 || r.Length > SmallBody {
		return nil
	}
	body := make([]byte, r.Length)
	_, err := io.ReadFull(r.Body, body)
	if err == nil {
		// The end gives the connection back.
		_, err = r.Body.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) {
			err = nil
		}
	}
	r.Close()
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.Whole = true
	return err
}

// Refuse returns the reply that carries f.
func Refuse(f refusal.Refusal) *Reply {
	r := &Reply{Outcome: f.Outcome, Result: choice.Refused, Refusal: f}
	r.Header.SetNoDefaultContentType(true)
	r.Header.SetStatusCode(f.Reason.Status())
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
	attempt.HeaderRevision, attempt.HeaderPriority, attempt.HeaderService, attempt.HeaderHint, attempt.HeaderClock,
}

// fields is what request and response headers of fasthttp have in common here.
type fields interface {
	Peek(key string) []byte
	PeekAll(key string) [][]byte
	Del(key string)
	ResetConnectionClose()
}

// Strip removes hop-by-hop headers, those named in Connection and those between nodes.
func Strip(h fields) {
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
