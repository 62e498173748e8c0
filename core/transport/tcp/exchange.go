package tcp

import (
	"bytes"
	"context"
	"io"
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
	c, err := p.Get(ctx)
	if err != nil {
		return nil, err
	}
	stop := c.interruptOnDone(ctx)
	resp, err := c.roundTrip(ctx, req, body, stop)
	if err == nil {
		return resp, nil
	}
	stop()
	wroteAny := c.written.bytes > 0
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

func (c *Conn) roundTrip(ctx context.Context, req *fasthttp.RequestHeader, body []byte, stop func() bool) (*Response, error) {
	if err := c.sendRequest(req, body); err != nil {
		return nil, err
	}
	resp := &Response{}
	b, err := c.readOwnResponse(ctx, resp, req)
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
			if err := discardBody(b.r); err != nil {
				return nil, err
			}
		}
		resp.Length = 0
	}
	return nil, errMismatched
}

// discardBody reads r to its end, or returns errMismatched if the body is too large.
func discardBody(r io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, maxMismatchedBodyBytes))
	if err == nil && n == maxMismatchedBodyBytes {
		return errMismatched
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
	if _, err := c.w.Write(body); err != nil {
		return err
	}
	return c.w.Flush()
}

// readFinalHeader reads the header of the final response and drops interim responses.
func (c *Conn) readFinalHeader(ctx context.Context, h *fasthttp.ResponseHeader) error {
	for range maxInterimResponses + 1 {
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
		switch code := h.StatusCode(); {
		case code == fasthttp.StatusSwitchingProtocols:
			return errors.New("response switches protocols")
		case code >= fasthttp.StatusOK:
			return nil
		}
	}
	return errors.New("too many interim responses")
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
