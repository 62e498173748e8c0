package control

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/control/controlconnect"
	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/core/transport/tcp"
)

// Config says which control processes are asked and how.
type Config struct {
	Addresses []netip.AddrPort
	Bind      netip.Addr    // source address of connections; the zero value leaves it to the system
	Timeout   time.Duration // limit for one answer
	TLS       *mtls.Config  // nil: no TLS
}

// grace is how long other processes may take after the first answer: long enough for a healthy one in another
// region, so that a process that is cut off and has old state is not the only one asked.
const grace = 300 * time.Millisecond

// maxMessage bounds one answer; the directory of 2,900 nodes takes less than a megabyte.
const maxMessage = 64 << 20

// Answer is what one control process answered.
type Answer[T any] struct {
	Address netip.AddrPort
	Msg     T
	Err     error
}

// Clients asks several control processes at once.
type Clients struct {
	cfg     Config
	clients []controlconnect.ControlClient
}

// New returns Clients; nothing is sent yet.
func New(cfg Config) (*Clients, error) {
	var source *mtls.Credentials
	if cfg.TLS != nil {
		var err error
		if source, err = mtls.LoadCredentials(*cfg.TLS); err != nil {
			return nil, err
		}
	}
	c := &Clients{cfg: cfg}
	for _, address := range cfg.Addresses {
		c.clients = append(c.clients, newClient(cfg, address, source))
	}
	return c, nil
}

func newClient(cfg Config, address netip.AddrPort, source *mtls.Credentials) controlconnect.ControlClient {
	dialer := source.WrapDialer(tcp.Dialer{Bind: cfg.Bind})
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return controlconnect.NewControlClient(&http.Client{Transport: transport}, "http://"+address.String(), connect.WithReadMaxBytes(maxMessage))
}

// Status asks every control process and returns one answer for each, in the order of the addresses.
func (c *Clients) Status(ctx context.Context) []Answer[*control.StatusResponse] {
	return ask(ctx, c, c.cfg.Timeout, func(ctx context.Context, one controlconnect.ControlClient) (*control.StatusResponse, error) {
		resp, err := one.Status(ctx, connect.NewRequest(&control.StatusRequest{}))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	})
}

// Rules returns the newest rules that any control process has, or an error if none answers.
func (c *Clients) Rules(ctx context.Context) (Answer[*control.RulesResponse], error) {
	answers := ask(ctx, c, grace, func(ctx context.Context, one controlconnect.ControlClient) (*control.RulesResponse, error) {
		resp, err := one.Rules(ctx, connect.NewRequest(&control.RulesRequest{}))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	})
	best := -1
	var failed error
	for i, a := range answers {
		if a.Err != nil {
			failed = errors.Join(failed, a.Err)
			continue
		}
		if best < 0 || a.Msg.GetRules().GetRevision() > answers[best].Msg.GetRules().GetRevision() {
			best = i
		}
	}
	if best < 0 {
		return Answer[*control.RulesResponse]{}, failed
	}
	return answers[best], nil
}

// ask calls every control process at once and gives the others the time more after the first answer.
func ask[T any](ctx context.Context, c *Clients, more time.Duration, call func(context.Context, controlconnect.ControlClient) (T, error)) []Answer[T] {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	answers := make([]Answer[T], len(c.clients))
	ended := make(chan int, len(c.clients))
	for i, one := range c.clients {
		go func() {
			msg, err := call(ctx, one)
			address := c.cfg.Addresses[i]
			answers[i] = Answer[T]{Address: address, Msg: msg, Err: errors.Wrapf(err, "ask control process %s", address)}
			ended <- i
		}()
	}
	var late *time.Timer
	for range c.clients {
		if i := <-ended; answers[i].Err == nil && late == nil {
			late = time.AfterFunc(more, cancel)
			defer late.Stop()
		}
	}
	return answers
}
