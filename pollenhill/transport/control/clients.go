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

// Config says which control processes are queried and how.
type Config struct {
	Addresses []netip.AddrPort
	Bind      netip.Addr    // source address of connections; the operating system chooses it if zero
	Timeout   time.Duration // of one query of all control processes
	TLS       *mtls.Config  // nil for plain TCP
}

// remainingAnswersWait is how long Rules waits for the other control processes after the first answer. It is long enough
// for a healthy process in another region; without the wait, the first answer could come from a process that is cut off
// and has old rules.
const remainingAnswersWait = 300 * time.Millisecond

// maxResponseBytes limits a response; the list of 2,900 nodes takes less than a megabyte, the remembered changes a few.
const maxResponseBytes = 64 << 20

// Answer is the response of one control process, or the error of the query.
type Answer[T any] struct {
	Address netip.AddrPort
	Msg     T
	Err     error
}

// Clients queries several control processes at the same time.
type Clients struct {
	cfg     Config
	clients []controlconnect.ControlClient
}

// New returns Clients without opening a connection, or an error if the TLS files cannot be used.
func New(cfg Config) (*Clients, error) {
	var credentials *mtls.Credentials
	if cfg.TLS != nil {
		var err error
		if credentials, err = mtls.LoadCredentials(*cfg.TLS); err != nil {
			return nil, err
		}
	}
	c := &Clients{cfg: cfg}
	for _, address := range cfg.Addresses {
		c.clients = append(c.clients, newClient(cfg, address, credentials))
	}
	return c, nil
}

func newClient(cfg Config, address netip.AddrPort, credentials *mtls.Credentials) controlconnect.ControlClient {
	dialer := credentials.WrapDialer(tcp.Dialer{Bind: cfg.Bind})
	// HTTP/1.1 would take an answer that is cut at the end of its connection as whole, and ignore malformed header lines.
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		Protocols:              protocols,
		MaxResponseHeaderBytes: control.MaxResponseHeaderBytes,
	}
	return controlconnect.NewControlClient(&http.Client{Transport: transport}, "http://"+address.String(), connect.WithReadMaxBytes(maxResponseBytes))
}

// Status queries every control process and returns one answer for each, in the order of Config.Addresses.
func (c *Clients) Status(ctx context.Context) []Answer[*control.StatusResponse] {
	return queryAll(ctx, c, c.cfg.Timeout, func(ctx context.Context, client controlconnect.ControlClient) (*control.StatusResponse, error) {
		resp, err := client.Status(ctx, connect.NewRequest(&control.StatusRequest{}))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	})
}

// Rules returns the answer with the highest revision of the rules, or the errors of all control processes if none answers.
func (c *Clients) Rules(ctx context.Context) (Answer[*control.RulesResponse], error) {
	answers := queryAll(ctx, c, remainingAnswersWait, func(ctx context.Context, client controlconnect.ControlClient) (*control.RulesResponse, error) {
		resp, err := client.Rules(ctx, connect.NewRequest(&control.RulesRequest{}))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	})
	newest := -1
	var failures error
	for i, a := range answers {
		if a.Err != nil {
			failures = errors.Join(failures, a.Err)
			continue
		}
		if newest < 0 || a.Msg.GetRules().GetRevision() > answers[newest].Msg.GetRules().GetRevision() {
			newest = i
		}
	}
	if newest < 0 {
		return Answer[*control.RulesResponse]{}, failures
	}
	return answers[newest], nil
}

// queryAll calls every control process at the same time. It returns when all have answered or failed, when
// waitAfterFirst has passed since the first answer without an error, or at Config.Timeout.
func queryAll[T any](
	ctx context.Context, c *Clients, waitAfterFirst time.Duration, call func(context.Context, controlconnect.ControlClient) (T, error),
) []Answer[T] {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	answers := make([]Answer[T], len(c.clients))
	finished := make(chan int, len(c.clients))
	for i, client := range c.clients {
		go func() {
			msg, err := call(ctx, client)
			address := c.cfg.Addresses[i]
			answers[i] = Answer[T]{Address: address, Msg: msg, Err: errors.Wrapf(err, "ask control process %s", address)}
			finished <- i
		}()
	}
	var timer *time.Timer
	for range c.clients {
		if i := <-finished; answers[i].Err == nil && timer == nil {
			timer = time.AfterFunc(waitAfterFirst, cancel)
			defer timer.Stop()
		}
	}
	return answers
}
