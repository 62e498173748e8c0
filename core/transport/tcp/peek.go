package tcp

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// PeekResult is the state of a connection's read side.
type PeekResult int

// Results of a peek.
const (
	NoData     PeekResult = iota // open, nothing to read
	HasData                      // open, at least one byte to read
	PeerClosed                   // closed or reset by the other side
)

// Peeker is a connection that decodes the bytes of its socket. Bytes may be buffered or incomplete in the decoder, so a
// peek at the socket alone does not show whether there is something to read.
type Peeker interface {
	Peek() PeekResult         // see the function Peek
	WaitReadable() PeekResult // see the function WaitReadable
}

// Peek returns the state of c without consuming a byte and without waiting.
func Peek(c net.Conn) PeekResult {
	if p, ok := c.(Peeker); ok {
		return p.Peek()
	}
	return peekSocket(c, false)
}

// WaitReadable waits until c has data or is closed; a read deadline on c ends the wait with NoData.
// No other goroutine may read from c meanwhile.
func WaitReadable(c net.Conn) PeekResult {
	if p, ok := c.(Peeker); ok {
		return p.WaitReadable()
	}
	return peekSocket(c, true)
}

func peekSocket(c net.Conn, wait bool) PeekResult {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return NoData
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return PeerClosed
	}
	result := NoData
	err = raw.Read(func(fd uintptr) bool {
		result = peekFD(int(fd))
		return result != NoData || !wait
	})
	if err != nil && !wait && result == NoData {
		return PeerClosed
	}
	if errors.Is(err, net.ErrClosed) {
		return PeerClosed
	}
	return result
}

// peekFD peeks at a non-blocking socket.
func peekFD(fd int) PeekResult {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return NoData
		case err != nil, n == 0:
			return PeerClosed
		}
		return HasData
	}
}
