package inbound

import (
	"bufio"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/protocol/message"
)

// Config holds the limits and callbacks of a Handler.
type Config struct {
	MaxBodyBytes int                                                          // limit of one request body
	BodyMemory   *semaphore.Weighted                                          // memory budget in bytes for the request bodies of all listeners
	RefusalReply func(*fasthttp.RequestHeader, refusal.Reason) *message.Reply // builds the reply to a request that is not passed to Serve
	Serve        func(context.Context, Request) *message.Reply                // processes a request; ctx is cancelled when the client disconnects
	PanicReply   func(*fasthttp.RequestHeader, any) *message.Reply            // builds the reply after Serve panicked with the given value
	ExpiredReply func(*fasthttp.RequestHeader) *message.Reply                 // builds the reply in place of one whose Deadline has passed
}

// Request is a completely received request; Header must not be used after Serve has returned.
type Request struct {
	Header         *fasthttp.RequestHeader
	Body           []byte
	Arrived        time.Time // when the header was read
	PipelinedAhead int       // earlier requests of the connection that were unanswered at that time
}

// Handler reads the bodies of fasthttp requests within a memory budget and passes the requests to Config.Serve.
type Handler struct{ cfg Config }

// New returns a Handler.
func New(cfg Config) *Handler {
	return &Handler{cfg: cfg}
}

// Serve passes a request to Config.Serve and returns its reply; a panic is recovered and answered by Config.PanicReply.
func (h *Handler) Serve(ctx context.Context, in Request) (reply *message.Reply) {
	defer func() {
		if v := recover(); v != nil {
			reply = h.cfg.PanicReply(in.Header, v)
		}
	}()
	return h.cfg.Serve(ctx, in)
}

// RefusalReply returns the reply to a request that is refused before Serve, built by Config.RefusalReply.
func (h *Handler) RefusalReply(header *fasthttp.RequestHeader, reason refusal.Reason) *message.Reply {
	return h.cfg.RefusalReply(header, reason)
}

// ExpiredReply returns the reply to send in place of one whose deadline passed before its turn, built by Config.ExpiredReply.
func (h *Handler) ExpiredReply(header *fasthttp.RequestHeader) *message.Reply {
	return h.cfg.ExpiredReply(header)
}

// ReleaseBody returns the memory of a body from ReadBody to Config.BodyMemory.
func (h *Handler) ReleaseBody(body []byte) {
	h.cfg.BodyMemory.Release(int64(cap(body)))
}

// ValidateHeader returns a reason to refuse a request whose header other servers could parse differently (request
// smuggling) or that asks for a protocol upgrade or a tunnel; refusal.None means that the header is valid.
func ValidateHeader(req *fasthttp.Request) refusal.Reason {
	if reason := validateFields(&req.Header); reason != refusal.None {
		return reason
	}
	uri := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(uri)
	if uri.Parse(req.Header.Host(), req.Header.RequestURI()) != nil {
		return refusal.Malformed
	}
	return refusal.None
}

func validateFields(h *fasthttp.RequestHeader) refusal.Reason {
	switch {
	case string(h.Protocol()) != "HTTP/1.1":
		return refusal.Malformed
	case tcp.ValidateHeaderBlock(h.RawHeaders()) != nil:
		return refusal.Malformed
	case len(h.PeekAll(fasthttp.HeaderHost)) != 1 || len(h.Host()) == 0:
		return refusal.Malformed
	case len(h.Peek(fasthttp.HeaderUpgrade)) > 0 || h.IsConnect():
		return refusal.UpgradeUnsupported
	}
	return refusal.None
}

// ReadBody reads the whole body of req from r, within the free part of Config.BodyMemory, and reports the bytes of each read to
// received. The caller must pass the returned body to ReleaseBody, also with a reason other than refusal.None.
func (h *Handler) ReadBody(req *fasthttp.Request, r *bufio.Reader, received func(n int)) ([]byte, refusal.Reason) {
	if req.Header.ContentLength() > h.cfg.MaxBodyBytes {
		return nil, refusal.BodyTooLarge
	}
	if err := req.ContinueReadBodyStream(r, h.cfg.MaxBodyBytes, false); err != nil {
		return nil, refusal.Malformed
	}
	length := req.Header.ContentLength()
	stream := req.BodyStream()
	if length == 0 || stream == nil {
		return nil, refusal.None
	}
	body, reason := h.readStream(stream, length, received)
	switch {
	case reason != refusal.None:
		return body, reason
	case length > 0 && len(body) != length:
		return body, refusal.Malformed
	case len(body) > 0 && (req.Header.IsGet() || req.Header.IsHead()):
		// Servers disagree on whether GET and HEAD requests can have a body.
		return body, refusal.Malformed
	}
	return body, refusal.None
}

// First buffer sizes of a body, in bytes. A body of known length starts small too: a client that announces much and sends
// little must not hold the memory of all others.
const (
	initialBufferSize      = 4 << 10
	initialKnownBufferSize = 16 << 10
)

func (h *Handler) readStream(stream io.Reader, length int, received func(n int)) ([]byte, refusal.Reason) {
	size := initialBufferSize
	if length >= 0 {
		size = min(length, initialKnownBufferSize)
	}
	if !h.cfg.BodyMemory.TryAcquire(int64(size)) {
		return nil, refusal.MemoryBudget
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			var reason refusal.Reason
			if body, reason = h.growBuffer(body, length); reason != refusal.None {
				return body, reason
			}
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		received(n)
		switch {
		case errors.Is(err, io.EOF):
			return body, refusal.None
		case err != nil:
			return body, refusal.Malformed
		}
	}
}

// growBuffer enlarges a full buffer to twice its size, but not beyond what the body needs. It returns the unchanged buffer and a
// reason if the body is too large or memory is short.
func (h *Handler) growBuffer(body []byte, length int) ([]byte, refusal.Reason) {
	if length >= 0 {
		// After a complete body, a read needs one free byte to return io.EOF.
		return h.resizeBuffer(body, min(max(2*cap(body), 1), length+1))
	}
	if len(body) > h.cfg.MaxBodyBytes {
		return body, refusal.BodyTooLarge
	}
	return h.resizeBuffer(body, min(2*cap(body), h.cfg.MaxBodyBytes+1))
}

func (h *Handler) resizeBuffer(body []byte, size int) ([]byte, refusal.Reason) {
	if !h.cfg.BodyMemory.TryAcquire(int64(size - cap(body))) {
		return body, refusal.MemoryBudget
	}
	next := make([]byte, len(body), size)
	copy(next, body)
	return next, refusal.None
}
