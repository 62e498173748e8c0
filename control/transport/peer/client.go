package peer

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/control/coordination/raftgroup"
	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/control/controlconnect"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/tcp"
)

// Times and bounds of the connections between control processes.
const (
	dialTimeout = 500 * time.Millisecond
	dialFirst   = 50 * time.Millisecond  // of the first try
	raftTimeout = 500 * time.Millisecond // of one batch; consensus sends again what is lost
	backlog     = 256                    // batches that wait for a slow peer, then batches are dropped
)

// Clients holds the connections to the other control processes; it is safe for concurrent use.
type Clients struct {
	cfg    Config
	ctx    context.Context // of the goroutines that send
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	peers  map[string]*client
}

// Config names the control processes.
type Config struct {
	Name  string // of this process
	Bind  netip.Addr
	Peers []Peer       // this process may be among them; others are found by names that are addresses
	TLS   *mtls.Source // nil: plain connections
}

// Peer is one control process.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// client has one connection for consensus, so that a large exchange does not delay heartbeats, and one for the rest.
type client struct {
	name string
	raft controlconnect.PeerClient
	rest controlconnect.PeerClient
	http []*http.Transport
	out  chan [][]byte
}

// NewClients returns Clients; connections open on first use.
func NewClients(cfg Config) *Clients {
	c := &Clients{cfg: cfg, peers: map[string]*client{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, p := range cfg.Peers {
		if p.Name != cfg.Name {
			c.add(p)
		}
	}
	return c
}

func (c *Clients) add(p Peer) *client {
	one := newClient(c.cfg, p)
	c.peers[p.Name] = one
	c.wg.Go(func() { one.run(c.ctx, c.cfg.Name) })
	return one
}

// client returns the connections to a process; the name of one that the settings do not list is its address.
func (c *Clients) client(name string) (*client, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[name]; ok {
		return p, true
	}
	address, err := netip.ParseAddrPort(name)
	if err != nil || name == c.cfg.Name || c.ctx.Err() != nil {
		return nil, false
	}
	return c.add(Peer{Name: name, Address: address}), true
}

func newClient(cfg Config, p Peer) *client {
	url := "http://" + p.Address.String()
	raft, rest := transport(cfg), transport(cfg)
	return &client{
		name: p.Name,
		raft: controlconnect.NewPeerClient(&http.Client{Transport: raft}, url),
		rest: controlconnect.NewPeerClient(&http.Client{Transport: rest}, url),
		http: []*http.Transport{raft, rest},
		out:  make(chan [][]byte, backlog),
	}
}

// transport speaks HTTP/2 with prior knowledge on connections that are TLS already if the settings say so.
func transport(cfg Config) *http.Transport {
	d := cfg.TLS.Dialer(tcp.Dialer{Bind: cfg.Bind, Timeout: dialTimeout, First: dialFirst})
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext: d.DialContext,
		Protocols:   p,
		// Pings close connections to a silently partitioned process, which TCP keeps for minutes.
		HTTP2: &http.HTTP2Config{SendPingTimeout: time.Second, PingTimeout: time.Second},
	}
}

// Run sends queued consensus messages until ctx ends.
func (c *Clients) Run(ctx context.Context) error {
	<-ctx.Done()
	c.Close()
	return ctx.Err()
}

// Close ends all connections.
func (c *Clients) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.wg.Wait()
	for _, p := range c.peers {
		for _, t := range p.http {
			t.CloseIdleConnections()
		}
	}
}

func (p *client) run(ctx context.Context, from string) {
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-p.out:
			// A lost batch needs no report: consensus sends again.
			_ = p.deliver(ctx, &control.RaftRequest{From: from, Messages: p.gather(batch)})
		}
	}
}

// gather adds everything queued to a batch.
func (p *client) gather(batch [][]byte) [][]byte {
	for {
		select {
		case more := <-p.out:
			batch = append(batch, more...)
		default:
			return batch
		}
	}
}

func (p *client) deliver(ctx context.Context, req *control.RaftRequest) error {
	ctx, cancel := context.WithTimeout(ctx, raftTimeout)
	defer cancel()
	_, err := p.raft.Raft(ctx, connect.NewRequest(req))
	return errors.Wrapf(err, "raft to %s", p.name)
}

// SendRaft queues consensus messages; it does not block and drops them if the queue is full.
func (c *Clients) SendRaft(to string, messages [][]byte) {
	p, ok := c.client(to)
	if !ok {
		return
	}
	select {
	case p.out <- messages:
	default:
	}
}

// Exchange sends directory deltas.
func (c *Clients) Exchange(ctx context.Context, to string, req *control.ExchangeRequest) (*control.ExchangeResponse, error) {
	p, ok := c.client(to)
	if !ok {
		return nil, errors.Newf("exchange with %s: not among the peers", to)
	}
	resp, err := p.rest.Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, errors.Wrapf(err, "exchange with %s", to)
	}
	return resp.Msg, nil
}

// Forward proposes an encoded command at another control process and returns the encoded result.
//
// The error is a NotLeader only if the command was certainly not proposed.
func (c *Clients) Forward(ctx context.Context, to string, command []byte) ([]byte, error) {
	p, ok := c.client(to)
	if !ok {
		return nil, &raftgroup.NotLeaderError{}
	}
	resp, err := p.rest.Forward(ctx, connect.NewRequest(&control.ForwardRequest{Command: command}))
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return nil, &raftgroup.NotLeaderError{}
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "forward to %s", to), raftgroup.ErrOutcomeUnknown)
	}
	return resp.Msg.GetResult(), nil
}
