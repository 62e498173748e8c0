package tcp

import (
	"bytes"
	"context"
	"io"
	"net/http/httputil"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Response is a response whose header has arrived.
type Response struct {
	Header fasthttp.ResponseHeader
	Length int // bytes of the body, Chunked if unknown, 0 if none
	// Body gives back its connection when read to the end; closed earlier, it closes the connection.
	// A body that ends early returns io.ErrUnexpectedEOF.
	Body io.ReadCloser
}

// Lengths of a response whose header states none.
const (
	Chunked        = -1
	CloseDelimited = -2 // the body ends with the connection
)

// Exchange sends req with body on a connection of p and reads the response header.
// When ctx ends before the body was read, the connection is given up; the error says when the other side has ended.
func (p *Pool) Exchange(ctx context.Context, req *fasthttp.RequestHeader, body []byte) (*Response, error) {
	c, err := p.Get(ctx)
	if err != nil {
		return nil, err
	}
	stop := c.watch(ctx)
	resp, err := c.exchange(ctx, req, body, stop)
	if err == nil {
		return resp, nil
	}
	stop()
	wrote := c.out.n > 0
	if ctx.Err() != nil {
		c.abandon()
	} else {
		c.finish(false)
	}
	if ctx.Err() != nil {
		err = errors.WithSecondaryError(context.Cause(ctx), err)
	}
	step := WriteRequest
	if c.w.Buffered() == 0 && wrote {
		step = ReadHeader
	}
	return nil, &Error{Step: step, Peer: p.cfg.Address, WroteAny: wrote, Err: err, PeerDone: c.ended}
}

func (c *Conn) exchange(ctx context.Context, req *fasthttp.RequestHeader, body []byte, stop func() bool) (*Response, error) {
	if err := c.send(req, body); err != nil {
		return nil, err
	}
	resp := &Response{}
	b, err := c.own(ctx, resp, req)
	if err != nil {
		return nil, err
	}
	b.stop, b.ctx = stop, ctx
	resp.Body = b
	if b.r == nil {
		b.end()
	}
	return resp, nil
}

// Bounds of what is dropped in an exchange: a faulty peer may send it without end.
const (
	maxStray     = 4        // responses to earlier requests before the own one
	maxInterim   = 8        // interim responses (1xx) before a final one
	strayBytes   = 1 << 20  // body of a response to an earlier request, in bytes
	trailerBytes = 16 << 10 // trailer of a chunked body, in bytes
)

// own reads the header of the response to req; responses that belong to earlier requests are read and dropped.
func (c *Conn) own(ctx context.Context, resp *Response, req *fasthttp.RequestHeader) (*body, error) {
	for range maxStray {
		if err := c.head(ctx, &resp.Header); err != nil {
			return nil, err
		}
		b, err := c.body(resp, req.IsHead())
		if err != nil || !c.stray(&resp.Header, req) {
			return b, err
		}
		if resp.Length == CloseDelimited || !b.keep {
			return nil, errStray
		}
		if b.r != nil {
			if err := discard(b.r); err != nil {
				return nil, err
			}
		}
		resp.Length = 0
	}
	return nil, errStray
}

// discard reads r to its end.
func discard(r io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, strayBytes))
	if err == nil && n == strayBytes {
		return errStray
	}
	return err
}

// errStray reports a response that belongs to another request.
var errStray = errors.New("response belongs to another request")

func (c *Conn) stray(h *fasthttp.ResponseHeader, req *fasthttp.RequestHeader) bool {
	name := c.pool.cfg.EchoHeader
	if name == "" {
		return false
	}
	got, want := h.Peek(name), req.Peek(name)
	return len(got) > 0 && !bytes.Equal(got, want)
}

func (c *Conn) send(req *fasthttp.RequestHeader, body []byte) error {
	if _, err := c.w.Write(req.Header()); err != nil {
		return err
	}
	if _, err := c.w.Write(body); err != nil {
		return err
	}
	return c.w.Flush()
}

// head reads the final response header; interim ones are dropped.
func (c *Conn) head(ctx context.Context, h *fasthttp.ResponseHeader) error {
	for range maxInterim + 1 {
		h.Reset()
		h.SetNoDefaultContentType(true)
		block, err := c.block(ctx)
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

// block waits for a header block; after its first byte the rest must come within the time of the pool.
func (c *Conn) block(ctx context.Context) ([]byte, error) {
	if c.pool.cfg.HeaderReadTimeout > 0 {
		if _, err := c.r.Peek(1); err != nil {
			return nil, err
		}
		c.limit(ctx, time.Now().Add(c.pool.cfg.HeaderReadTimeout))
		defer c.limit(ctx, time.Time{})
	}
	return peekBlock(c.r)
}

// limit sets the deadline for reading without undoing an interruption by ctx.
func (c *Conn) limit(ctx context.Context, deadline time.Time) {
	_ = c.net.SetReadDeadline(deadline)
	if ctx.Err() != nil {
		// The interruption may have come just before the new deadline.
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *Conn) body(resp *Response, head bool) (*body, error) {
	code := resp.Header.StatusCode()
	keep := !resp.Header.ConnectionClose()
	none := head || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified
	switch n := resp.Header.ContentLength(); {
	case none:
		return &body{c: c, keep: keep}, nil
	case n == 0:
		return &body{c: c, keep: keep}, nil
	case n > 0:
		resp.Length = n
		return &body{c: c, keep: keep, r: &exact{r: c.r, left: n}}, nil
	case n < Chunked && c.pool.cfg.AllowCloseDelimited:
		resp.Length = CloseDelimited
		return &body{c: c, r: c.r}, nil
	case n == Chunked:
		resp.Length = Chunked
		return &body{c: c, keep: keep, r: &chunks{r: httputil.NewChunkedReader(c.r), c: c}}, nil
	}
	// The end of a body that is delimited only by closing cannot be told from a cut.
	return nil, errors.New("response has neither a length nor chunks")
}

// exact reads a body of known length.
type exact struct {
	r    io.Reader
	left int
}

func (e *exact) Read(b []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err := e.r.Read(b[:min(len(b), e.left)])
	e.left -= n
	if e.left == 0 {
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunks reads a chunked body and its trailer, which is dropped.
type chunks struct {
	r io.Reader
	c *Conn
}

func (k *chunks) Read(b []byte) (int, error) {
	n, err := k.r.Read(b)
	if errors.Is(err, io.EOF) {
		if err := k.trailer(); err != nil {
			return n, err
		}
	}
	return n, err
}

func (k *chunks) trailer() error {
	for left := trailerBytes; left > 0; {
		line, err := k.c.r.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		left -= len(line)
	}
	return ErrHeaderTooLarge
}

// body ends the exchange when it has been read or closed.
type body struct {
	c    *Conn
	r    io.Reader // nil once there is nothing left
	keep bool
	stop func() bool
	ctx  context.Context // interrupts the exchange
}

func (b *body) Read(p []byte) (int, error) {
	if b.r == nil {
		return 0, io.EOF
	}
	if stall := b.c.pool.cfg.BodyReadTimeout; stall > 0 {
		b.c.limit(b.ctx, time.Now().Add(stall))
	}
	n, err := b.r.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		_ = b.c.net.SetReadDeadline(time.Time{})
		b.end()
	case err != nil:
		b.c.finish(false)
		err = &Error{Step: ReadBody, Peer: b.c.pool.cfg.Address, WroteAny: true, Err: err}
	}
	return n, err
}

func (b *body) end() {
	b.r = nil
	// A false stop means that the socket is being closed.
	b.c.finish(b.stop() && b.keep)
}

// Close abandons what has not been read, and with it the connection.
func (b *body) Close() error {
	if b.r != nil {
		b.r = nil
		b.stop()
		b.c.finish(false)
	}
	return nil
}
