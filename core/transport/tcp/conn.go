package tcp

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ReadBufferSize is the size of the read buffer of a connection in use, in bytes; it bounds a response header.
const ReadBufferSize = 16 << 10

// writeBufferSize is the size of the write buffer of a connection in use, in bytes. It holds most request headers;
// longer writes bypass it.
const writeBufferSize = 4 << 10

// Pools of the buffers of connections in use; an idle connection has none.
var (
	readBuffers  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, ReadBufferSize) }}
	writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}
)

// Conn is one pooled connection; it carries one exchange at a time.
type Conn struct {
	netConn    net.Conn
	pool       *Pool
	r          *bufio.Reader // nil while the connection is idle
	w          *bufio.Writer // nil while the connection is idle
	written    *countingConn
	idleSince  time.Time
	reused     bool        // it has carried an earlier exchange
	body       *bodyWriter // nil if the request of the exchange has no large body
	askedBytes int64       // bytes of the request that do not let the peer run it; 0 unless the exchange asks before it sends the body
	finishOnce *sync.Once
	peerDone   chan struct{} // see Error.PeerDone
}

// countingConn counts the bytes of a request that the kernel accepted.
type countingConn struct {
	net.Conn
	bytes atomic.Int64
}

// byteCounter is a connection that encodes what is written, such as TLS. BytesSent returns how many encoded bytes the
// kernel accepted.
type byteCounter interface{ BytesSent() int64 }

func (c *countingConn) Write(b []byte) (int, error) {
	counter, encoded := c.Conn.(byteCounter)
	if !encoded {
		n, err := c.Conn.Write(b)
		c.bytes.Add(int64(n))
		return n, err
	}
	// A failed write of an encoded record reports no byte, although the kernel may have accepted a part of the record.
	before := counter.BytesSent()
	n, err := c.Conn.Write(b)
	c.bytes.Add(counter.BytesSent() - before)
	return n, err
}

func newConn(raw net.Conn, p *Pool) *Conn {
	c := &Conn{
		netConn:    raw,
		pool:       p,
		written:    &countingConn{Conn: raw},
		finishOnce: &sync.Once{},
		peerDone:   make(chan struct{}),
	}
	c.attachBuffers()
	return c
}

func (c *Conn) attachBuffers() {
	c.r, _ = readBuffers.Get().(*bufio.Reader)
	c.r.Reset(c.netConn)
	c.w, _ = writeBuffers.Get().(*bufio.Writer)
	c.w.Reset(c.written)
}

func (c *Conn) releaseBuffers() {
	c.r.Reset(nil)
	readBuffers.Put(c.r)
	c.w.Reset(nil)
	writeBuffers.Put(c.w)
	c.r, c.w = nil, nil
}

// looksIdle reports whether an idle connection looks open, with nothing to read.
func (c *Conn) looksIdle() bool {
	return Peek(c.netConn) == NoData
}

// interruptOnDone interrupts the exchange when ctx ends. The returned function stops that and reports false if ctx had
// ended before.
func (c *Conn) interruptOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		if c.pool.cfg.AbandonTimeout == 0 {
			_ = c.netConn.Close()
			return
		}
		// A deadline in the past ends blocked reads and writes but leaves the socket open for waitForPeer;
		// setReadDeadline does not undo it.
		_ = c.netConn.SetDeadline(time.Unix(1, 0))
	})
}

// abandon ends an exchange whose response header has not arrived. The other side may still work on the request, so the
// connection counts as in use until waitForPeer returns.
func (c *Conn) abandon() {
	if c.pool.cfg.AbandonTimeout == 0 || c.written.bytes.Load() == 0 {
		c.finish(false)
		return
	}
	c.finishOnce.Do(func() { go c.waitForPeer() })
}

// waitForPeer waits until the other side has stopped working on the request. Closing the write side asks it to cancel;
// the first byte of its response, or the end of the stream, shows that it has stopped.
func (c *Conn) waitForPeer() {
	if half, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.netConn.SetDeadline(time.Now().Add(c.pool.cfg.AbandonTimeout))
	_, _ = c.netConn.Read(make([]byte, 1))
	c.release(c.pool.closeConn)
}

// release gives c back to the pool through giveBack and then reports that the other side is done.
func (c *Conn) release(giveBack func(*Conn)) {
	giveBack(c)
	close(c.peerDone)
}

// finish ends the exchange. The connection becomes idle if reuse is set and no unread byte is left, else it is closed.
func (c *Conn) finish(reuse bool) {
	c.finishOnce.Do(func() {
		if !reuse || c.r.Buffered() > 0 {
			c.release(c.pool.closeConn)
			return
		}
		c.reused = c.reused || c.written.bytes.Load() > 0
		c.written.bytes.Store(0)
		c.askedBytes, c.body = 0, nil
		next := *c
		next.releaseBuffers()
		next.finishOnce = &sync.Once{}
		next.peerDone = make(chan struct{})
		c.release(func(*Conn) { c.pool.putIdle(&next) })
	})
}
