package inbound

import (
	"io"
	"net"
	"sync"
	"time"
)

// WithWriteTimeout returns a listener whose TCP connections fail a write that takes longer than timeout.
func WithWriteTimeout(ln net.Listener, timeout time.Duration) net.Listener {
	return &listener{Listener: ln, writeTimeout: timeout}
}

type listener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept waits for the next connection; connections other than TCP get no write timeout.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &conn{TCPConn: t, writeTimeout: l.writeTimeout}, nil
}

// conn sets a new deadline before each write: a deadline for the whole response would cut off slow readers of long streams.
type conn struct {
	*net.TCPConn
	writeTimeout time.Duration
}

// Write writes b, or fails after the write timeout.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// copyBufferSize is the size of the copy buffer of one streamed response, in bytes.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// ReadFrom copies r through Write, because the ReadFrom of net.TCPConn would write without a new deadline.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	buf, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	return io.CopyBuffer(struct{ io.Writer }{c}, struct{ io.Reader }{r}, *buf)
}
