package tcp

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Idle is what a peek at a connection found.
type Idle int

// Findings of a peek.
const (
	Quiet  Idle = iota // open, nothing to read
	Data               // open, at least one byte to read
	Closed             // closed or reset by the other side
)

// Peeker is a connection that decodes what arrives on its socket, so that a look at the socket alone is not enough.
type Peeker interface {
	Peek() Idle  // as the function Peek
	Await() Idle // as the function Await
}

// Peek looks at c without consuming a byte and without waiting.
func Peek(c net.Conn) Idle {
	if p, ok := c.(Peeker); ok {
		return p.Peek()
	}
	return peek(c, false)
}

// Await waits until c has data or is closed; a read deadline on c ends the wait with Quiet.
// No other goroutine may read from c meanwhile.
func Await(c net.Conn) Idle {
	if p, ok := c.(Peeker); ok {
		return p.Await()
	}
	return peek(c, true)
}

func peek(c net.Conn, wait bool) Idle {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	found := Quiet
	err = raw.Read(func(fd uintptr) bool {
		found = recv(int(fd))
		return found != Quiet || !wait
	})
	if err != nil && !wait && found == Quiet {
		return Closed
	}
	if errors.Is(err, net.ErrClosed) {
		return Closed
	}
	return found
}

func recv(fd int) Idle {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return Quiet
		case err != nil, n == 0:
			return Closed
		}
		return Data
	}
}
