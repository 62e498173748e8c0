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

// Times of the client.
const (
	AnnounceInterval = time.Second            // pause between announcements; the lease lasts three times as long
	RequestTimeout   = time.Second            // of one announcement or probe
	FirstDialTimeout = 50 * time.Millisecond  // of the first try to open a connection
	tick             = 50 * time.Millisecond  // resolution of the failover decision
	backoff          = 100 * time.Millisecond // pause between tries of a claim call
)

// Config says who the node is and where the control processes are.
type Config struct {
	Node       string
	Zone       string
	Region     string
	Bind       netip.Addr // source of outgoing connections
	Servers    []Server
	JitterSeed uint64 // of the jitter; 0 takes a random one

	// Dial replaces the TCP dialer, for TLS and for tests on in-memory connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Server is one control process.
type Server struct {
	Name    string
	Address netip.AddrPort
	Region  string
}

// Client keeps the last good state from the control processes; it is safe for concurrent use.
type Client struct {
	cfg      Config
	state    atomic.Pointer[follow.State]
	sequence atomic.Uint64
	servers  []Server // guarded by mu
	remotes  map[string]*remote
	dirty    chan struct{} // the member changed
	mu       sync.Mutex
	changed  chan struct{}
	seeded   atomic.Pointer[[]Server] // servers that the session has not taken yet
	member   *control.Member
}

// New returns a Client that does nothing before Run.
func New(cfg Config) *Client {
	c := &Client{
		cfg:     cfg,
		changed: make(chan struct{}),
		dirty:   make(chan struct{}, 1),
	}
	c.state.Store(&follow.State{})
	c.servers = cfg.Servers
	c.remotes = dial(cfg, cfg.Servers)
	return c
}

// learn takes the members of a control group that assembles itself, whose names are their addresses; the configured
// ones stay, in case all members are replaced. It returns all control processes if there are new ones.
func (c *Client) learn(group []string) ([]Server, bool) {
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
	for name, r := range dial(c.cfg, list) {
		if c.remotes[name] == nil {
			c.remotes[name] = r
		}
	}
	return list, true
}

// SetServers replaces the configured control processes; members of the group that were learned stay known.
func (c *Client) SetServers(servers []Server) {
	c.mu.Lock()
	known := lo.Map(c.servers, func(s Server, _ int) string { return s.Name })
	c.cfg.Servers = servers
	c.mu.Unlock()
	if list, changed := c.learn(known); changed {
		c.seeded.Store(&list)
	}
}

// remote returns the connection to a control process.
func (c *Client) remote(name string) *remote {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remotes[name]
}

// State returns the last good state; it is never nil and must not be changed.
func (c *Client) State() *follow.State {
	return c.state.Load()
}

// Changed returns a channel that is closed by the next change of State.
//
// Take the channel before reading State, so that no change is missed.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Announce replaces what the node announces and announces it at once.
//
// The client sets the sequence; the node sets the incarnation. Set gone when the node ends.
func (c *Client) Announce(m *control.Member) {
	c.mu.Lock()
	c.member = proto.CloneOf(m)
	c.mu.Unlock()
	select {
	case c.dirty <- struct{}{}:
	default:
	}
}

func (c *Client) announced() *control.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.member
}

// OfferRules hands over rules from another node; older or equal revisions are ignored.
func (c *Client) OfferRules(revision uint64, text string) {
	c.update(func(s *follow.State) *follow.State { return s.WithRulesText(revision, text) })
}

// Run announces and watches until ctx ends; its error is that of ctx.
func (c *Client) Run(ctx context.Context) error {
	return newSession(c).run(ctx)
}

// update publishes a new state and signals the change.
func (c *Client) update(f func(*follow.State) *follow.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.state.Load()
	next := f(old)
	if next == old {
		return
	}
	c.state.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
}
