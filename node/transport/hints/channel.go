package hints

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"pollenhill.example/core/state/event"
	"pollenhill.example/node/protocol/loadreport"
)

// Times and bounds of the channel.
const (
	subscriptionInterval = time.Second              // between subscriptions to the same node
	lease                = 3 * subscriptionInterval // of a subscription, so that two may be lost
	reportInterval       = 100 * time.Millisecond   // between reports without a change; they show that the node lives
	maxDatagram          = 1400                     // bytes; a notice takes about 100
	maxReaders           = 512                      // subscribers of one node: a subset holds each node about a dozen times
	retryListen          = 100 * time.Millisecond   // pause after a failed read
)

// Endpoint subscribes at other nodes and reports to its subscribers; it is safe for concurrent use.
type Endpoint struct {
	cfg      Config
	conn     *net.UDPConn
	mu       sync.Mutex
	readers  map[netip.AddrPort]time.Time // end of the lease
	targets  []netip.AddrPort
	sequence uint64
	seen     map[string]loadreport.Datagram // newest report by node
	hurry    chan struct{}                  // asks for a report at once
}

// Config connects a Channel with the rest of the node.
type Config struct {
	Node          string
	Incarnation   uint64
	ListenAddress netip.AddrPort
	LocalReport   func() (loadreport.Datagram, bool) // what to report now; false without a back end
	OnReport      func(loadreport.Datagram)          // receives reports, newest only
	Events        *event.Log
}

// New opens the channel.
func New(cfg Config) (*Endpoint, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.ListenAddress))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for hints on %s", cfg.ListenAddress)
	}
	return &Endpoint{cfg: cfg, conn: conn, readers: map[netip.AddrPort]time.Time{}, seen: map[string]loadreport.Datagram{}, hurry: make(chan struct{}, 1)}, nil
}

// SetSubscriptions replaces the nodes whose reports are wanted.
func (c *Endpoint) SetSubscriptions(targets []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range targets {
		if !contains(c.targets, t) {
			c.ask(t)
		}
	}
	c.targets = targets
}

func contains(list []netip.AddrPort, a netip.AddrPort) bool {
	for _, b := range list {
		if a == b {
			return true
		}
	}
	return false
}

// Run reads and renews until ctx ends.
func (c *Endpoint) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.read(ctx) })
	renew, report := time.NewTicker(subscriptionInterval), time.NewTicker(reportInterval)
	defer renew.Stop()
	defer report.Stop()
	for ctx.Err() == nil {
		select {
		case <-renew.C:
			c.renew()
		case <-report.C:
			c.Publish()
		case <-c.hurry:
			c.Publish()
		case <-ctx.Done():
		}
	}
	if err := c.conn.Close(); err != nil {
		c.cfg.Events.Emit(event.HintExchangeFailed, zap.Error(err))
	}
	wg.Wait()
}

func (c *Endpoint) renew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.targets {
		c.ask(t)
	}
}

// ask sends a subscription; a lost one is repeated with the next renewal. The caller holds mu.
func (c *Endpoint) ask(t netip.AddrPort) {
	n := loadreport.Datagram{Node: c.cfg.Node, Incarnation: c.cfg.Incarnation}
	_, _ = c.conn.WriteToUDPAddrPort(n.Encode(), t)
}

// TriggerPublish asks for a report at once; it does not wait for it.
func (c *Endpoint) TriggerPublish() {
	select {
	case c.hurry <- struct{}{}:
	default: // one is on its way that tells the newest state
	}
}

// Publish reports to every subscriber; a lost report is replaced by the next one.
func (c *Endpoint) Publish() {
	n, ok := c.cfg.LocalReport()
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.readers) == 0 {
		return
	}
	raw := c.stamped(n)
	now := time.Now()
	for reader, end := range c.readers {
		if now.After(end) {
			delete(c.readers, reader)
			continue
		}
		_, _ = c.conn.WriteToUDPAddrPort(raw, reader)
	}
}

func (c *Endpoint) stamped(n loadreport.Datagram) []byte {
	c.sequence++
	n.Node, n.Incarnation, n.Sequence = c.cfg.Node, c.cfg.Incarnation, c.sequence
	return n.Encode()
}

func (c *Endpoint) read(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			c.cfg.Events.Emit(event.HintExchangeFailed, zap.Error(err))
			time.Sleep(retryListen)
			continue
		}
		// A datagram that can't be read is like a lost one.
		if msg, err := loadreport.Decode(buf[:n]); err == nil {
			c.handle(from, msg)
		}
	}
}

func (c *Endpoint) handle(from netip.AddrPort, msg loadreport.Datagram) {
	if msg.Backend == "" {
		c.admit(from)
		return
	}
	if c.newer(msg) {
		c.cfg.OnReport(msg)
	}
}

// admit takes a subscriber and reports to it at once.
func (c *Endpoint) admit(from netip.AddrPort) {
	n, ok := c.cfg.LocalReport()
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.readers[from]
	if !known && len(c.readers) >= maxReaders {
		return
	}
	c.readers[from] = time.Now().Add(lease)
	if ok && !known {
		_, _ = c.conn.WriteToUDPAddrPort(c.stamped(n), from)
	}
}

// newer drops reports that were overtaken.
func (c *Endpoint) newer(msg loadreport.Datagram) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.seen[msg.Node]
	if ok && (msg.Incarnation < old.Incarnation || msg.Incarnation == old.Incarnation && msg.Sequence <= old.Sequence) {
		return false
	}
	c.seen[msg.Node] = msg
	return true
}
