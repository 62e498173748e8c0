package inbound

import (
	"io"
	"net"
	"sync"
	"time"
)

// WithWriteTimeout wraps the connections of ln so that a write that makes no progress for stall fails.
func WithWriteTimeout(ln net.Listener, stall time.Duration) net.Listener {
	return &listener{Listener: ln, stall: stall}
}

type listener struct {
	net.Listener
	stall time.Duration
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &conn{TCPConn: t, stall: l.stall}, nil
}

// conn bounds the time of every single write, so that a slow reader of a long stream is not cut off.
type conn struct {
	*net.TCPConn
	stall time.Duration
}

// Write writes b or fails after the stall time.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// copySize is the memory for one streaming response, in bytes.
const copySize = 32 << 10

var copies = sync.Pool{New: func() any { b := make([]byte, copySize); return &b }}

// ReadFrom copies r through Write; the embedded one would write without a deadline.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	buf, _ := copies.Get().(*[]byte)
	defer copies.Put(buf)
	return io.CopyBuffer(struct{ io.Writer }{c}, struct{ io.Reader }{r}, *buf)
}
