package control

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"pollenhill.example/core/coordination/follow"
	"pollenhill.example/core/protocol/control"
)

// Intervals and timeouts of a Client.
const (
	AnnounceInterval = time.Second            // pause between announcements; the lease lasts three times as long
	RequestTimeout   = time.Second            // of opening a connection and of one announcement, probe or claim call
	FirstDialTimeout = 50 * time.Millisecond  // of the first try to open a connection
	tickInterval     = 50 * time.Millisecond  // between checks of the timeouts of the failover model
	claimRetryPause  = 100 * time.Millisecond // between tries of a claim call
)

// Config identifies the node and the control processes.
type Config struct {
	Node       string
	Zone       string
	Region     string
	Bind       netip.Addr // source address of outgoing connections
	Servers    []Server
	JitterSeed uint64 // seed of the random jitter, 0 for a random seed

	// Dial replaces the TCP dialer, for TLS and for tests on in-memory connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Server is one control process.
type Server struct {
	Name    string
	Address netip.AddrPort
	Region  string
}

// Client keeps the last valid state from the control processes; it is safe for concurrent use.
type Client struct {
	cfg            Config
	state          atomic.Pointer[follow.State]
	sequence       atomic.Uint64            // of the last announcement
	memberChanged  chan struct{}            // signals the session to announce member
	pendingServers atomic.Pointer[[]Server] // new control processes that the session has not passed to its model yet

	mu           sync.Mutex // guards the fields below and cfg.Servers
	servers      []Server   // configured and learned
	remotes      map[string]*remote
	stateChanged chan struct{}
	member       *control.Member // what the node announces
}

// New returns a Client that connects to no control process before Run or a claim call.
func New(cfg Config) *Client {
	c := &Client{
		cfg:           cfg,
		stateChanged:  make(chan struct{}),
		memberChanged: make(chan struct{}, 1),
	}
	c.state.Store(&follow.State{})
	c.servers = cfg.Servers
	c.remotes = newRemotes(cfg, cfg.Servers)
	return c
}

// learnGroup adds the members of a control group with dynamic membership, whose names are their addresses. The configured
// control processes stay, in case all members are replaced. It returns all control processes if they have changed.
func (c *Client) learnGroup(group []string) ([]Server, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Clone(c.cfg.Servers)
	for _, name := range group {
		address, err := netip.ParseAddrPort(name)
		if err != nil || slices.ContainsFunc(list, func(s Server) bool { return s.Name == name }) {
			continue
		}
		list = append(list, Server{Name: name, Address: address, Region: c.cfg.Region})
	}
	if slices.Equal(list, c.servers) {
		return nil, false
	}
	c.servers = list
	for name, r := range newRemotes(c.cfg, list) {
		if c.remotes[name] == nil {
			c.remotes[name] = r
		}
	}
	return list, true
}

// SetServers replaces the configured control processes; members of the control group that were learned stay known.
func (c *Client) SetServers(servers []Server) {
	c.mu.Lock()
	known := lo.Map(c.servers, func(s Server, _ int) string { return s.Name })
	c.cfg.Servers = servers
	c.mu.Unlock()
	if list, changed := c.learnGroup(known); changed {
		c.pendingServers.Store(&list)
	}
}

// remote returns the connection to a control process.
func (c *Client) remote(name string) *remote {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remotes[name]
}

// State returns the last valid state; it is never nil and must not be changed.
func (c *Client) State() *follow.State {
	return c.state.Load()
}

// Changed returns a channel that is closed by the next change of State. Callers get the channel before they read State,
// so that they miss no change.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateChanged
}

// Announce replaces what the node announces. Run announces it at once and then once per AnnounceInterval. The client sets
// the sequence; the caller sets the incarnation, and gone when the node shuts down.
func (c *Client) Announce(m *control.Member) {
	c.mu.Lock()
	c.member = proto.CloneOf(m)
	c.mu.Unlock()
	select {
	case c.memberChanged <- struct{}{}:
	default:
	}
}

func (c *Client) currentMember() *control.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.member
}

// OfferRules takes rules that another node has sent; an older or equal revision is ignored.
func (c *Client) OfferRules(revision uint64, text string) {
	c.updateState(func(s *follow.State) *follow.State { return s.WithRulesText(revision, text) })
}

// Run announces the node and follows a control process until ctx ends; it returns the error of ctx.
func (c *Client) Run(ctx context.Context) error {
	return newSession(c).run(ctx)
}

// updateState replaces the state by the result of f and signals the change, unless f returns the state unchanged.
func (c *Client) updateState(f func(*follow.State) *follow.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.state.Load()
	next := f(old)
	if next == old {
		return
	}
	c.state.Store(next)
	close(c.stateChanged)
	c.stateChanged = make(chan struct{})
}
