package inbound

import (
	"net"
	"sync"
	"time"

	"pollenhill.example/core/transport/tcp"
)

// watch calls gone when the other side closes c; stop ends the watch before c is read again.
func watch(c net.Conn, gone func()) (stop func()) {
	done := make(chan struct{})
	// The deadline for reading the request is still set.
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		if tcp.Await(c) == tcp.Closed {
			gone()
		}
	}()
	return sync.OnceFunc(func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	})
}
