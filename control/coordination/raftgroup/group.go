package raftgroup

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/core/coordination/consensus"
	"pollenhill.example/core/state/replica"
)

const (
	inboxSize = 1024 // messages waiting; further ones are dropped, and the sender repeats them
	queueSize = 1024 // proposals and reads waiting; further callers wait
	maxBatch  = 512  // inputs per sync of the log
)

// ticksPerBeat is how often the clock is looked at between two heartbeats.
const ticksPerBeat = 5

// Group is one member of the control group, safe for concurrent use.
type Group struct {
	cfg     Config
	engine  *consensus.Engine // used by the goroutine of run only, except for its replica under mu
	mu      sync.RWMutex      // guards the replica
	view    atomic.Pointer[published]
	changed atomic.Pointer[chan struct{}]
	moved   atomic.Pointer[chan struct{}] // closed when the leader changes
	inbox   chan []byte
	queue   chan *request
	quit    chan struct{}
	stopped chan struct{}
	close   sync.Once
	failed  error // set before stopped is closed
}

// published is the View at a time; it goes stale when the goroutine hangs in the disk.
type published struct {
	view View
	at   time.Time
}

// Open reads the data folder and starts the member.
func Open(cfg Config) (*Group, error) {
	g := &Group{
		cfg: cfg.withDefaults(), inbox: make(chan []byte, inboxSize), queue: make(chan *request, queueSize),
		quit: make(chan struct{}), stopped: make(chan struct{}),
	}
	g.changed.Store(lo.ToPtr(make(chan struct{})))
	g.moved.Store(lo.ToPtr(make(chan struct{})))
	now := g.cfg.Now()
	e, err := consensus.Open(g.engineConfig(), now)
	if err != nil {
		return nil, errors.Wrap(err, "open control group")
	}
	g.engine = e
	e.Step(now, consensus.Tick{}) // a single member leads from here on
	g.publish()
	go g.run()
	return g, nil
}

// ProposeForwarded answers a command that another member forwarded; it never forwards again.
func (g *Group) ProposeForwarded(ctx context.Context, command []byte) ([]byte, error) {
	cmd, err := replica.DecodeCommand(command)
	if err != nil {
		return nil, err
	}
	res, err := g.ask(ctx, consensus.Propose{Command: cmd})
	if err != nil {
		return nil, err
	}
	return res.Encode(), nil
}

// Barrier returns once this member has applied every command that was committed before the call; it repeats the
// question to the leader until the context ends.
func (g *Group) Barrier(ctx context.Context) error {
	for {
		try, cancel := context.WithTimeout(ctx, g.cfg.ElectionTimeout)
		go cancelOn(try, cancel, *g.moved.Load())
		_, err := g.ask(try, consensus.Read{})
		cancel()
		if err == nil || ctx.Err() != nil || errors.Is(err, ErrClosed) || g.Err() != nil {
			return err
		}
		if err := g.pause(ctx); err != nil {
			return err
		}
	}
}

// Receive takes messages that another member passed to Send.
func (g *Group) Receive(messages [][]byte) {
	for _, raw := range messages {
		select {
		case g.inbox <- raw:
		default:
			return
		}
	}
}

// View returns the consensus state.
func (g *Group) View() View {
	p := g.view.Load()
	view := p.view
	if g.Err() != nil || g.cfg.Now().Sub(p.at) >= g.cfg.ElectionTimeout {
		view.Current = false
	}
	return view
}

// ReadReplica calls f with the replica; f must not change or keep it.
func (g *Group) ReadReplica(f func(*replica.Replica)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	f(g.engine.Replica())
}

// EntryApplied returns a channel that is closed when the next entry is applied.
func (g *Group) EntryApplied() <-chan struct{} { return *g.changed.Load() }

// Done returns a channel that is closed when the member has stopped; Failed tells why.
func (g *Group) Done() <-chan struct{} { return g.stopped }

// Err returns the error that stopped the member, or nil; a stopped member serves nothing more.
func (g *Group) Err() error {
	select {
	case <-g.stopped:
		return g.failed
	default:
		return nil
	}
}

// Close stops the member.
func (g *Group) Close() error {
	g.close.Do(func() { close(g.quit) })
	<-g.stopped
	if errors.Is(g.failed, ErrClosed) {
		return nil
	}
	return g.failed
}
