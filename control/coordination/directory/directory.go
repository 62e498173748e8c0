package directory

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/membership"
	"pollenhill.example/core/protocol/control"
)

// queue bounds the announcements that wait; one control process gets at most 2,900 a second.
const queue = 1024

// Directory is the directory of one control process; it is safe for concurrent use.
type Directory struct {
	cfg   Config
	inbox chan func(*membership.Model)
	done  chan struct{}
	ctx   context.Context // of Run, for the exchanges it starts
	wg    sync.WaitGroup
}

// Config connects the directory to its peers and watchers.
type Config struct {
	Name     string
	Peers    []string // names of the other control processes
	Exchange func(ctx context.Context, peer string, req *control.ExchangeRequest) (*control.ExchangeResponse, error)
	OnChange func(membership.Change)
	OnReady  func()
}

// ErrStopped reports that the directory does not run any more.
var ErrStopped = errors.New("directory stopped")

// New returns a Directory; calls wait until Run starts.
func New(cfg Config) *Directory {
	return &Directory{cfg: cfg, inbox: make(chan func(*membership.Model), queue), done: make(chan struct{})}
}

// Run owns the model until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	defer d.wg.Wait()
	defer close(d.done)
	d.ctx = ctx
	m := membership.New(membership.Config{Name: d.cfg.Name, Peers: d.cfg.Peers})
	ticker := time.NewTicker(membership.ExchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-d.inbox:
			f(m)
		case <-ticker.C:
			d.update(m, membership.Tick{})
		}
	}
}

// Announce merges the announcement of a node.
func (d *Directory) Announce(ctx context.Context, m *control.Member) error {
	return d.post(ctx, func(model *membership.Model) { d.update(model, membership.Announce{Member: m}) })
}

// Exchange merges the deltas of another control process.
func (d *Directory) Exchange(ctx context.Context, req *control.ExchangeRequest) (*control.ExchangeResponse, error) {
	return ask(ctx, d, func(model *membership.Model) *control.ExchangeResponse {
		return d.update(model, membership.Exchange{Request: req})
	})
}

// SetPeers replaces the other control processes.
func (d *Directory) SetPeers(ctx context.Context, names []string) error {
	return d.post(ctx, func(model *membership.Model) { d.update(model, membership.Peers{Names: names}) })
}

// Members returns the live members by node name.
func (d *Directory) Members(ctx context.Context) ([]*control.Member, error) {
	return ask(ctx, d, (*membership.Model).Members)
}

// update passes a message to the model, carries out its effects and returns the answer to an exchange.
func (d *Directory) update(m *membership.Model, msg membership.Msg) *control.ExchangeResponse {
	var answer *control.ExchangeResponse
	for _, cmd := range m.Update(time.Now(), msg) {
		switch cmd := cmd.(type) {
		case membership.Change:
			d.cfg.OnChange(cmd)
		case membership.Ready:
			d.cfg.OnReady()
		case membership.Send:
			d.wg.Go(func() { d.send(cmd) })
		case membership.Respond:
			answer = cmd.Response
		}
	}
	return answer
}

// send carries out one exchange; the model allows one at a time per peer.
func (d *Directory) send(cmd membership.Send) {
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	resp, err := d.cfg.Exchange(ctx, cmd.Peer, cmd.Request)
	if err != nil {
		resp = nil
	}
	// An error here means that the directory has stopped.
	_ = d.post(d.ctx, func(m *membership.Model) { d.update(m, membership.SendResult{Peer: cmd.Peer, Response: resp}) })
}

func (d *Directory) post(ctx context.Context, f func(*membership.Model)) error {
	select {
	case d.inbox <- f:
		return nil
	case <-d.done:
		return ErrStopped
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "directory busy")
	}
}

// ask runs f on the model and waits for its result.
func ask[T any](ctx context.Context, d *Directory, f func(*membership.Model) T) (T, error) {
	var none T
	result := make(chan T, 1)
	if err := d.post(ctx, func(m *membership.Model) { result <- f(m) }); err != nil {
		return none, err
	}
	select {
	case r := <-result:
		return r, nil
	case <-d.done:
		return none, ErrStopped
	case <-ctx.Done():
		return none, errors.Wrap(ctx.Err(), "directory busy")
	}
}
