package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/inbound"
)

// exchange is a request and its reply.
type exchange struct {
	conn         *conn
	req          *fasthttp.Request
	in           inbound.Request
	reason       refusal.Reason  // why the request is refused, or None; no request is read after a refused one
	previousDone <-chan struct{} // closed when the previous request is answered; nil if none was unanswered
	done         chan struct{}   // closed when this request is answered
	exclusive    bool            // must not run concurrently with other requests of its connection
	closeAfter   bool            // the connection closes after its reply
	readAhead    bool            // holds one of Server.readAheadSlots
	ticket       BodyTicket      // nil unless the body waits for its turn or is being received after that
}

// startRequest reads a request and runs it in a new goroutine; false means that no further request can be read.
func (c *conn) startRequest() bool {
	c.acquireReader()
	x := &exchange{conn: c, req: fasthttp.AcquireRequest(), done: make(chan struct{})}
	if !x.readRequest() || !c.enqueue(x) {
		x.release()
		return false
	}
	last := x.closeAfter
	go x.run()
	return !last
}

// readRequest reads header and body, and sets the reason if the request must be refused; false means that the connection
// ended first.
func (x *exchange) readRequest() bool {
	c := x.conn
	_ = c.net.SetReadDeadline(time.Now().Add(c.server.cfg.ReadTimeout))
	if err := x.req.Header.Read(c.r); err != nil {
		return x.classifyHeaderError(err)
	}
	x.in = inbound.Request{Header: &x.req.Header, Arrived: time.Now(), PipelinedAhead: c.unansweredCount()}
	x.closeAfter = x.req.Header.ConnectionClose()
	if x.reason = inbound.ValidateHeader(x.req); x.reason != refusal.None {
		x.closeAfter = true
		return true
	}
	if reason := x.unwanted(); reason != refusal.None {
		x.refuse(reason)
		return true
	}
	x.exclusive = c.server.cfg.Exclusive(&x.req.Header)
	if !x.waitUntilRunnable() || !x.admitBody() {
		return false
	}
	if x.reason == refusal.None {
		x.readBody()
	}
	if x.reason == refusal.None && c.server.shuttingDown.Load() {
		x.refuse(refusal.Leaving)
	}
	return true
}

// classifyHeaderError sets the reason to refuse a request whose header could not be read; false means that the connection
// ended.
func (x *exchange) classifyHeaderError(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		x.conn.cancel()
		return false
	case errors.As(err, &small):
		x.reason = refusal.HeaderTooLarge
	default:
		x.reason = refusal.Malformed
	}
	x.in = inbound.Request{Header: &x.req.Header, Arrived: time.Now()}
	x.closeAfter = true
	return true
}

// maxReadAheadBody limits the body of a request that is read ahead, in bytes.
const maxReadAheadBody = 16 << 10

// waitUntilRunnable returns at once if the request may run concurrently with the earlier ones, else once those are
// answered; false means that the connection ended. A request that expects 100 Continue waits too, as the interim response
// must not be sent before earlier replies.
func (x *exchange) waitUntilRunnable() bool {
	c := x.conn
	previous := c.newestUnanswered()
	if previous == nil {
		return true
	}
	length := x.req.Header.ContentLength()
	concurrent := !x.exclusive && length <= maxReadAheadBody && (length >= 0 || bodyless(&x.req.Header)) && !x.req.MayContinue()
	if concurrent && c.server.readAheadSlots.TryAcquire(1) {
		x.readAhead = true
		return true
	}
	return c.waitWatchingClose(previous.done)
}

// bodyless reports whether a request without Content-Length is one of a method that has no body.
func bodyless(h *fasthttp.RequestHeader) bool {
	return h.IsGet() || h.IsHead()
}

// hasBody reports whether a body follows the header of the request.
func (x *exchange) hasBody() bool {
	return x.req.Header.ContentLength() != 0 && !bodyless(&x.req.Header)
}

// unwanted returns why the request is refused before its body is read. One whose body is short and has arrived, or that has none,
// is left to the handler, since its connection can be kept.
func (x *exchange) unwanted() refusal.Reason {
	cfg := &x.conn.server.cfg
	if cfg.Unwanted == nil || !x.hasBody() {
		return refusal.None
	}
	if n := x.req.Header.ContentLength(); n > 0 && n <= min(x.conn.r.Buffered(), maxReadAheadBody) {
		return refusal.None
	}
	return cfg.Unwanted(&x.req.Header)
}

// BodyTicket is the place of a request in the queue for receiving its body.
type BodyTicket interface {
	Decided() <-chan struct{} // closed once Reason is final
	Reason() refusal.Reason   // why the request is refused before its body, or None
	Received(n int)           // reports bytes of the body
	End()                     // reports that the body is complete or will not be; it may be called at any time
}

// admitBody sets the reason if the body must not be received. A request that expects 100 Continue waits for its turn and gets
// that response; false means that the connection ended meanwhile.
func (x *exchange) admitBody() bool {
	c := x.conn
	switch {
	case x.req.Header.ContentLength() > c.server.cfg.MaxBodyBytes:
		x.refuse(refusal.BodyTooLarge)
		return true
	case !x.req.MayContinue():
		return true
	}
	if admit := c.server.cfg.AdmitBody; admit != nil {
		x.ticket = admit(&x.req.Header, x.in.Arrived)
		if !c.waitWatchingClose(x.ticket.Decided()) {
			return false
		}
		if reason := x.ticket.Reason(); reason != refusal.None {
			x.refuse(reason)
			return true
		}
	}
	if _, err := c.net.Write(continueResponse); err != nil {
		x.refuse(refusal.Malformed)
	}
	return true
}

// refuse sets the reason. What is left of the body is not read, so that the connection closes.
func (x *exchange) refuse(reason refusal.Reason) {
	x.reason = reason
	x.closeAfter = true
}

// readBody reads the body and sets the reason if that fails.
func (x *exchange) readBody() {
	c := x.conn
	deadline := x.bodyDeadline()
	_ = c.net.SetReadDeadline(deadline)
	var reason refusal.Reason
	x.in.Body, reason = c.server.cfg.Handler.ReadBody(x.req, c.r, x.bodyReceived)
	x.endTicket()
	if reason == refusal.Malformed && !time.Now().Before(deadline) {
		reason = refusal.TooLate // what arrived may be the start of a valid body
	}
	if reason != refusal.None {
		x.refuse(reason)
	}
}

func (x *exchange) bodyReceived(n int) {
	if x.ticket != nil {
		x.ticket.Received(n)
	}
}

func (x *exchange) endTicket() {
	if x.ticket != nil {
		x.ticket.End()
		x.ticket = nil
	}
}

// bodyDeadline returns until when the body is read: for ReadTimeout, but not beyond the deadline of the request.
func (x *exchange) bodyDeadline() time.Time {
	cfg := &x.conn.server.cfg
	deadline := time.Now().Add(cfg.ReadTimeout)
	if cfg.Deadline == nil || !x.hasBody() {
		return deadline
	}
	if own := cfg.Deadline(&x.req.Header, x.in.Arrived); !own.IsZero() && own.Before(deadline) {
		return own
	}
	return deadline
}

// continueResponse tells a client that sent "Expect: 100-continue" to send the body.
var continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// enqueue appends x to the unanswered requests; false means that the connection closes after an earlier reply.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noMoreRequests {
		return false
	}
	if n := len(c.unanswered); n > 0 {
		x.previousDone = c.unanswered[n-1].done
	}
	c.unanswered = append(c.unanswered, x)
	c.idleDeadline = time.Time{}
	return true
}

// unansweredCount returns the number of requests that were read but not answered.
func (c *conn) unansweredCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unanswered)
}

// run processes the request and writes the reply after those of earlier requests.
func (x *exchange) run() {
	c := x.conn
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	var reply *message.Reply
	if x.reason == refusal.None {
		reply = c.server.cfg.Handler.Serve(ctx, x.in)
	} else {
		reply = c.server.cfg.Handler.RefusalReply(&x.req.Header, x.reason)
	}
	if x.previousDone != nil {
		<-x.previousDone
	}
	if !reply.Deadline.IsZero() && !time.Now().Before(reply.Deadline) {
		reply.Close()
		reply = c.server.cfg.Handler.ExpiredReply(&x.req.Header)
	}
	x.writeReply(reply)
	x.markAnswered()
}

var writerPool = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// writeReply sends the reply; if that fails, the connection ends and its other requests are cancelled.
func (x *exchange) writeReply(reply *message.Reply) {
	c := x.conn
	if c.ctx.Err() != nil {
		reply.Close()
		return
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	inbound.FillResponse(resp, x.req.Header.IsHead(), reply)
	if c.markLastReply(x) {
		resp.SetConnectionClose()
	}
	if !reply.Deadline.IsZero() {
		stop := c.cutOffAt(reply.Deadline)
		defer stop()
	}
	w, _ := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	w.Reset(c.net)
	err := resp.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	if err != nil {
		c.abandon()
	}
}

// markLastReply reports whether the connection closes after the reply to x; if so, requests read later are dropped.
func (c *conn) markLastReply(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.unanswered[len(c.unanswered)-1] == x
	if x.closeAfter || newest && c.server.draining.Load() {
		c.noMoreRequests = true
	}
	return c.noMoreRequests && newest
}

// abandon ends a connection after a failed write and cancels its requests.
func (c *conn) abandon() {
	c.mu.Lock()
	c.noMoreRequests, c.writeFailed = true, true
	c.mu.Unlock()
	c.cancel()
}

// cutOffAt closes the connection at a deadline, so that the client sees that the reply being written is not whole. The returned
// function ends that once the reply is written.
func (c *conn) cutOffAt(deadline time.Time) (stop func()) {
	var ended atomic.Bool
	timer := time.AfterFunc(time.Until(deadline), func() {
		if ended.CompareAndSwap(false, true) {
			c.abandon()
			_ = c.net.Close()
		}
	})
	return func() {
		ended.Store(true)
		timer.Stop()
	}
}

// markAnswered releases x, the oldest request, removes it from the unanswered ones and lets the next reply be written. The
// memory of x is released first, since the connection and the server may end as soon as x is no longer unanswered.
func (x *exchange) markAnswered() {
	c := x.conn
	x.release()
	c.mu.Lock()
	c.unanswered = c.unanswered[1:]
	if len(c.unanswered) == 0 {
		c.unanswered = nil
		c.idleDeadline = time.Now().Add(c.server.cfg.IdleTimeout)
	}
	switch {
	case !c.awaitingRequest:
	case c.noMoreRequests:
		_ = c.net.SetReadDeadline(expiredDeadline)
	case len(c.unanswered) == 0:
		c.setWaitDeadline()
	}
	c.mu.Unlock()
	close(x.done)
}

func (x *exchange) release() {
	x.endTicket()
	x.conn.server.cfg.Handler.ReleaseBody(x.in.Body)
	if x.readAhead {
		x.conn.server.readAheadSlots.Release(1)
	}
	fasthttp.ReleaseRequest(x.req)
	x.req = nil
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
