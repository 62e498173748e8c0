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

	"pollenhill.example/core/coordination/balancer"
	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/core/protocol/refusal"
	"pollenhill.example/core/state/event"
	"pollenhill.example/core/transport/tcp"
	"pollenhill.example/node/coordination/destination"
	"pollenhill.example/node/protocol/message"
)

// LocalDestination is the destination side of this node.
type LocalDestination interface {
	Serve(ctx context.Context, a message.Attempt, req *message.Request) *message.Reply
	Cancel(ctx context.Context, msg destination.Cancel) destination.CancelOutcome
}

// Client sends attempts to destination nodes; it is safe for concurrent use.
type Client struct {
	cfg      ClientConfig
	mu       sync.Mutex
	pools    map[netip.AddrPort]*tcp.Pool
	mismatch atomic.Uint64
	fetching atomic.Bool
}

// ClientConfig connects a Client with the rest of the node.
type ClientConfig struct {
	Node             string
	Dialer           tcp.Dialer
	MaxConnections   int           // connections per peer
	IdleTimeout      time.Duration // after which an unused connection is not used again
	BodyReadTimeout  time.Duration // longest wait for the next byte of a response body
	MaxBufferedBytes int           // bytes up to which a response is received whole
	Destination      LocalDestination
	RulesRevision    func() uint64                      // of the rules in force
	OfferRules       func(revision uint64, text string) // receives newer rules
	Clock            *event.Clock                       // nil: messages carry no stamp
}

// NewClient returns a Client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, pools: map[netip.AddrPort]*tcp.Pool{}}
}

// MismatchedResponses returns the number of responses that were dropped because they belong to another attempt.
func (c *Client) MismatchedResponses() uint64 {
	return c.mismatch.Load()
}

func (c *Client) pool(address netip.AddrPort) *tcp.Pool {
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

// RetainPeers closes the connections to every address that is not listed.
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

// Close closes idle connections.
func (c *Client) Close() {
	c.RetainPeers(nil)
}

// Send makes one attempt; the reply is never nil, and its outcome is unknown unless something was proven.
func (c *Client) Send(ctx context.Context, target balancer.Target, a message.Attempt, req *message.Request) *message.Reply {
	if target.Node == c.cfg.Node {
		return c.local(ctx, a, req)
	}
	a.Revision = c.cfg.RulesRevision()
	var h fasthttp.RequestHeader
	req.Header.CopyTo(&h)
	h.SetNoDefaultContentType(true)
	a.Write(&h, time.Now())
	stamp(c.cfg.Clock, &h)
	resp, err := c.pool(target.PeerAddress).Exchange(ctx, &h, req.Body)
	if err != nil {
		return c.broken(ctx, a, err)
	}
	merge(c.cfg.Clock, &resp.Header)
	c.compare(target.PeerAddress, resp.Header.Peek(attempt.HeaderRevision))
	if string(resp.Header.Peek(attempt.HeaderAttempt)) != a.ID.String() {
		c.mismatch.Add(1)
		_ = resp.Body.Close()
		return c.lost(a)
	}
	return c.reply(a, resp)
}

func (c *Client) local(ctx context.Context, a message.Attempt, req *message.Request) *message.Reply {
	reply := c.cfg.Destination.Serve(ctx, a, req)
	if reply.Result == balancer.Succeeded && reply.Header.StatusCode() >= fasthttp.StatusInternalServerError {
		reply.Result = balancer.Failed
	}
	return reply
}

func (c *Client) reply(a message.Attempt, resp *tcp.Response) *message.Reply {
	reply := &message.Reply{Length: resp.Length, Hint: message.ReadHint(&resp.Header)}
	resp.Header.CopyTo(&reply.Header)
	if resp.Length != 0 {
		reply.Body = resp.Body
	}
	if reply.Buffer(c.cfg.MaxBufferedBytes) != nil {
		return c.lost(a)
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

// broken says what a failed exchange proves: without a byte written the destination knows nothing of it.
func (c *Client) broken(ctx context.Context, a message.Attempt, err error) *message.Reply {
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

// lost is the reply to an attempt whose response was somebody else's.
func (c *Client) lost(a message.Attempt) *message.Reply {
	f := refusal.Refusal{Reason: refusal.ConnectionBroken, Node: c.cfg.Node, Depth: a.Depth}
	return &message.Reply{Outcome: attempt.Unknown, Result: balancer.Lost, Refusal: f}
}

// Cancel asks the destination of an attempt whether it ran and stops it if it has not ended.
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
	resp, err := c.pool(target.PeerAddress).Exchange(ctx, &h, nil)
	if err != nil {
		return destination.Unknown
	}
	defer func() { _ = resp.Body.Close() }()
	if string(resp.Header.Peek(attempt.HeaderAttempt)) != id.String() {
		c.mismatch.Add(1)
		return destination.Unknown
	}
	switch string(resp.Header.Peek(headerAnswer)) {
	case destination.NotRun.String():
		return destination.NotRun
	case destination.Started.String():
		return destination.Started
	}
	return destination.Unknown
}
