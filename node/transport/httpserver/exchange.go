package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/node/protocol/message"
	"pollenhill.example/node/transport/inbound"
)

// exchange is one request and its answer.
type exchange struct {
	c      *conn
	req    *fasthttp.Request
	in     inbound.Request
	reason refusal.Reason  // not None: the request is refused and nothing after it can be read
	turn   <-chan struct{} // closed when the request before it is answered; nil if that has happened
	done   chan struct{}   // closed when this one is answered
	alone  bool            // it must not run beside others of its connection
	last   bool            // nothing is read after it
	ahead  bool            // it counts among the requests read ahead
}

// next reads a request and starts it; false means that no further one can be read.
func (c *conn) next() bool {
	c.fill()
	x := &exchange{c: c, req: fasthttp.AcquireRequest(), done: make(chan struct{})}
	if !x.read() || !c.admit(x) {
		x.release()
		return false
	}
	last := x.last
	go x.run()
	return !last
}

// read receives the request; false means that the connection ended within it.
func (x *exchange) read() bool {
	c := x.c
	_ = c.net.SetReadDeadline(time.Now().Add(c.s.cfg.ReadTimeout))
	if err := x.req.Header.Read(c.r); err != nil {
		return x.unread(err)
	}
	x.in = inbound.Request{Header: &x.req.Header, Arrived: time.Now(), PipelinedAhead: c.behind()}
	x.last = x.req.Header.ConnectionClose()
	if x.reason = inbound.ValidateHeader(x.req); x.reason != refusal.None {
		x.last = true
		return true
	}
	x.alone = c.s.cfg.Exclusive(&x.req.Header)
	if !x.place() {
		return false
	}
	x.body()
	return true
}

// unread sorts a request whose header could not be read.
func (x *exchange) unread(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		x.c.cancel()
		return false
	case errors.As(err, &small):
		x.reason = refusal.HeaderTooLarge
	default:
		x.reason = refusal.Malformed
	}
	x.in = inbound.Request{Header: &x.req.Header, Arrived: time.Now()}
	x.last = true
	return true
}

// aheadBody bounds the body of a request that is read ahead, in bytes.
const aheadBody = 16 << 10

// place waits until the request may run beside those before it, or until they are answered.
func (x *exchange) place() bool {
	c := x.c
	before := c.newest()
	if before == nil {
		return true
	}
	length := x.req.Header.ContentLength()
	beside := !x.alone && length <= aheadBody && (length >= 0 || bare(&x.req.Header)) && !x.req.MayContinue()
	if beside && c.s.ahead.TryAcquire(1) {
		x.ahead = true
		return true
	}
	return c.await(before.done)
}

// bare reports whether a request without a length has no body.
func bare(h *fasthttp.RequestHeader) bool {
	return h.IsGet() || h.IsHead()
}

// body receives the body; a request whose body cannot be received is refused.
func (x *exchange) body() {
	c := x.c
	if x.req.Header.ContentLength() > c.s.cfg.MaxBodyBytes {
		x.reason = refusal.BodyTooLarge
	} else if x.req.MayContinue() {
		if _, err := c.net.Write(continuing); err != nil {
			x.reason = refusal.Malformed
		}
	}
	if x.reason == refusal.None {
		_ = c.net.SetReadDeadline(time.Now().Add(c.s.cfg.ReadTimeout))
		x.in.Body, x.reason = c.s.cfg.Handler.ReadBody(x.req, c.r)
	}
	if x.reason != refusal.None {
		x.last = true
	}
}

// continuing asks the caller for the body of its request.
var continuing = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// admit puts the request into the queue; false means that the connection ends with an earlier answer.
func (c *conn) admit(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	if n := len(c.queue); n > 0 {
		x.turn = c.queue[n-1].done
	}
	c.queue = append(c.queue, x)
	c.until = time.Time{}
	return true
}

// behind returns how many requests of the connection are not answered yet.
func (c *conn) behind() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// run carries out the request and answers it in its turn.
func (x *exchange) run() {
	c := x.c
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	var reply *message.Reply
	if x.reason == refusal.None {
		reply = c.s.cfg.Handler.Serve(ctx, x.in)
	} else {
		reply = c.s.cfg.Handler.RefusalReply(&x.req.Header, x.reason)
	}
	if x.turn != nil {
		<-x.turn
	}
	x.write(reply)
	x.answered()
}

var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// write sends the answer; one that cannot be sent whole ends the connection.
func (x *exchange) write(reply *message.Reply) {
	c := x.c
	if c.ctx.Err() != nil {
		reply.Close()
		return
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	inbound.FillResponse(resp, x.req.Header.IsHead(), reply)
	if c.ends(x) {
		resp.SetConnectionClose()
	}
	w, _ := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(c.net)
	err := resp.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	if err != nil {
		c.fail()
	}
}

// ends reports whether the connection closes after the answer to x; what is read behind it no longer counts as read.
func (c *conn) ends(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.queue[len(c.queue)-1] == x
	if x.last || newest && c.s.leaving.Load() {
		c.stopped = true
	}
	return c.stopped && newest
}

// fail gives up a connection whose answers do not reach the caller any more.
func (c *conn) fail() {
	c.mu.Lock()
	c.stopped, c.lost = true, true
	c.mu.Unlock()
	c.cancel()
}

// answered hands the turn to the next request.
func (x *exchange) answered() {
	c := x.c
	c.mu.Lock()
	c.queue = c.queue[1:]
	if len(c.queue) == 0 {
		c.queue = nil
		c.until = time.Now().Add(c.s.cfg.IdleTimeout)
	}
	switch {
	case !c.waiting:
	case c.stopped:
		_ = c.net.SetReadDeadline(past)
	case len(c.queue) == 0:
		c.arm()
	}
	c.mu.Unlock()
	close(x.done)
	x.release()
}

func (x *exchange) release() {
	x.c.s.cfg.Handler.ReleaseBody(x.in.Body)
	if x.ahead {
		x.c.s.ahead.Release(1)
	}
	fasthttp.ReleaseRequest(x.req)
	x.req = nil
}

func timedOut(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
