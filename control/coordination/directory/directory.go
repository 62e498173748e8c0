package directory

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/membership"
	"pollenhill.example/core/protocol/control"
)

const (
	inboxSize       = 1024        // queued calls; one control process gets at most 2,900 announcements a second
	exchangeTimeout = time.Second // of one exchange with another control process
)

// Directory holds the members that one control process knows; it is safe for concurrent use.
type Directory struct {
	cfg   Config
	inbox chan func(*membership.Model)
	done  chan struct{}   // closed when Run returns
	ctx   context.Context // passed to Run; ends the exchanges that it starts
	wg    sync.WaitGroup
}

// Config connects the directory to its peers and watchers.
type Config struct {
	Name  string   // of this control process
	Peers []string // names of the other control processes
	// Exchange sends deltas to a peer and returns its response.
	Exchange func(ctx context.Context, peer string, req *control.ExchangeRequest) (*control.ExchangeResponse, error)
	OnChange func(membership.Change) // called when members were added, changed or removed
	OnReady  func()                  // called when the directory holds every member that it can know of
}

// ErrStopped reports that Run has returned.
var ErrStopped = errors.New("directory stopped")

// New returns a Directory; calls wait until Run processes them.
func New(cfg Config) *Directory {
	return &Directory{cfg: cfg, inbox: make(chan func(*membership.Model), inboxSize), done: make(chan struct{})}
}

// Run processes calls, exchanges and lease expiry until ctx ends, and returns the error of ctx.
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

// Announce merges the announcement of a node; it returns ErrStopped, or the error of ctx while the directory is busy.
func (d *Directory) Announce(ctx context.Context, m *control.Member) error {
	return d.enqueue(ctx, func(model *membership.Model) { d.update(model, membership.Announce{Member: m}) })
}

// Exchange merges the deltas of another control process and returns the response to it.
func (d *Directory) Exchange(ctx context.Context, req *control.ExchangeRequest) (*control.ExchangeResponse, error) {
	return query(ctx, d, func(model *membership.Model) *control.ExchangeResponse {
		return d.update(model, membership.Exchange{Request: req})
	})
}

// SetPeers replaces the names of the other control processes.
func (d *Directory) SetPeers(ctx context.Context, names []string) error {
	return d.enqueue(ctx, func(model *membership.Model) { d.update(model, membership.Peers{Names: names}) })
}

// Members returns the live members, sorted by node name.
func (d *Directory) Members(ctx context.Context) ([]*control.Member, error) {
	return query(ctx, d, (*membership.Model).Members)
}

// update passes a message to the model and carries out the resulting commands; the result is non-nil for an Exchange.
func (d *Directory) update(m *membership.Model, msg membership.Msg) *control.ExchangeResponse {
	var response *control.ExchangeResponse
	for _, cmd := range m.Update(time.Now(), msg) {
		switch cmd := cmd.(type) {
		case membership.Change:
			d.cfg.OnChange(cmd)
		case membership.Ready:
			d.cfg.OnReady()
		case membership.Send:
			d.wg.Go(func() { d.sendExchange(cmd) })
		case membership.Respond:
			response = cmd.Response
		}
	}
	return response
}

// sendExchange runs one exchange with a peer and reports its result to the model, which allows one at a time per peer.
func (d *Directory) sendExchange(cmd membership.Send) {
	ctx, cancel := context.WithTimeout(d.ctx, exchangeTimeout)
	defer cancel()
	resp, err := d.cfg.Exchange(ctx, cmd.Peer, cmd.Request)
	if err != nil {
		resp = nil
	}
	// The only possible error is that the directory has stopped.
	_ = d.enqueue(d.ctx, func(m *membership.Model) { d.update(m, membership.SendResult{Peer: cmd.Peer, Response: resp}) })
}

// enqueue passes f to the goroutine of Run without waiting for its execution.
func (d *Directory) enqueue(ctx context.Context, f func(*membership.Model)) error {
	select {
	case d.inbox <- f:
		return nil
	case <-d.done:
		return ErrStopped
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "directory busy")
	}
}

// query runs f in the goroutine of Run and returns its result.
func query[T any](ctx context.Context, d *Directory, f func(*membership.Model) T) (T, error) {
	var zero T
	result := make(chan T, 1)
	if err := d.enqueue(ctx, func(m *membership.Model) { result <- f(m) }); err != nil {
		return zero, err
	}
	select {
	case r := <-result:
		return r, nil
	case <-d.done:
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, errors.Wrap(ctx.Err(), "directory busy")
	}
}
