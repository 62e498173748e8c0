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

// Conn is an authenticated connection. Unlike a tls.Conn it can be looked at without consuming a byte (tcp.Peeker),
// and it counts the bytes that the kernel took.
//
// Close and CloseWrite act on the socket without a closing alert: the alert could block for seconds on a full
// socket, and HTTP messages carry their own length, so a cut is visible without it.
type Conn struct {
	net.Conn // the TLS connection
	socket   *socket
	start    func() error // runs the handshake once
	ahead    [1]byte      // read by a look at the connection
	held     bool         // ahead is the next byte of Read
}

func newConn(s *socket, c *tls.Conn, handshake func() error) *Conn {
	return &Conn{Conn: c, socket: s, start: handshake}
}

// Read reads decrypted bytes; the first call of either direction runs the handshake.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.start(); err != nil {
		return 0, err
	}
	if c.held && len(b) > 0 {
		b[0] = c.ahead[0]
		c.held = false
		return 1, nil
	}
	return c.Conn.Read(b)
}

// Write encrypts and writes b.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.start(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// copySize is the memory for one streaming body, in bytes: two TLS records of the largest size.
const copySize = 32 << 10

var copies = sync.Pool{New: func() any { b := make([]byte, copySize); return &b }}

// ReadFrom copies r in large records; without it a buffered writer above would write records of its own, smaller size.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	buf, _ := copies.Get().(*[]byte)
	defer copies.Put(buf)
	return io.CopyBuffer(struct{ io.Writer }{c}, struct{ io.Reader }{r}, *buf)
}

// Close closes the socket.
func (c *Conn) Close() error {
	return c.socket.Close()
}

// CloseWrite closes the write side of the socket, which the other side reads as the end of the stream.
func (c *Conn) CloseWrite() error {
	half, ok := c.socket.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("close write side: not supported by the socket")
	}
	return half.CloseWrite()
}

// BytesSent returns how many encrypted bytes the kernel took.
func (c *Conn) BytesSent() int64 {
	return c.socket.sent.Load()
}

// Peek looks at the connection without waiting and clears its read deadline; no other goroutine may read meanwhile.
func (c *Conn) Peek() tcp.PeekResult {
	if c.held || c.socket.partial() {
		return tcp.HasData
	}
	// What the TLS layer has taken from the socket already is invisible there. With a deadline in the past the read
	// returns such bytes, if there are any, and does not touch the socket.
	_ = c.socket.SetReadDeadline(time.Unix(1, 0))
	found := c.look()
	_ = c.socket.SetReadDeadline(time.Time{})
	if found != tcp.NoData {
		return found
	}
	return tcp.Peek(c.socket.Conn)
}

// WaitReadable waits until the connection has data or is closed; a read deadline ends the wait with tcp.Quiet.
func (c *Conn) WaitReadable() tcp.PeekResult {
	if c.held {
		return tcp.HasData
	}
	return c.look()
}

// look reads one byte ahead. A read that runs into its deadline leaves the TLS layer usable.
func (c *Conn) look() tcp.PeekResult {
	if c.start() != nil {
		return tcp.PeerClosed
	}
	n, err := c.Conn.Read(c.ahead[:])
	switch {
	case n > 0:
		c.held = true
		return tcp.HasData
	case errors.Is(err, os.ErrDeadlineExceeded):
		return tcp.NoData
	}
	return tcp.PeerClosed
}

// socket is the connection below TLS.
type socket struct {
	net.Conn
	sent   atomic.Int64 // bytes; the TLS layer also writes while it reads
	header [recordHeader]byte
	got    int // bytes of the header of the record that is being read
	left   int // bytes of its payload that have not been read
	any    bool
}

// recordHeader is the size of a TLS record header, whose last two bytes are the length of the payload (RFC 8446, 5.1).
const recordHeader = 5

// Read reads encrypted bytes and notes where their records end.
func (s *socket) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.any = s.any || n > 0
	s.scan(b[:n])
	return n, err
}

func (s *socket) scan(b []byte) {
	for len(b) > 0 {
		if s.left > 0 {
			n := min(s.left, len(b))
			s.left -= n
			b = b[n:]
			continue
		}
		n := copy(s.header[s.got:], b)
		s.got += n
		b = b[n:]
		if s.got == recordHeader {
			s.got = 0
			s.left = int(s.header[3])<<8 | int(s.header[4])
		}
	}
}

// partial reports whether the TLS layer waits for the rest of a record.
func (s *socket) partial() bool {
	return s.got > 0 || s.left > 0
}

// Write writes encrypted bytes.
func (s *socket) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.sent.Add(int64(n))
	return n, err
}
