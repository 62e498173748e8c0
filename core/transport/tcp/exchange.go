package tcp

import (
	"bytes"
	"context"
	"io"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Response is a response whose header has arrived.
type Response struct {
	Header fasthttp.ResponseHeader
	Length int // of Body in bytes; 0 if there is none; Chunked or CloseDelimited if unknown
	// Body returns its connection to the pool when it has been read to the end; closed before that, it closes the
	// connection. A body that is cut off returns an Error that wraps io.ErrUnexpectedEOF.
	Body io.ReadCloser
}

// Values of Response.Length for a header without Content-Length.
const (
	Chunked        = -1 // the body is sent in chunks
	CloseDelimited = -2 // the body ends with the connection
)

// Exchange sends req with body on a connection of p and reads the response header.
// If ctx ends before the body was read, the connection is not used again. An error is an Error, whose PeerDone tells when
// the other side has stopped working on the request.
func (p *Pool) Exchange(ctx context.Context, req *fasthttp.RequestHeader, body []byte) (*Response, error) {
	return p.exchange(ctx, req, body, false)
}

// ExchangeAsking is Exchange with a peer that runs a request only with its whole body: the body is sent after the peer asks
// for it with 100 Continue, and Error.WroteAny is set only after that. A final response without it ends the connection.
func (p *Pool) ExchangeAsking(ctx context.Context, req *fasthttp.RequestHeader, body []byte) (*Response, error) {
	req.Set(fasthttp.HeaderExpect, "100-continue")
	return p.exchange(ctx, req, body, true)
}

func (p *Pool) exchange(ctx context.Context, req *fasthttp.RequestHeader, body []byte, ask bool) (*Response, error) {
	c, err := p.Get(ctx)
	if err != nil {
		return nil, err
	}
	stop := c.interruptOnDone(ctx)
	resp, err := c.roundTrip(ctx, req, body, ask, stop)
	if err == nil {
		return resp, nil
	}
	stop()
	c.stopBody()
	wroteAny := c.written.bytes.Load() > c.askedBytes
	if ctx.Err() != nil {
		c.abandon()
	} else {
		c.finish(false)
	}
	if ctx.Err() != nil {
		err = errors.WithSecondaryError(context.Cause(ctx), err)
	}
	step := WriteRequest
	if c.w.Buffered() == 0 && wroteAny {
		step = ReadHeader
	}
	return nil, &Error{Step: step, Peer: p.cfg.Address, WroteAny: wroteAny, Err: err, PeerDone: c.peerDone}
}

func (c *Conn) roundTrip(ctx context.Context, req *fasthttp.RequestHeader, body []byte, ask bool, stop func() bool) (*Response, error) {
	resp := &Response{}
	b, err := c.sendAndReceive(ctx, resp, req, body, ask)
	if err != nil {
		return nil, err
	}
	b.stopInterrupt, b.ctx = stop, ctx
	resp.Body = b
	if b.r == nil {
		b.endExchange()
	}
	return resp, nil
}

// sendAndReceive sends the request and reads the header of its response into resp.
func (c *Conn) sendAndReceive(ctx context.Context, resp *Response, req *fasthttp.RequestHeader, body []byte, ask bool) (*responseBody, error) {
	if !ask {
		if err := c.sendRequest(req, body); err != nil {
			return nil, err
		}
		return c.readOwnResponse(ctx, resp, req)
	}
	proceed, err := c.askToSend(ctx, req, &resp.Header)
	if err != nil {
		return nil, err
	}
	if !proceed {
		b, err := c.newBody(resp, req.IsHead())
		if err == nil {
			b.reuse = false
		}
		return b, err
	}
	if err := c.sendBody(body); err != nil {
		return nil, err
	}
	return c.readOwnResponse(ctx, resp, req)
}

// askToSend sends the header of a request and reports whether the peer asks for its body. If not, h is the header of the
// final response.
func (c *Conn) askToSend(ctx context.Context, req *fasthttp.RequestHeader, h *fasthttp.ResponseHeader) (bool, error) {
	// Until the body follows, nothing counts as written: the peer cannot run the request.
	c.askedBytes = math.MaxInt64
	if _, err := c.w.Write(req.Header()); err != nil {
		return false, err
	}
	if err := c.w.Flush(); err != nil {
		return false, err
	}
	for range maxInterimResponses + 1 {
		if err := c.readHeader(ctx, h); err != nil {
			return false, err
		}
		switch code := h.StatusCode(); {
		case code == fasthttp.StatusContinue:
			c.askedBytes = c.written.bytes.Load()
			return true, nil
		case code >= fasthttp.StatusOK:
			return false, nil
		}
	}
	return false, errTooManyInterim
}

// sendBody sends a body, or begins to send a large one.
func (c *Conn) sendBody(body []byte) error {
	if len(body) >= concurrentBodySize {
		if err := c.w.Flush(); err != nil {
			return err
		}
		c.startBody(body)
		return nil
	}
	if _, err := c.w.Write(body); err != nil {
		return err
	}
	return c.w.Flush()
}

// Bounds of what is read and dropped in an exchange; a faulty peer may send it without end.
const (
	maxMismatchedResponses = 4        // responses to earlier requests after which the exchange fails
	maxInterimResponses    = 8        // interim responses (1xx) before the final one
	maxMismatchedBodyBytes = 1 << 20  // body of a response to an earlier request, in bytes
	maxTrailerBytes        = 16 << 10 // trailer of a chunked body, in bytes
)

// readOwnResponse reads the header of the response to req. Responses to earlier requests are read and dropped.
func (c *Conn) readOwnResponse(ctx context.Context, resp *Response, req *fasthttp.RequestHeader) (*responseBody, error) {
	for range maxMismatchedResponses {
		if err := c.readFinalHeader(ctx, &resp.Header); err != nil {
			return nil, err
		}
		b, err := c.newBody(resp, req.IsHead())
		if err != nil || !c.isMismatched(&resp.Header, req) {
			return b, err
		}
		if resp.Length == CloseDelimited || !b.reuse {
			return nil, errMismatched
		}
		if b.r != nil {
			if err := Discard(b.r, maxMismatchedBodyBytes); err != nil {
				return nil, err
			}
		}
		resp.Length = 0
	}
	return nil, errMismatched
}

// ErrBodyTooLarge is returned by Discard for a body that does not end within its limit.
var ErrBodyTooLarge = errors.New("response body is too large")

// Discard reads a body to its end, so that its connection can be used again, or returns ErrBodyTooLarge at limit bytes.
func Discard(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit))
	if err == nil && n == limit {
		return ErrBodyTooLarge
	}
	return err
}

// errMismatched is returned if a response to another request cannot be skipped, or after maxMismatchedResponses of them.
var errMismatched = errors.New("response belongs to another request")

// isMismatched reports whether h belongs to another request: its EchoHeader has another value than that of req. On a connection
// that carried an earlier exchange, a response without it may be a copy of an earlier response that had none, such as that to
// a health check.
func (c *Conn) isMismatched(h *fasthttp.ResponseHeader, req *fasthttp.RequestHeader) bool {
	name := c.pool.cfg.EchoHeader
	if name == "" {
		return false
	}
	got, want := h.Peek(name), req.Peek(name)
	if len(got) == 0 {
		return c.reused && len(want) > 0
	}
	return !bytes.Equal(got, want)
}

func (c *Conn) sendRequest(req *fasthttp.RequestHeader, body []byte) error {
	if _, err := c.w.Write(req.Header()); err != nil {
		return err
	}
	return c.sendBody(body)
}

// Errors of interim responses.
var (
	errTooManyInterim    = errors.New("too many interim responses")
	errSwitchesProtocols = errors.New("response switches protocols")
)

// readFinalHeader reads the header of the final response and drops interim responses.
func (c *Conn) readFinalHeader(ctx context.Context, h *fasthttp.ResponseHeader) error {
	for range maxInterimResponses + 1 {
		if err := c.readHeader(ctx, h); err != nil || h.StatusCode() >= fasthttp.StatusOK {
			return err
		}
	}
	return errTooManyInterim
}

// readHeader reads the header of the next response, interim ones included.
func (c *Conn) readHeader(ctx context.Context, h *fasthttp.ResponseHeader) error {
	h.Reset()
	h.SetNoDefaultContentType(true)
	block, err := c.awaitHeaderBlock(ctx)
	if err != nil {
		return err
	}
	if err := ValidateHeaderBlock(block); err != nil {
		return err
	}
	if err := h.Read(c.r); err != nil {
		return err
	}
	if h.StatusCode() == fasthttp.StatusSwitchingProtocols {
		return errSwitchesProtocols
	}
	return nil
}

// awaitHeaderBlock waits for a header block. After its first byte, the rest must arrive within HeaderReadTimeout.
func (c *Conn) awaitHeaderBlock(ctx context.Context) ([]byte, error) {
	if c.pool.cfg.HeaderReadTimeout > 0 {
		if _, err := c.r.Peek(1); err != nil {
			return nil, err
		}
		c.setReadDeadline(ctx, time.Now().Add(c.pool.cfg.HeaderReadTimeout))
		defer c.setReadDeadline(ctx, time.Time{})
	}
	return peekHeaderBlock(c.r)
}

// setReadDeadline sets the read deadline without undoing the interruption of the exchange by the end of ctx.
func (c *Conn) setReadDeadline(ctx context.Context, deadline time.Time) {
	_ = c.netConn.SetReadDeadline(deadline)
	if ctx.Err() != nil {
		// The new deadline may have replaced that of the interruption.
		_ = c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}
