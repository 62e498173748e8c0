package tcp

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// BufferSize bounds a response header and the memory of one connection per direction, in bytes.
const BufferSize = 16 << 10

// Conn is one pooled connection; it carries one exchange at a time.
type Conn struct {
	net   net.Conn
	pool  *Pool
	r     *bufio.Reader
	w     *bufio.Writer
	out   *counter
	since time.Time // when it became idle
	once  *sync.Once
}

// counter tells whether the kernel took a byte.
type counter struct {
	net.Conn
	n int64
}

func (c *counter) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n += int64(n)
	return n, err
}

func newConn(raw net.Conn, p *Pool) *Conn {
	out := &counter{Conn: raw}
	return &Conn{
		net:  raw,
		pool: p,
		r:    bufio.NewReaderSize(raw, BufferSize),
		w:    bufio.NewWriterSize(out, BufferSize),
		out:  out,
		once: &sync.Once{},
	}
}

func (c *Conn) quiet() bool {
	return c.r.Buffered() == 0 && Peek(c.net) == Quiet
}

// watch closes the socket when ctx ends; the returned function stops that and reports whether ctx was first.
func (c *Conn) watch(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.net.Close() })
}

func (c *Conn) finish(keep bool) {
	c.once.Do(func() {
		if !keep || c.r.Buffered() > 0 {
			c.pool.drop(c)
			return
		}
		c.out.n = 0
		next := *c
		next.once = &sync.Once{}
		c.pool.put(&next)
	})
}
