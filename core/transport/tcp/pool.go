package tcp

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrPoolClosed is returned by Get on a closed Pool.
var ErrPoolClosed = errors.New("pool is closed")

// Pool keeps connections to one address; idle ones included, never more than Cap are open.
type Pool struct {
	cfg    PoolConfig
	tokens chan struct{} // one per connection in use
	mu     sync.Mutex
	idle   []*Conn // newest last
	closed bool
}

// PoolConfig sets the address and the bounds of a Pool.
type PoolConfig struct {
	Address             netip.AddrPort
	Dialer              Dialer
	MaxConnections      int                    // connections that may be open at once
	IdleTimeout         time.Duration          // an idle connection that is older is not used again
	HeaderReadTimeout   time.Duration          // longest wait for the rest of a response header after its first byte, 0 for none
	BodyReadTimeout     time.Duration          // longest wait for the next byte of a response body, 0 for none
	AbandonTimeout      time.Duration          // longest wait for the other side to end an exchange given up before its response, 0 for none
	EchoHeader          string                 // request header that responses repeat: one with another value answers an earlier request and is dropped; empty: none
	AllowCloseDelimited bool                   // responses without a length end with their connection; else they count as broken
	OnChange            func(open, closed int) // connections open after a new one, or after the other side closed some; may be nil
	Now                 func() time.Time
}

// NewPool returns a Pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Pool{cfg: cfg, tokens: make(chan struct{}, cfg.MaxConnections)}
}

// Address returns the address that the connections lead to.
func (p *Pool) Address() netip.AddrPort {
	return p.cfg.Address
}

// ConnectionCounts returns the number of connections in use and idle.
func (p *Pool) ConnectionCounts() (used, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.tokens), len(p.idle)
}

// Get returns an idle connection that still looks open, or a new one; it waits while Cap are in use.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	select {
	case p.tokens <- struct{}{}:
	case <-ctx.Done():
		return nil, &Error{Step: AcquireConnection, Peer: p.cfg.Address, Err: ctx.Err()}
	}
	c, closed, err := p.take()
	if closed > 0 {
		p.report(closed)
	}
	if c != nil || err != nil {
		return c, err
	}
	// A connection is opened only with no idle one left, so the tokens alone bound the open connections.
	raw, err := p.cfg.Dialer.Dial(ctx, p.cfg.Address)
	if err != nil {
		<-p.tokens
		return nil, err
	}
	c = newConn(raw, p)
	p.report(0)
	return c, nil
}

// Preconnect opens one connection ahead of its use, unless Cap are open.
func (p *Pool) Preconnect(ctx context.Context) {
	select {
	case p.tokens <- struct{}{}:
	default:
		return
	}
	if used, idle := p.ConnectionCounts(); used+idle > p.cfg.MaxConnections {
		<-p.tokens
		return
	}
	raw, err := p.cfg.Dialer.Dial(ctx, p.cfg.Address)
	if err != nil {
		<-p.tokens
		return
	}
	newConn(raw, p).finish(true)
	p.report(0)
}

func (p *Pool) report(closed int) {
	if p.cfg.OnChange != nil {
		used, idle := p.ConnectionCounts()
		p.cfg.OnChange(used+idle, closed)
	}
}

// take returns an idle connection, or none and how many the other side had closed.
func (p *Pool) take() (c *Conn, closed int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		<-p.tokens
		return nil, 0, &Error{Step: AcquireConnection, Peer: p.cfg.Address, Err: ErrPoolClosed}
	}
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		old := p.cfg.Now().Sub(c.since) > p.cfg.IdleTimeout
		if !old && c.quiet() {
			c.equip()
			return c, closed, nil
		}
		if !old {
			closed++
		}
		_ = c.net.Close()
	}
	return nil, closed, nil
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.net.Close()
	} else {
		c.since = p.cfg.Now()
		p.idle = append(p.idle, c)
	}
	<-p.tokens
}

func (p *Pool) drop(c *Conn) {
	_ = c.net.Close()
	<-p.tokens
}

// Close closes idle connections now and the others when they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.net.Close()
	}
	p.idle = nil
}
