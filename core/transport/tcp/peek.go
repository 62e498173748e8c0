package tcp

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// PeekResult is what a peek at a connection found.
type PeekResult int

// Findings of a peek.
const (
	NoData     PeekResult = iota // open, nothing to read
	HasData                      // open, at least one byte to read
	PeerClosed                   // closed or reset by the other side
)

// Peeker is a connection that decodes what arrives on its socket, so that a look at the socket alone is not enough.
type Peeker interface {
	Peek() PeekResult         // as the function Peek
	WaitReadable() PeekResult // as the function Await
}

// Peek looks at c without consuming a byte and without waiting.
func Peek(c net.Conn) PeekResult {
	if p, ok := c.(Peeker); ok {
		return p.Peek()
	}
	return peek(c, false)
}

// WaitReadable waits until c has data or is closed; a read deadline on c ends the wait with Quiet.
// No other goroutine may read from c meanwhile.
func WaitReadable(c net.Conn) PeekResult {
	if p, ok := c.(Peeker); ok {
		return p.WaitReadable()
	}
	return peek(c, true)
}

func peek(c net.Conn, wait bool) PeekResult {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return NoData
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return PeerClosed
	}
	found := NoData
	err = raw.Read(func(fd uintptr) bool {
		found = recv(int(fd))
		return found != NoData || !wait
	})
	if err != nil && !wait && found == NoData {
		return PeerClosed
	}
	if errors.Is(err, net.ErrClosed) {
		return PeerClosed
	}
	return found
}

func recv(fd int) PeekResult {
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
