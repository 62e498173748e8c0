package node

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	announceInterval = time.Second // a third of the node's lease of 3 s, so that one lost announcement does not end it
	announceTimeout  = 2 * time.Second
)

// Announcement is the body of POST /announce.
type Announcement struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Zone        string `json:"zone"`
	State       string `json:"state"` // cold, ready, draining or leaving
}

// Announcer renews the lease of one back end at its local node.
type Announcer struct {
	cfg    Config
	client *fasthttp.HostClient
}

// Config says what to announce and to which node.
type Config struct {
	NodeAddress  netip.AddrPort      // local listener of the node
	Bind         netip.Addr          // source address of the announcements
	Announcement func() Announcement // called for every announcement
	OnError      func(error)         // called when an announcement fails; may be nil
}

// New returns an Announcer; it sends nothing before Run or Announce is called.
func New(cfg Config) *Announcer {
	dialer := &net.Dialer{Timeout: announceTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(cfg.Bind, 0))}
	return &Announcer{cfg: cfg, client: &fasthttp.HostClient{
		Addr: cfg.NodeAddress.String(),
		Dial: func(addr string) (net.Conn, error) { return dialer.Dial("tcp", addr) },
	}}
}

// Run announces at once, at every announceInterval, and whenever it receives from changed, until ctx is done.
func (a *Announcer) Run(ctx context.Context, changed <-chan struct{}) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if err := a.Announce(); err != nil && a.cfg.OnError != nil {
			a.cfg.OnError(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

// Announce sends one announcement. It returns an error that names the node if there is no response within announceTimeout
// or its status is 300 or higher.
func (a *Announcer) Announce() error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, err := json.Marshal(a.cfg.Announcement())
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + a.cfg.NodeAddress.String() + "/announce")
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	if err := a.client.DoTimeout(req, resp, announceTimeout); err != nil {
		return errors.Wrapf(err, "announce to node %s", a.cfg.NodeAddress)
	}
	if code := resp.StatusCode(); code >= fasthttp.StatusMultipleChoices {
		return errors.Newf("announce to node %s: status %d: %s", a.cfg.NodeAddress, code, resp.Body())
	}
	return nil
}
