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

// Config bounds what one listener accepts.
type Config struct {
	MaxBodyBytes int                                                          // largest request body, in bytes
	BodyMemory   *semaphore.Weighted                                          // bytes for the request bodies of all listeners
	RefusalReply func(*fasthttp.RequestHeader, refusal.Reason) *message.Reply // reply to a request that is not passed on
	Serve        func(context.Context, Request) *message.Reply                // carries out a request; ctx ends when the other side disconnects
	PanicReply   func(*fasthttp.RequestHeader, any) *message.Reply            // reply to a request whose Serve panicked with the given value
}

// Request is a completely received request; Header belongs to the listener until Serve returns.
type Request struct {
	Header         *fasthttp.RequestHeader
	Body           []byte
	Arrived        time.Time // when the header was read
	PipelinedAhead int       // requests of the same connection that were not answered then
}

// Handler turns requests of fasthttp into calls of Serve.
type Handler struct{ cfg Config }

// New returns a Handler.
func New(cfg Config) *Handler {
	return &Handler{cfg: cfg}
}

// Serve carries out a request that was received; the caller of Run writes the reply. A panic ends this request only.
func (h *Handler) Serve(ctx context.Context, in Request) (reply *message.Reply) {
	defer func() {
		if v := recover(); v != nil {
			reply = h.cfg.PanicReply(in.Header, v)
		}
	}()
	return h.cfg.Serve(ctx, in)
}

// RefusalReply returns the reply to a request that is not passed on.
func (h *Handler) RefusalReply(header *fasthttp.RequestHeader, reason refusal.Reason) *message.Reply {
	return h.cfg.RefusalReply(header, reason)
}

// ReleaseBody gives back the memory of a body.
func (h *Handler) ReleaseBody(body []byte) {
	h.cfg.BodyMemory.Release(int64(cap(body)))
}

// ValidateHeader refuses requests whose header could be read differently elsewhere.
func ValidateHeader(req *fasthttp.Request) refusal.Reason {
	if reason := check(&req.Header); reason != refusal.None {
		return reason
	}
	uri := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(uri)
	if uri.Parse(req.Header.Host(), req.Header.RequestURI()) != nil {
		return refusal.Malformed
	}
	return refusal.None
}

func check(h *fasthttp.RequestHeader) refusal.Reason {
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

// ReadBody reads the whole body that follows the header of req in r, within the memory that is left; Release gives that back.
func (h *Handler) ReadBody(req *fasthttp.Request, r *bufio.Reader) ([]byte, refusal.Reason) {
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
	body, reason := h.read(stream, length)
	switch {
	case reason != refusal.None:
		return body, reason
	case length > 0 && len(body) != length:
		return body, refusal.Malformed
	case len(body) > 0 && (req.Header.IsGet() || req.Header.IsHead()):
		// Servers disagree on whether such a request has a body at all.
		return body, refusal.Malformed
	}
	return body, refusal.None
}

// grow is the first size of a buffer for a body of unknown length, in bytes.
const grow = 4 << 10

func (h *Handler) read(stream io.Reader, length int) ([]byte, refusal.Reason) {
	size := length
	if size < 0 {
		size = grow
	}
	if !h.cfg.BodyMemory.TryAcquire(int64(size)) {
		return nil, refusal.MemoryBudget
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			var reason refusal.Reason
			if body, reason = h.enlarge(body, length); reason != refusal.None {
				return body, reason
			}
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, refusal.None
		case err != nil:
			return body, refusal.Malformed
		}
	}
}

// enlarge doubles a buffer; it returns the old one with the reason if it must not grow.
func (h *Handler) enlarge(body []byte, length int) ([]byte, refusal.Reason) {
	if length >= 0 {
		// One byte more is enough to meet the end of the stream.
		return h.resize(body, length+1)
	}
	if len(body) > h.cfg.MaxBodyBytes {
		return body, refusal.BodyTooLarge
	}
	return h.resize(body, min(2*cap(body), h.cfg.MaxBodyBytes+1))
}

func (h *Handler) resize(body []byte, size int) ([]byte, refusal.Reason) {
	if !h.cfg.BodyMemory.TryAcquire(int64(size - cap(body))) {
		return body, refusal.MemoryBudget
	}
	next := make([]byte, len(body), size)
	copy(next, body)
	return next, refusal.None
}
