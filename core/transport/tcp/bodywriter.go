package tcp

import (
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// concurrentBodySize is the length from which a request body is sent while the response is awaited, in bytes. Shorter ones
	// fit into the buffers of a socket.
	concurrentBodySize = 16 << 10
	// bodyGrace is how long the end of a sent body is awaited once the response is complete. The peer may have read it all
	// before the writing goroutine runs again.
	bodyGrace = 5 * time.Millisecond
)

// bodyWriter sends one request body in a goroutine of its own.
type bodyWriter struct {
	done chan struct{}
	err  error // set before done is closed
}

// startBody begins to send a body; the peer may answer before it has read it.
func (c *Conn) startBody(body []byte) {
	w := &bodyWriter{done: make(chan struct{})}
	c.body = w
	go func() {
		defer close(w.done)
		_, w.err = c.written.Write(body)
	}()
}

// stopBody interrupts a body that is being sent; after it, nothing more of the body is written.
func (c *Conn) stopBody() {
	if c.body != nil {
		_ = c.netConn.SetWriteDeadline(time.Unix(1, 0))
		<-c.body.done
	}
}

// resetWhileSending ends the sending of the request body and reports whether the peer reset the connection meanwhile. The system
// tells of a reset only once: after a write has failed with it, a read sees the end of the stream. A write fails with EPIPE only if
// the peer had ended its stream before the reset, so that what was read is whole.
func (c *Conn) resetWhileSending() bool {
	if c.body == nil {
		return false
	}
	c.stopBody()
	err := c.body.err
	return err != nil && !errors.IsAny(err, os.ErrDeadlineExceeded, syscall.EPIPE)
}

// bodySent reports whether the body of the exchange was sent whole, so that the next request may follow it.
func (c *Conn) bodySent() bool {
	if c.body == nil {
		return true
	}
	timer := time.NewTimer(bodyGrace)
	defer timer.Stop()
	select {
	case <-c.body.done:
		return c.body.err == nil
	case <-timer.C:
		return false
	}
}
