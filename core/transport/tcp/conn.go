package tcp

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// ReadBufferSize bounds a response header and the memory of one connection per direction, in bytes.
const ReadBufferSize = 16 << 10

// writeSize is the buffer for a request, in bytes: enough for most headers; longer parts are written past it.
const writeSize = 4 << 10

// Buffers of connections that carry an exchange; an idle connection holds none.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, ReadBufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeSize) }}
)

// Conn is one pooled connection; it carries one exchange at a time.
type Conn struct {
	net   net.Conn
	pool  *Pool
	r     *bufio.Reader // nil while the connection is idle
	w     *bufio.Writer // as r
	out   *counter
	since time.Time // when it became idle
	once  *sync.Once
	ended chan struct{} // closed when the other side is known to work on the exchange no longer
}

// counter tells whether the kernel took a byte.
type counter struct {
	net.Conn
	n int64
}

// sent is a connection that encodes what is written; Sent returns the bytes that the kernel took.
type sent interface{ BytesSent() int64 }

func (c *counter) Write(b []byte) (int, error) {
	s, encoded := c.Conn.(sent)
	if !encoded {
		n, err := c.Conn.Write(b)
		c.n += int64(n)
		return n, err
	}
	// A failed write of an encoded block reports no byte although the kernel may have taken a part of it.
	before := s.BytesSent()
	n, err := c.Conn.Write(b)
	c.n += s.BytesSent() - before
	return n, err
}

func newConn(raw net.Conn, p *Pool) *Conn {
	c := &Conn{
		net:  raw,
		pool: p,
		out:  &counter{Conn: raw},
		once: &sync.Once{},

		ended: make(chan struct{}),
	}
	c.equip()
	return c
}

// equip takes buffers for an exchange.
func (c *Conn) equip() {
	c.r, _ = readers.Get().(*bufio.Reader)
	c.r.Reset(c.net)
	c.w, _ = writers.Get().(*bufio.Writer)
	c.w.Reset(c.out)
}

// strip gives the buffers back.
func (c *Conn) strip() {
	c.r.Reset(nil)
	readers.Put(c.r)
	c.w.Reset(nil)
	writers.Put(c.w)
	c.r, c.w = nil, nil
}

// quiet says whether an idle connection looks open, with nothing to read.
func (c *Conn) quiet() bool {
	return Peek(c.net) == NoData
}

// watch interrupts the exchange when ctx ends; the returned function stops that and reports whether ctx was later.
func (c *Conn) watch(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		if c.pool.cfg.AbandonTimeout == 0 {
			_ = c.net.Close()
			return
		}
		// The socket stays open for reap; no deadline is set in between, since bodies set theirs after the header.
		_ = c.net.SetDeadline(time.Unix(1, 0))
	})
}

// abandon gives up an exchange whose response header has not arrived. The other side may still be at work: closing
// the write side asks it to cancel, and the first byte or the end of its response shows that it has finished.
func (c *Conn) abandon() {
	if c.pool.cfg.AbandonTimeout == 0 || c.out.n == 0 {
		c.finish(false)
		return
	}
	c.once.Do(func() { go c.reap() })
}

func (c *Conn) reap() {
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.net.SetDeadline(time.Now().Add(c.pool.cfg.AbandonTimeout))
	_, _ = c.net.Read(make([]byte, 1))
	c.end(c.pool.drop)
}

func (c *Conn) end(give func(*Conn)) {
	give(c)
	close(c.ended)
}

func (c *Conn) finish(keep bool) {
	c.once.Do(func() {
		if !keep || c.r.Buffered() > 0 {
			c.end(c.pool.drop)
			return
		}
		c.out.n = 0
		next := *c
		next.strip()
		next.once = &sync.Once{}
		next.ended = make(chan struct{})
		c.end(func(*Conn) { c.pool.put(&next) })
	})
}
