package tcp

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrClosed is returned by Get on a closed Pool.
var ErrClosed = errors.New("pool is closed")

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
	Address netip.AddrPort
	Dialer  Dialer
	Cap     int           // connections that may be open at once
	Idle    time.Duration // an idle connection that is older is not used again
	Now     func() time.Time
}

// NewPool returns a Pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Pool{cfg: cfg, tokens: make(chan struct{}, cfg.Cap)}
}

// Address returns the address that the connections lead to.
func (p *Pool) Address() netip.AddrPort {
	return p.cfg.Address
}

// Open returns the number of connections in use and idle.
func (p *Pool) Open() (used, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.tokens), len(p.idle)
}

// Get returns an idle connection that still looks open, or a new one; it waits while Cap are in use.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	select {
	case p.tokens <- struct{}{}:
	case <-ctx.Done():
		return nil, &Error{Step: Wait, Peer: p.cfg.Address, Err: ctx.Err()}
	}
	c, err := p.take()
	if c != nil || err != nil {
		return c, err
	}
	// A connection is opened only with no idle one left, so the tokens alone bound the open connections.
	raw, err := p.cfg.Dialer.Dial(ctx, p.cfg.Address)
	if err != nil {
		<-p.tokens
		return nil, err
	}
	return newConn(raw, p), nil
}

func (p *Pool) take() (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		<-p.tokens
		return nil, &Error{Step: Wait, Peer: p.cfg.Address, Err: ErrClosed}
	}
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if p.cfg.Now().Sub(c.since) <= p.cfg.Idle && c.quiet() {
			return c, nil
		}
		_ = c.net.Close()
	}
	return nil, nil
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
