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

// newBody returns the body of resp and sets resp.Length. isHead is set if the request was HEAD, whose response has no body.
func (c *Conn) newBody(resp *Response, isHead bool) (*responseBody, error) {
	code := resp.Header.StatusCode()
	reuse := !resp.Header.ConnectionClose()
	noBody := isHead || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified
	switch n := resp.Header.ContentLength(); {
	case noBody:
		return &responseBody{c: c, reuse: reuse}, nil
	case n == 0:
		return &responseBody{c: c, reuse: reuse}, nil
	case n > 0:
		resp.Length = n
		return &responseBody{c: c, reuse: reuse, r: &fixedLengthReader{r: c.r, remaining: n}}, nil
	case n < Chunked && c.pool.cfg.AllowCloseDelimited:
		resp.Length = CloseDelimited
		return &responseBody{c: c, r: &closeDelimitedReader{r: c.r, c: c}}, nil
	case n == Chunked:
		resp.Length = Chunked
		return &responseBody{c: c, reuse: reuse, r: &chunkedReader{r: httputil.NewChunkedReader(c.r), c: c}}, nil
	}
	// If only the end of the connection delimits a body, a body that is cut off looks complete.
	return nil, errors.New("response has neither a length nor chunks")
}

// fixedLengthReader reads a body with a Content-Length.
type fixedLengthReader struct {
	r         io.Reader
	remaining int
}

func (f *fixedLengthReader) Read(b []byte) (int, error) {
	if f.remaining == 0 {
		return 0, io.EOF
	}
	n, err := f.r.Read(b[:min(len(b), f.remaining)])
	f.remaining -= n
	if f.remaining == 0 {
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// closeDelimitedReader reads a body that ends with the connection. A reset is no end, also if the goroutine that writes the
// request body is told of it first.
type closeDelimitedReader struct {
	r io.Reader
	c *Conn
}

func (d *closeDelimitedReader) Read(b []byte) (int, error) {
	n, err := d.r.Read(b)
	if errors.Is(err, io.EOF) && d.c.resetWhileSending() {
		err = errResetWhileSending
	}
	return n, err
}

var errResetWhileSending = errors.Wrap(io.ErrUnexpectedEOF, "the peer reset the connection while the request body was sent")

// chunkedReader reads a chunked body and drops its trailer.
type chunkedReader struct {
	r io.Reader
	c *Conn
}

func (k *chunkedReader) Read(b []byte) (int, error) {
	n, err := k.r.Read(b)
	if errors.Is(err, io.EOF) {
		if err := k.skipTrailer(); err != nil {
			return n, err
		}
	}
	return n, err
}

// skipTrailer reads the trailer with the empty line at its end, and returns ErrHeaderTooLarge if it exceeds
// maxTrailerBytes.
func (k *chunkedReader) skipTrailer() error {
	for remaining := maxTrailerBytes; remaining > 0; {
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
		remaining -= len(line)
	}
	return ErrHeaderTooLarge
}

// responseBody is the body of a Response. It ends the exchange when it has been read or closed.
type responseBody struct {
	c             *Conn
	r             io.Reader       // nil if nothing is left to read
	reuse         bool            // the connection may be used for another exchange
	stopInterrupt func() bool     // see Conn.interruptOnDone
	ctx           context.Context // interrupts the exchange
}

func (b *responseBody) Read(p []byte) (int, error) {
	if b.r == nil {
		return 0, io.EOF
	}
	if timeout := b.c.pool.cfg.BodyReadTimeout; timeout > 0 {
		b.c.setReadDeadline(b.ctx, time.Now().Add(timeout))
	}
	n, err := b.r.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		_ = b.c.netConn.SetReadDeadline(time.Time{})
		b.endExchange()
	case err != nil:
		b.c.finish(false)
		err = &Error{Step: ReadBody, Peer: b.c.pool.cfg.Address, WroteAny: true, Err: err}
	}
	return n, err
}

func (b *responseBody) endExchange() {
	b.r = nil
	// False from stopInterrupt means that ctx has ended and the connection is being interrupted.
	b.c.finish(b.stopInterrupt() && b.reuse && b.c.bodySent())
}

// Close closes the connection unless the body has been read to its end.
func (b *responseBody) Close() error {
	if b.r != nil {
		b.r = nil
		b.stopInterrupt()
		b.c.finish(false)
	}
	return nil
}
