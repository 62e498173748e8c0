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

// Limits of the connections between control processes.
const (
	dialTimeout      = 500 * time.Millisecond
	firstDialTimeout = 50 * time.Millisecond  // of the first try to connect
	raftTimeout      = 500 * time.Millisecond // of one batch; Raft sends lost messages again
	raftQueueSize    = 256                    // batches queued for a slow peer; further ones are dropped
)

// Clients holds the connections to the other control processes; it is safe for concurrent use.
type Clients struct {
	cfg    Config
	ctx    context.Context // of the goroutines that send Raft messages
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	peers  map[string]*client
}

// Config names this control process and the others.
type Config struct {
	Name  string            // of this process
	Bind  netip.Addr        // source address of the connections
	Peers []Peer            // may include this process; the name of a process that is not listed must be its address
	TLS   *mtls.Credentials // nil: plain connections
}

// Peer is one control process.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// client has a connection of its own for Raft messages, so that a large exchange does not delay heartbeats.
type client struct {
	name       string
	raft       controlconnect.PeerClient
	other      controlconnect.PeerClient // for exchanges and forwarded proposals
	transports []*http.Transport         // of raft and other
	raftQueue  chan [][]byte             // batches of messages
}

// NewClients returns Clients; connections open on first use.
func NewClients(cfg Config) *Clients {
	c := &Clients{cfg: cfg, peers: map[string]*client{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, p := range cfg.Peers {
		if p.Name != cfg.Name {
			c.addClient(p)
		}
	}
	return c
}

func (c *Clients) addClient(p Peer) *client {
	added := newClient(c.cfg, p)
	c.peers[p.Name] = added
	c.wg.Go(func() { added.sendQueued(c.ctx, c.cfg.Name) })
	return added
}

// clientFor returns the client for a process, and adds it if the process is not configured and its name is an address.
func (c *Clients) clientFor(name string) (*client, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[name]; ok {
		return p, true
	}
	address, err := netip.ParseAddrPort(name)
	if err != nil || name == c.cfg.Name || c.ctx.Err() != nil {
		return nil, false
	}
	return c.addClient(Peer{Name: name, Address: address}), true
}

func newClient(cfg Config, p Peer) *client {
	url := "http://" + p.Address.String()
	raft, other := newTransport(cfg), newTransport(cfg)
	limit := connect.WithReadMaxBytes(control.MaxResponseBytes)
	return &client{
		name:       p.Name,
		raft:       controlconnect.NewPeerClient(&http.Client{Transport: raft}, url, limit),
		other:      controlconnect.NewPeerClient(&http.Client{Transport: other}, url, limit),
		transports: []*http.Transport{raft, other},
		raftQueue:  make(chan [][]byte, raftQueueSize),
	}
}

// newTransport returns a transport for HTTP/2 with prior knowledge; its dialer already adds TLS if it is configured.
func newTransport(cfg Config) *http.Transport {
	d := cfg.TLS.WrapDialer(tcp.Dialer{Bind: cfg.Bind, Timeout: dialTimeout, FirstTryTimeout: firstDialTimeout})
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext: d.DialContext,
		Protocols:   p,

		MaxResponseHeaderBytes: control.MaxResponseHeaderBytes,
		// Without pings TCP keeps a connection to a process in a silent partition for minutes.
		HTTP2: &http.HTTP2Config{SendPingTimeout: time.Second, PingTimeout: time.Second},
	}
}

// Run waits until ctx ends, closes the connections and returns the error of ctx.
func (c *Clients) Run(ctx context.Context) error {
	<-ctx.Done()
	c.Close()
	return ctx.Err()
}

// Close stops sending and closes all connections.
func (c *Clients) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.wg.Wait()
	for _, p := range c.peers {
		for _, t := range p.transports {
			t.CloseIdleConnections()
		}
	}
}

// sendQueued sends queued Raft messages until ctx ends.
func (p *client) sendQueued(ctx context.Context, from string) {
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-p.raftQueue:
			// The error can be ignored because Raft sends lost messages again.
			_ = p.sendBatch(ctx, &control.RaftRequest{From: from, Messages: p.mergeQueued(batch)})
		}
	}
}

// mergeQueued appends all queued batches to batch.
func (p *client) mergeQueued(batch [][]byte) [][]byte {
	for {
		select {
		case more := <-p.raftQueue:
			batch = append(batch, more...)
		default:
			return batch
		}
	}
}

func (p *client) sendBatch(ctx context.Context, req *control.RaftRequest) error {
	ctx, cancel := context.WithTimeout(ctx, raftTimeout)
	defer cancel()
	_, err := p.raft.Raft(ctx, connect.NewRequest(req))
	return errors.Wrapf(err, "raft to %s", p.name)
}

// SendRaft queues Raft messages for a control process; it does not block and drops them if the queue is full.
func (c *Clients) SendRaft(to string, messages [][]byte) {
	p, ok := c.clientFor(to)
	if !ok {
		return
	}
	select {
	case p.raftQueue <- messages:
	default:
	}
}

// Exchange sends directory deltas to a control process and returns its response; after an error it may have merged them.
func (c *Clients) Exchange(ctx context.Context, to string, req *control.ExchangeRequest) (*control.ExchangeResponse, error) {
	p, ok := c.clientFor(to)
	if !ok {
		return nil, errors.Newf("exchange with %s: not among the peers", to)
	}
	resp, err := p.other.Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, errors.Wrapf(err, "exchange with %s", to)
	}
	return resp.Msg, nil
}

// Totals delivers account use to another control process and returns what that one knows of others.
func (c *Clients) Totals(ctx context.Context, to string, req *control.TotalsRequest) (*control.TotalsResponse, error) {
	p, ok := c.clientFor(to)
	if !ok {
		return nil, errors.Newf("totals for %s: not among the peers", to)
	}
	resp, err := p.other.Totals(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, errors.Wrapf(err, "totals for %s", to)
	}
	return resp.Msg, nil
}

// Observe passes observations of nodes to a control process, which should be the leader.
func (c *Clients) Observe(ctx context.Context, to string, list []*control.Observation) error {
	p, ok := c.clientFor(to)
	if !ok {
		return errors.Newf("observe at %s: not among the peers", to)
	}
	_, err := p.other.Observe(ctx, connect.NewRequest(&control.ObserveRequest{Observations: list}))
	return errors.Wrapf(err, "observe at %s", to)
}

// Forward proposes an encoded command at another control process and returns the encoded result.
//
// The error is a NotLeaderError only if the command was certainly not proposed; any other one is marked
// ErrOutcomeUnknown.
func (c *Clients) Forward(ctx context.Context, to string, command []byte) ([]byte, error) {
	p, ok := c.clientFor(to)
	if !ok {
		return nil, &raftgroup.NotLeaderError{}
	}
	resp, err := p.other.Forward(ctx, connect.NewRequest(&control.ForwardRequest{Command: command}))
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return nil, &raftgroup.NotLeaderError{}
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "forward to %s", to), raftgroup.ErrOutcomeUnknown)
	}
	return resp.Msg.GetResult(), nil
}
