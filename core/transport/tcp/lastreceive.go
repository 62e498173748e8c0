package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Receiver is a connection that decodes the bytes of its socket and knows when it last received some.
type Receiver interface {
	SinceReceive() (time.Duration, bool) // see the function SinceReceive
}

// SinceReceive returns how long ago the kernel received the last bytes on c, whether this process has read them or not, and false
// if the system does not tell. While a process is stopped, requests wait in the kernel; this is the time that they have waited.
func SinceReceive(c net.Conn) (time.Duration, bool) {
	if r, ok := c.(Receiver); ok {
		return r.SinceReceive()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// ClosedByPeer reports whether the other side of a TCP connection has closed or reset it, unless bytes are waiting to be read. It
// may be called while another goroutine reads from c.
func ClosedByPeer(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	result := NoData
	if err := raw.Control(func(fd uintptr) { result = peekFD(int(fd)) }); err != nil {
		return true
	}
	return result == PeerClosed
}
