package mtls

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/transport/tcp"
)

// Conn is a mutually authenticated TLS connection. Unlike a tls.Conn it implements tcp.Peeker and counts the bytes that
// the kernel accepted.
//
// Close and CloseWrite act on the socket and send no close_notify alert: the alert could block for seconds on a full
// socket, and HTTP messages carry their own length, so a truncated one is recognised without it.
type Conn struct {
	net.Conn  // the TLS connection
	raw       *rawConn
	handshake func() error // runs the handshake once
	peeked    [1]byte      // byte read by peekByte
	hasPeeked bool         // peeked was not returned by Read yet
}

func newConn(raw *rawConn, c *tls.Conn, handshake func() error) *Conn {
	return &Conn{Conn: c, raw: raw, handshake: handshake}
}

// Read reads decrypted bytes. The first Read or Write runs the handshake.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	if c.hasPeeked && len(b) > 0 {
		b[0] = c.peeked[0]
		c.hasPeeked = false
		return 1, nil
	}
	return c.Conn.Read(b)
}

// Write encrypts and writes b. The first Read or Write runs the handshake.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// copyBufferSize is the size of the buffer for one streamed body, in bytes: two TLS records of the largest size.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// ReadFrom copies r in large TLS records. Without it, a bufio.Writer around c would write records of its own, smaller
// buffer size.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	buf, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	return io.CopyBuffer(struct{ io.Writer }{c}, struct{ io.Reader }{r}, *buf)
}

// Close closes the socket.
func (c *Conn) Close() error {
	return c.raw.Close()
}

// CloseWrite closes the write side of the socket, which the other side reads as the end of the stream.
func (c *Conn) CloseWrite() error {
	halfCloser, ok := c.raw.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("close write side: not supported by the socket")
	}
	return halfCloser.CloseWrite()
}

// BytesSent returns how many encrypted bytes the kernel accepted.
func (c *Conn) BytesSent() int64 {
	return c.raw.bytesSent.Load()
}

// SinceReceive returns how long ago the socket last received bytes, and false if the system does not tell.
func (c *Conn) SinceReceive() (time.Duration, bool) { return tcp.SinceReceive(c.raw.Conn) }

// Peek returns the state of the connection without waiting. It clears the read deadline; no other goroutine may read
// meanwhile.
func (c *Conn) Peek() tcp.PeekResult {
	if c.hasPeeked || c.raw.midRecord() {
		return tcp.HasData
	}
	// A peek at the socket does not show bytes that the TLS layer has already read from it. With a deadline in the past, a
	// read returns such bytes, if there are any, and does not read from the socket.
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	result := c.peekByte()
	_ = c.raw.SetReadDeadline(time.Time{})
	if result != tcp.NoData {
		return result
	}
	return tcp.Peek(c.raw.Conn)
}

// WaitReadable waits until the connection has data or is closed; a read deadline ends the wait with tcp.NoData.
func (c *Conn) WaitReadable() tcp.PeekResult {
	if c.hasPeeked {
		return tcp.HasData
	}
	return c.peekByte()
}

// peekByte reads the next byte and keeps it for Read. A read that reaches its deadline leaves the TLS layer usable.
func (c *Conn) peekByte() tcp.PeekResult {
	if c.handshake() != nil {
		return tcp.PeerClosed
	}
	n, err := c.Conn.Read(c.peeked[:])
	switch {
	case n > 0:
		c.hasPeeked = true
		return tcp.HasData
	case errors.Is(err, os.ErrDeadlineExceeded):
		return tcp.NoData
	}
	return tcp.PeerClosed
}

// rawConn is the connection below TLS. It counts the bytes written and follows the record headers of the bytes read.
type rawConn struct {
	net.Conn
	bytesSent   atomic.Int64 // atomic because the TLS layer also writes while it reads
	header      [recordHeaderSize]byte
	headerLen   int  // bytes in header, while the header of a record is incomplete
	payloadLeft int  // bytes of the payload of the current record that have not been read
	receivedAny bool // at least one byte was read
}

// recordHeaderSize is the size of a TLS record header in bytes; its last two bytes are the length of the payload (RFC
// 8446, section 5.1).
const recordHeaderSize = 5

// Read reads encrypted bytes and updates the position within their records.
func (c *rawConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.receivedAny = c.receivedAny || n > 0
	c.trackRecords(b[:n])
	return n, err
}

// trackRecords updates the position within the TLS records after b was read.
func (c *rawConn) trackRecords(b []byte) {
	for len(b) > 0 {
		if c.payloadLeft > 0 {
			n := min(c.payloadLeft, len(b))
			c.payloadLeft -= n
			b = b[n:]
			continue
		}
		n := copy(c.header[c.headerLen:], b)
		c.headerLen += n
		b = b[n:]
		if c.headerLen == recordHeaderSize {
			c.headerLen = 0
			c.payloadLeft = int(c.header[3])<<8 | int(c.header[4])
		}
	}
}

// midRecord reports whether the last record was read only in part, so that the TLS layer waits for the rest.
func (c *rawConn) midRecord() bool {
	return c.headerLen > 0 || c.payloadLeft > 0
}

// Write writes encrypted bytes.
func (c *rawConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesSent.Add(int64(n))
	return n, err
}
