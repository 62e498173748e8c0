package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"pollenhill.example/core/transport/tcp"
)

// past is a deadline that interrupts a read.
var past = time.Unix(1, 0)

// conn is one connection. Its reader goroutine reads requests and notices that the caller has left; each exchange
// runs in a goroutine of its own and writes its answer in its turn.
type conn struct {
	s      *Server
	net    net.Conn
	r      *bufio.Reader // nil while no byte of a request is known; belongs to the reader goroutine
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex  // guards what follows
	queue   []*exchange // read and not answered, oldest first
	until   time.Time   // the connection is closed if no request has begun by then; zero while one is not answered
	waiting bool        // the reader waits for the first byte of a request
	stopped bool        // no further request is read
	lost    bool        // an answer could not be written
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{s: s, net: raw, until: time.Now().Add(s.cfg.ReadTimeout)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.s.forget(c)
	defer c.cancel()
	defer func() { _ = c.net.Close() }()
	for open := true; open; {
		open = c.arrived() && c.room() && c.next()
	}
	c.release()
	if last := c.newest(); last != nil {
		<-last.done
	}
	if c.final() {
		c.linger()
	}
}

// arrived waits for the first byte of the next request.
func (c *conn) arrived() bool {
	if c.r != nil && c.r.Buffered() > 0 {
		return true
	}
	c.release()
	for c.rest() {
		found := tcp.WaitReadable(c.net)
		if found == tcp.NoData && c.expired() {
			// The wait may have been interrupted just as a request came.
			_ = c.net.SetReadDeadline(time.Time{})
			return tcp.Peek(c.net) == tcp.HasData
		}
		c.begun()
		switch found {
		case tcp.HasData:
			return true
		case tcp.PeerClosed:
			c.cancel()
			return false
		case tcp.NoData:
		}
	}
	return false
}

// rest begins the wait for a request; false means that none is read any more.
func (c *conn) rest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.waiting = true
	c.arm()
	return true
}

// arm sets the deadline of the wait for a request.
func (c *conn) arm() {
	deadline := c.until
	if len(c.queue) == 0 && c.s.ending.Load() {
		deadline = past
	}
	_ = c.net.SetReadDeadline(deadline)
}

func (c *conn) begun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
}

// expired reports whether the connection has been unused for too long or is to be closed, and ends the wait if so.
func (c *conn) expired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 || c.stopped {
		return false
	}
	if !c.s.ending.Load() && time.Now().Before(c.until) {
		return false
	}
	c.waiting = false
	return true
}

// wake makes a waiting reader look at the state again.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		_ = c.net.SetReadDeadline(past)
	}
}

// room waits until one more request may be read.
func (c *conn) room() bool {
	c.mu.Lock()
	open := len(c.queue)
	var wait <-chan struct{}
	switch {
	case open > 0 && c.queue[open-1].alone:
		wait = c.queue[open-1].done
	case open >= c.s.cfg.MaxPipelined:
		wait = c.queue[0].done
	}
	c.mu.Unlock()
	return wait == nil || c.await(wait)
}

// await waits for done and goes on to read, so that a caller that leaves meanwhile is noticed.
func (c *conn) await(done <-chan struct{}) bool {
	c.fill()
	woken := make(chan struct{})
	go func() {
		defer close(woken)
		select {
		case <-done:
		case <-c.ctx.Done():
		}
		_ = c.net.SetReadDeadline(past)
	}()
	_ = c.net.SetReadDeadline(time.Time{})
	_, err := c.r.Peek(c.r.Size())
	left := err != nil && !timedOut(err)
	if left {
		c.cancel()
	}
	<-woken
	return !left && c.ctx.Err() == nil
}

// newest returns the newest request that is not answered, nil if there is none.
func (c *conn) newest() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return nil
	}
	return c.queue[len(c.queue)-1]
}

// final reports whether an answer told the caller that the connection closes.
func (c *conn) final() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped && !c.lost
}

// Bounds of what is read and dropped after the last answer: unread bytes would reset the connection, and the caller
// might lose that answer.
const (
	lingerTime  = time.Second
	lingerBytes = 256 << 10
)

// linger ends the sending side and drops what the caller still sends.
func (c *conn) linger() {
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTime))
	// An error means that the caller has closed its side or stays silent: either ends the connection.
	_, _ = io.CopyN(io.Discard, c.net, lingerBytes)
}

// fill takes a buffer for the bytes of a request.
func (c *conn) fill() {
	if c.r == nil {
		c.r, _ = c.s.buffers.Get().(*bufio.Reader)
		c.r.Reset(c.net)
	}
}

// release gives the buffer back; an idle connection needs none.
func (c *conn) release() {
	if c.r != nil {
		c.r.Reset(nil)
		c.s.buffers.Put(c.r)
		c.r = nil
	}
}
