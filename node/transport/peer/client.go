package peer

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/protocol/message"
)

// LocalDestination runs attempts at the back end of this node.
type LocalDestination interface {
	Serve(ctx context.Context, a message.Attempt, req *message.Request) *message.Reply
	Cancel(ctx context.Context, msg destination.Cancel) destination.CancelOutcome
}

// Client sends attempts to destination nodes; it is safe for concurrent use.
type Client struct {
	cfg           ClientConfig
	mismatched    atomic.Uint64 // responses that name another attempt or none
	fetchingRules atomic.Bool   // limits the fetches of rules to one at a time
	newestHeard   atomic.Uint64 // newest revision that a peer has named

	mu    sync.Mutex // guards pools
	pools map[netip.AddrPort]*tcp.Pool
}

// ClientConfig holds the parameters of a Client and the parts of the node that it uses.
type ClientConfig struct {
	Node             string
	Dialer           tcp.Dialer
	MaxConnections   int                                // connections per peer
	IdleTimeout      time.Duration                      // after which an unused connection is not used again
	BodyReadTimeout  time.Duration                      // longest wait for the next byte of a response body
	MaxBufferedBytes int                                // longest response body that is received before its header is passed on
	BufferMemory     *semaphore.Weighted                // memory budget in bytes for such bodies of all responses; without room they are passed on as they arrive
	Destination      LocalDestination                   // for attempts at the back end of this node
	RulesRevision    func() uint64                      // returns the revision of the rules in force
	RulesConfirmed   func() bool                        // reports whether a control process keeps the rules up to date, so that peers are not asked for them
	OfferRules       func(revision uint64, text string) // takes newer rules of a peer
	Clock            *event.Clock                       // nil: messages carry no timestamp
}

// NewClient returns a Client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, pools: map[netip.AddrPort]*tcp.Pool{}}
}

// MismatchedResponses returns the number of responses that were dropped because they name another attempt or none.
func (c *Client) MismatchedResponses() uint64 {
	return c.mismatched.Load()
}

// poolFor returns the pool of an address and creates it if needed.
func (c *Client) poolFor(address netip.AddrPort) *tcp.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = tcp.NewPool(tcp.PoolConfig{
			Address:         address,
			Dialer:          c.cfg.Dialer,
			MaxConnections:  c.cfg.MaxConnections,
			IdleTimeout:     c.cfg.IdleTimeout,
			BodyReadTimeout: c.cfg.BodyReadTimeout,
		})
		c.pools[address] = p
	}
	return p
}

// RetainPeers closes the pools of all other addresses.
func (c *Client) RetainPeers(addresses map[netip.AddrPort]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if !addresses[address] {
			p.Close()
			delete(c.pools, address)
		}
	}
}

// Close closes the pools of all addresses.
func (c *Client) Close() {
	c.RetainPeers(nil)
}

// minAskedBody is the length from which the body of an upload is sent only after the destination asks for it, in bytes. At 6 Mbit/s
// it takes 20 ms, more than the question takes between zones.
const minAskedBody = 16 << 10

// Send makes one attempt at the target. The reply is never nil; its outcome is unknown unless the response or the error
// proves another one.
func (c *Client) Send(ctx context.Context, target balancer.Target, a message.Attempt, req *message.Request) *message.Reply {
	if target.Node == c.cfg.Node {
		return c.sendLocal(ctx, a, req)
	}
	a.Revision = c.cfg.RulesRevision()
	var h fasthttp.RequestHeader
	req.Header.CopyTo(&h)
	h.SetNoDefaultContentType(true)
	a.Write(&h, time.Now())
	setClockHeader(c.cfg.Clock, &h)
	pool := c.poolFor(target.PeerAddress)
	send := pool.Exchange
	if req.Upload && len(req.Body) >= minAskedBody {
		send = pool.ExchangeAsking
	}
	resp, err := send(ctx, &h, req.Body)
	if err != nil {
		return c.failedExchangeReply(ctx, a, err)
	}
	mergeClockHeader(c.cfg.Clock, &resp.Header)
	c.observeRevisionHeader(target.PeerAddress, resp.Header.Peek(attempt.HeaderRevision))
	if string(resp.Header.Peek(attempt.HeaderAttempt)) != a.ID.String() {
		c.mismatched.Add(1)
		_ = resp.Body.Close()
		return c.lostReply(a)
	}
	return c.readReply(a, resp)
}

// sendLocal makes an attempt at the back end of this node.
func (c *Client) sendLocal(ctx context.Context, a message.Attempt, req *message.Request) *message.Reply {
	reply := c.cfg.Destination.Serve(ctx, a, req)
	if reply.Result == balancer.Succeeded && reply.Header.StatusCode() >= fasthttp.StatusInternalServerError {
		reply.Result = balancer.Failed
	}
	return reply
}

// readReply returns the reply for a response, or lostReply if its body is truncated within the buffered part.
func (c *Client) readReply(a message.Attempt, resp *tcp.Response) *message.Reply {
	reply := &message.Reply{Length: resp.Length, Hint: message.ReadHint(&resp.Header)}
	resp.Header.CopyTo(&reply.Header)
	if resp.Length != 0 {
		reply.Body = resp.Body
	}
	if reply.Buffer(c.cfg.MaxBufferedBytes, c.cfg.BufferMemory) != nil {
		return c.lostReply(a)
	}
	message.ReadOutcome(reply, a.Depth)
	message.StripHopByHop(&reply.Header)
	switch {
	case reply.Outcome == attempt.NotRun:
		reply.Result = balancer.Refused
	case reply.Header.StatusCode() >= fasthttp.StatusInternalServerError:
		reply.Result = balancer.Failed
	}
	return reply
}

// failedExchangeReply returns the reply for a failed exchange. The attempt was not run if no byte of it was written;
// otherwise its outcome is unknown.
func (c *Client) failedExchangeReply(ctx context.Context, a message.Attempt, err error) *message.Reply {
	f := refusal.Refusal{Reason: refusal.ConnectionBroken, Node: c.cfg.Node, Depth: a.Depth}
	result := balancer.Lost
	if ctx.Err() != nil {
		f.Reason = refusal.Cancelled
		result = balancer.Cancelled
	}
	var step *tcp.Error
	if errors.As(err, &step) && !step.WroteAny {
		f.Outcome = attempt.NotRun
		if step.Step == tcp.Connect && result == balancer.Lost {
			result = balancer.Unreachable
		}
	}
	return &message.Reply{Outcome: f.Outcome, Result: result, Refusal: f}
}

// lostReply returns the reply for a response that names another attempt or has a truncated body.
func (c *Client) lostReply(a message.Attempt) *message.Reply {
	f := refusal.Refusal{Reason: refusal.ConnectionBroken, Node: c.cfg.Node, Depth: a.Depth}
	return &message.Reply{Outcome: attempt.Unknown, Result: balancer.Lost, Refusal: f}
}

// Cancel stops an attempt at its destination, unless it has ended, and returns what the destination knows of it; Unknown
// after an error.
func (c *Client) Cancel(ctx context.Context, target balancer.Target, id attempt.ID) destination.CancelOutcome {
	if target.Node == c.cfg.Node {
		return c.cfg.Destination.Cancel(ctx, destination.Cancel{ID: id, Incarnation: target.Incarnation})
	}
	var h fasthttp.RequestHeader
	h.SetMethod(fasthttp.MethodPost)
	h.SetRequestURI(pathCancel)
	h.SetHost(target.PeerAddress.String())
	h.Set(attempt.HeaderAttempt, id.String())
	h.Set(attempt.HeaderIncarnation, strconv.FormatUint(target.Incarnation, 10))
	h.SetContentLength(0)
	resp, err := c.poolFor(target.PeerAddress).Exchange(ctx, &h, nil)
	if err != nil {
		return destination.Unknown
	}
	defer func() { _ = resp.Body.Close() }()
	if string(resp.Header.Peek(attempt.HeaderAttempt)) != id.String() {
		c.mismatched.Add(1)
		return destination.Unknown
	}
	switch string(resp.Header.Peek(headerCancelOutcome)) {
	case destination.NotRun.String():
		return destination.NotRun
	case destination.Started.String():
		return destination.Started
	}
	return destination.Unknown
}
