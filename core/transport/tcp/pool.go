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

// Pool keeps connections to one address; idle ones included, never more than MaxConnections are open.
type Pool struct {
	cfg    PoolConfig
	inUse  chan struct{} // semaphore with one token per connection in use
	mu     sync.Mutex
	idle   []*Conn // newest last
	closed bool
}

// PoolConfig sets the address and the bounds of a Pool.
type PoolConfig struct {
	Address        netip.AddrPort
	Dialer         Dialer
	MaxConnections int           // open at once, in use and idle
	IdleTimeout    time.Duration // a connection that was idle for longer is not used again

	HeaderReadTimeout time.Duration // longest wait for the rest of a response header after its first byte, 0 for no limit
	BodyReadTimeout   time.Duration // longest wait for the next byte of a response body, 0 for no limit

	// AbandonTimeout bounds the wait for the other side to stop working on a request that was cancelled before its
	// response. 0 means that cancelling closes the connection at once.
	AbandonTimeout time.Duration

	// EchoHeader is a request header that responses repeat. A response with another value answers an earlier request and
	// is dropped, and so is one without it on a connection that carried an earlier request. Empty disables the check.
	EchoHeader string

	// AllowCloseDelimited accepts responses without a length, whose body ends with the connection. Otherwise they fail.
	AllowCloseDelimited bool

	// OnChange is called after a connection was opened or the other side closed idle ones, with the number of open
	// connections and of those that the other side closed; may be nil.
	OnChange func(open, closed int)

	Now func() time.Time // nil: time.Now
}

// NewPool returns a Pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Pool{cfg: cfg, inUse: make(chan struct{}, cfg.MaxConnections)}
}

// Address returns PoolConfig.Address.
func (p *Pool) Address() netip.AddrPort {
	return p.cfg.Address
}

// ConnectionCounts returns the number of connections in use and idle.
func (p *Pool) ConnectionCounts() (used, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.inUse), len(p.idle)
}

// Get returns an idle connection that still looks open, or a new one; it waits while MaxConnections are in use. Its error
// is an Error.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	select {
	case p.inUse <- struct{}{}:
	case <-ctx.Done():
		return nil, &Error{Step: AcquireConnection, Peer: p.cfg.Address, Err: ctx.Err()}
	}
	c, closed, err := p.takeIdle()
	if closed > 0 {
		p.reportChange(closed)
	}
	if c != nil || err != nil {
		return c, err
	}
	// A connection is opened only if no idle one is left, so the tokens of inUse alone bound the open connections.
	raw, err := p.cfg.Dialer.Dial(ctx, p.cfg.Address)
	if err != nil {
		<-p.inUse
		return nil, err
	}
	c = newConn(raw, p)
	p.reportChange(0)
	return c, nil
}

// Preconnect adds an idle connection, unless MaxConnections are open; a failed dial is ignored.
func (p *Pool) Preconnect(ctx context.Context) {
	select {
	case p.inUse <- struct{}{}:
	default:
		return
	}
	if used, idle := p.ConnectionCounts(); used+idle > p.cfg.MaxConnections {
		<-p.inUse
		return
	}
	raw, err := p.cfg.Dialer.Dial(ctx, p.cfg.Address)
	if err != nil {
		<-p.inUse
		return
	}
	newConn(raw, p).finish(true)
	p.reportChange(0)
}

// reportChange calls OnChange after the other side closed some connections, or after a new one if closed is 0.
func (p *Pool) reportChange(closed int) {
	if p.cfg.OnChange != nil {
		used, idle := p.ConnectionCounts()
		p.cfg.OnChange(used+idle, closed)
	}
}

// takeIdle returns an idle connection, or nil if there is none, and how many of them the other side had closed. With an
// error, the caller's token is given back.
func (p *Pool) takeIdle() (c *Conn, closed int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		<-p.inUse
		return nil, 0, &Error{Step: AcquireConnection, Peer: p.cfg.Address, Err: ErrPoolClosed}
	}
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		expired := p.cfg.Now().Sub(c.idleSince) > p.cfg.IdleTimeout
		if !expired && c.looksIdle() {
			c.attachBuffers()
			return c, closed, nil
		}
		if !expired {
			closed++
		}
		_ = c.netConn.Close()
	}
	return nil, closed, nil
}

func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.netConn.Close()
	} else {
		c.idleSince = p.cfg.Now()
		p.idle = append(p.idle, c)
	}
	<-p.inUse
}

func (p *Pool) closeConn(c *Conn) {
	_ = c.netConn.Close()
	<-p.inUse
}

// Close closes idle connections at once and the others at the end of their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.netConn.Close()
	}
	p.idle = nil
}
