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

// expiredDeadline is a read deadline in the past; setting it interrupts a blocked read.
var expiredDeadline = time.Unix(1, 0)

// conn is a client connection. One goroutine reads its requests and detects a disconnect; each exchange runs in a
// goroutine of its own and writes its reply after those of earlier requests.
type conn struct {
	server *Server
	net    net.Conn
	r      *bufio.Reader // nil until the next request begins to arrive; used only by the reader goroutine
	ctx    context.Context
	cancel context.CancelFunc

	mu              sync.Mutex  // guards the fields below
	unanswered      []*exchange // requests read but not answered, oldest first
	idleDeadline    time.Time   // when the connection is closed without a new request; zero while a request is unanswered
	awaitingRequest bool        // the reader waits for the first byte of a request
	noMoreRequests  bool        // no further request is accepted
	writeFailed     bool        // a reply could not be written
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, net: raw, idleDeadline: time.Now().Add(s.cfg.ReadTimeout)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads and starts requests until the connection ends, and closes it after the last reply.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.cancel()
	defer func() { _ = c.net.Close() }()
	for open := true; open; {
		open = c.awaitRequest() && c.awaitPipelineSlot() && c.startRequest()
	}
	c.releaseReader()
	if last := c.newestUnanswered(); last != nil {
		c.awaitLastReply(last.done)
	}
	if c.closeAnnounced() {
		c.lingeringClose()
	}
}

// awaitRequest waits for the first byte of the next request; false means that the connection ends without one. It holds no
// buffer meanwhile.
func (c *conn) awaitRequest() bool {
	if c.r != nil && c.r.Buffered() > 0 {
		return true
	}
	c.releaseReader()
	for c.beginWait() {
		found := tcp.WaitReadable(c.net)
		if found == tcp.NoData && c.expireIfUnused() {
			// A request may have arrived between the end of the wait and here.
			_ = c.net.SetReadDeadline(time.Time{})
			return tcp.Peek(c.net) == tcp.HasData
		}
		c.endWait()
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

// beginWait marks the reader as waiting for a request; false means that no further one is read.
func (c *conn) beginWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noMoreRequests {
		return false
	}
	c.awaitingRequest = true
	c.setWaitDeadline()
	return true
}

// setWaitDeadline sets the read deadline for awaitRequest: at once if the server shuts down and the connection is unused.
func (c *conn) setWaitDeadline() {
	deadline := c.idleDeadline
	if len(c.unanswered) == 0 && c.server.shuttingDown.Load() {
		deadline = expiredDeadline
	}
	_ = c.net.SetReadDeadline(deadline)
}

func (c *conn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = false
}

// expireIfUnused reports whether an unused connection must close, because its idle deadline has passed or the server shuts
// down; it then also ends the wait.
func (c *conn) expireIfUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unanswered) > 0 || c.noMoreRequests {
		return false
	}
	if !c.server.shuttingDown.Load() && time.Now().Before(c.idleDeadline) {
		return false
	}
	c.awaitingRequest = false
	return true
}

// interruptWait wakes up a waiting reader, which then checks for shutdown.
func (c *conn) interruptWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest {
		_ = c.net.SetReadDeadline(expiredDeadline)
	}
}

// awaitPipelineSlot waits until another request may be read: after an exclusive one, or while MaxPipelined requests are
// unanswered, none may. False means that the connection ended.
func (c *conn) awaitPipelineSlot() bool {
	c.mu.Lock()
	count := len(c.unanswered)
	var wait <-chan struct{}
	switch {
	case count > 0 && c.unanswered[count-1].exclusive:
		wait = c.unanswered[count-1].done
	case count >= c.server.cfg.MaxPipelined:
		wait = c.unanswered[0].done
	}
	c.mu.Unlock()
	return wait == nil || c.waitWatchingClose(wait)
}

// waitWatchingClose waits for done and reads into the buffer meanwhile to detect a disconnect; false means that the
// connection ended.
func (c *conn) waitWatchingClose(done <-chan struct{}) bool {
	c.acquireReader()
	woken := c.interruptReadAt(done)
	_, err := c.r.Peek(c.r.Size())
	disconnected := err != nil && !isTimeout(err)
	if disconnected {
		c.cancel()
	}
	<-woken
	return !disconnected && c.ctx.Err() == nil
}

// interruptReadAt makes a blocked read fail once done is closed or the connection ends. The returned channel is closed after
// that.
func (c *conn) interruptReadAt(done <-chan struct{}) (woken <-chan struct{}) {
	// Cleared before the goroutine can set it: the other way round its wake-up would be lost.
	_ = c.net.SetReadDeadline(time.Time{})
	set := make(chan struct{})
	go func() {
		defer close(set)
		select {
		case <-done:
		case <-c.ctx.Done():
		}
		_ = c.net.SetReadDeadline(expiredDeadline)
	}()
	return set
}

// awaitLastReply waits until the last request that is read from the connection is answered, and cancels the unanswered ones
// if the client disconnects before. Nothing more is accepted, so that input is discarded, within the limit of a lingering
// close.
func (c *conn) awaitLastReply(done <-chan struct{}) {
	woken := c.interruptReadAt(done)
	if _, err := io.CopyN(io.Discard, c.net, maxLingerBytes); err != nil && !isTimeout(err) {
		c.cancel()
	}
	<-woken
	<-done
}

// newestUnanswered returns the last request read if it is unanswered, or nil.
func (c *conn) newestUnanswered() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unanswered) == 0 {
		return nil
	}
	return c.unanswered[len(c.unanswered)-1]
}

// closeAnnounced reports whether a reply with "Connection: close" was sent.
func (c *conn) closeAnnounced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.noMoreRequests && !c.writeFailed
}

// Limits on the input that is read and discarded after the last reply. Closing with unread bytes would reset the
// connection, and the client could lose that reply.
const (
	lingerTimeout  = time.Second
	maxLingerBytes = 256 << 10
)

// lingeringClose closes the write side and discards what the client still sends, within the limits above.
func (c *conn) lingeringClose() {
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	// The connection is closed next, whether the client closed it, sent nothing more or exceeded the limit.
	_, _ = io.CopyN(io.Discard, c.net, maxLingerBytes)
}

// acquireReader takes a read buffer from the pool.
func (c *conn) acquireReader() {
	if c.r == nil {
		c.r, _ = c.server.readerPool.Get().(*bufio.Reader)
		c.r.Reset(c.net)
	}
}

// releaseReader returns the read buffer to the pool, so that idle connections hold none.
func (c *conn) releaseReader() {
	if c.r != nil {
		c.r.Reset(nil)
		c.server.readerPool.Put(c.r)
		c.r = nil
	}
}
