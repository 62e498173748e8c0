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

// Intervals and limits of the exchange.
const (
	subscriptionInterval = time.Second              // between two subscriptions to the same node
	subscriptionLease    = 3 * subscriptionInterval // two renewals may be lost before a subscription expires
	reportInterval       = 100 * time.Millisecond   // between reports of unchanged load, which show that the node is alive
	maxDatagramSize      = 1400                     // bytes; a report takes about 100
	maxSubscribers       = 512                      // per node; about a dozen are expected: the nodes whose balancing subset contains this node
	readRetryDelay       = 100 * time.Millisecond   // after a failed read
)

// Endpoint subscribes to the load reports of other nodes and sends those of this node to its subscribers; it is safe for
// concurrent use.
type Endpoint struct {
	cfg           Config
	conn          *net.UDPConn
	mu            sync.Mutex
	subscribers   map[netip.AddrPort]time.Time   // end of the lease by address
	subscriptions []netip.AddrPort               // nodes whose reports this node receives
	sequence      uint64                         // of the last report sent
	newestReports map[string]loadreport.Datagram // last report received, by node name
	publishNow    chan struct{}                  // makes Run publish a report
}

// Config holds the identity of the node and the callbacks of an Endpoint.
type Config struct {
	Node          string
	Incarnation   uint64
	ListenAddress netip.AddrPort
	LocalReport   func() (loadreport.Datagram, bool) // returns the current load; false without a local back end
	OnReport      func(loadreport.Datagram)          // receives reports of other nodes, without outdated ones
	Events        *event.Log                         // receives socket errors
}

// New opens the UDP socket on cfg.ListenAddress.
func New(cfg Config) (*Endpoint, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.ListenAddress))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for hints on %s", cfg.ListenAddress)
	}
	return &Endpoint{cfg: cfg, conn: conn, subscribers: map[netip.AddrPort]time.Time{}, newestReports: map[string]loadreport.Datagram{}, publishNow: make(chan struct{}, 1)}, nil
}

// SetSubscriptions replaces the addresses of the nodes to subscribe to; new ones are sent a subscription at once.
func (e *Endpoint) SetSubscriptions(targets []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range targets {
		if !contains(e.subscriptions, t) {
			e.sendSubscription(t)
		}
	}
	e.subscriptions = targets
}

func contains(list []netip.AddrPort, a netip.AddrPort) bool {
	for _, b := range list {
		if a == b {
			return true
		}
	}
	return false
}

// Run receives datagrams, renews subscriptions and sends reports until ctx ends, and closes the socket.
func (e *Endpoint) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.readDatagrams(ctx) })
	renew, report := time.NewTicker(subscriptionInterval), time.NewTicker(reportInterval)
	defer renew.Stop()
	defer report.Stop()
	for ctx.Err() == nil {
		select {
		case <-renew.C:
			e.renewSubscriptions()
		case <-report.C:
			e.Publish()
		case <-e.publishNow:
			e.Publish()
		case <-ctx.Done():
		}
	}
	if err := e.conn.Close(); err != nil {
		e.cfg.Events.Emit(event.HintExchangeFailed, zap.Error(err))
	}
	wg.Wait()
}

func (e *Endpoint) renewSubscriptions() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.subscriptions {
		e.sendSubscription(t)
	}
}

// sendSubscription subscribes to the node at t; if the datagram is lost, the next renewal repeats it. The caller holds mu.
func (e *Endpoint) sendSubscription(t netip.AddrPort) {
	subscription := loadreport.Datagram{Node: e.cfg.Node, Incarnation: e.cfg.Incarnation}
	_, _ = e.conn.WriteToUDPAddrPort(subscription.Encode(), t)
}

// TriggerPublish makes Run publish a report immediately; it does not block.
func (e *Endpoint) TriggerPublish() {
	select {
	case e.publishNow <- struct{}{}:
	default: // a pending one will read the state that is current then
	}
}

// Publish sends the current load to every subscriber and drops expired ones. A lost report is replaced by the next one.
func (e *Endpoint) Publish() {
	report, ok := e.cfg.LocalReport()
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.subscribers) == 0 {
		return
	}
	datagram := e.encodeNext(report)
	now := time.Now()
	for subscriber, expiry := range e.subscribers {
		if now.After(expiry) {
			delete(e.subscribers, subscriber)
			continue
		}
		_, _ = e.conn.WriteToUDPAddrPort(datagram, subscriber)
	}
}

// encodeNext encodes a report with the next sequence number. The caller holds mu.
func (e *Endpoint) encodeNext(report loadreport.Datagram) []byte {
	e.sequence++
	report.Node, report.Incarnation, report.Sequence = e.cfg.Node, e.cfg.Incarnation, e.sequence
	return report.Encode()
}

func (e *Endpoint) readDatagrams(ctx context.Context) {
	buf := make([]byte, maxDatagramSize)
	for ctx.Err() == nil {
		n, from, err := e.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			e.cfg.Events.Emit(event.HintExchangeFailed, zap.Error(err))
			time.Sleep(readRetryDelay)
			continue
		}
		// Invalid datagrams are ignored like lost ones.
		if msg, err := loadreport.Decode(buf[:n]); err == nil {
			e.handleDatagram(from, msg)
		}
	}
}

// handleDatagram treats a datagram without a back end as a subscription and any other as a report.
func (e *Endpoint) handleDatagram(from netip.AddrPort, msg loadreport.Datagram) {
	if msg.Backend == "" {
		e.addSubscriber(from)
		return
	}
	if e.storeIfNewer(msg) {
		e.cfg.OnReport(msg)
	}
}

// addSubscriber adds a subscriber or renews its lease; a new one is sent a report at once. Beyond maxSubscribers new
// ones are ignored.
func (e *Endpoint) addSubscriber(from netip.AddrPort) {
	report, ok := e.cfg.LocalReport()
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.subscribers[from]
	if !known && len(e.subscribers) >= maxSubscribers {
		return
	}
	e.subscribers[from] = time.Now().Add(subscriptionLease)
	if ok && !known {
		_, _ = e.conn.WriteToUDPAddrPort(e.encodeNext(report), from)
	}
}

// storeIfNewer stores a report unless a newer one of its node was received already, and reports whether it did.
func (e *Endpoint) storeIfNewer(msg loadreport.Datagram) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, ok := e.newestReports[msg.Node]
	if ok && (msg.Incarnation < old.Incarnation || msg.Incarnation == old.Incarnation && msg.Sequence <= old.Sequence) {
		return false
	}
	e.newestReports[msg.Node] = msg
	return true
}
