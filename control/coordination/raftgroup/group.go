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
	queueSize = 1024 // queued proposals and reads; further callers wait
	maxBatch  = 512  // inputs per sync of the log

	ticksPerHeartbeat = 5 // ticks of the engine per heartbeat interval
)

// Group is one member of the control group, safe for concurrent use.
type Group struct {
	cfg           Config
	engine        *consensus.Engine // used only by the goroutine of run, except for its replica
	mu            sync.RWMutex      // guards the replica of the engine
	lastView      atomic.Pointer[timedView]
	entryApplied  atomic.Pointer[chan struct{}] // closed and replaced when an entry is applied
	leaderChanged atomic.Pointer[chan struct{}] // closed and replaced when the leader changes
	inbox         *inbox                        // messages of other members
	queue         chan *request
	quit          chan struct{} // closed by Close
	stopped       chan struct{} // closed when run returns
	closeOnce     sync.Once
	err           error // set before stopped is closed
}

// timedView is a View with its time; it becomes stale while the goroutine of run is blocked by the disk.
type timedView struct {
	view    View
	takenAt time.Time
}

// Open reads the data folder and starts the member; an error means that the folder cannot be read or written, or does
// not fit the configuration.
func Open(cfg Config) (*Group, error) {
	g := &Group{
		cfg: cfg.withDefaults(), inbox: newInbox(), queue: make(chan *request, queueSize),
		quit: make(chan struct{}), stopped: make(chan struct{}),
	}
	g.entryApplied.Store(lo.ToPtr(make(chan struct{})))
	g.leaderChanged.Store(lo.ToPtr(make(chan struct{})))
	now := g.cfg.Now()
	e, err := consensus.Open(g.engineConfig(), now)
	if err != nil {
		return nil, errors.Wrap(err, "open control group")
	}
	g.engine = e
	e.Step(now, consensus.Tick{}) // makes a single member the leader
	g.publishView()
	go g.run()
	return g, nil
}

// ProposeForwarded commits an encoded command that another member forwarded and returns the encoded result; it returns
// NotLeaderError instead of forwarding the command again.
func (g *Group) ProposeForwarded(ctx context.Context, command []byte) ([]byte, error) {
	cmd, err := replica.DecodeCommand(command)
	if err != nil {
		return nil, err
	}
	res, err := g.submit(ctx, consensus.Propose{Command: cmd})
	if err != nil {
		return nil, err
	}
	return res.Encode(), nil
}

// Barrier returns once this member has applied every command that was committed before the call; it repeats its
// read-index request to the leader until the context ends.
func (g *Group) Barrier(ctx context.Context) error {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, g.cfg.ElectionTimeout)
		go cancelWhenClosed(tryCtx, cancel, *g.leaderChanged.Load())
		_, err := g.submit(tryCtx, consensus.Read{})
		cancel()
		if err == nil || ctx.Err() != nil || errors.Is(err, ErrClosed) || g.Err() != nil {
			return err
		}
		if err := g.waitTick(ctx); err != nil {
			return err
		}
	}
}

// Receive queues messages that another member passed to Send; it drops what does not fit into the queue.
func (g *Group) Receive(messages [][]byte) {
	for _, raw := range messages {
		if !g.inbox.put(raw) {
			return
		}
	}
}

// View returns the latest consensus state; it is not current once it is older than an election timeout.
func (g *Group) View() View {
	p := g.lastView.Load()
	view := p.view
	if g.Err() != nil || g.cfg.Now().Sub(p.takenAt) >= g.cfg.ElectionTimeout {
		view.Current = false
	}
	return view
}

// ReadReplica calls f with the local replica, which may lag behind the leader; f must not change or keep it.
func (g *Group) ReadReplica(f func(*replica.Replica)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	f(g.engine.Replica())
}

// EntryApplied returns a channel that is closed when the next entry is applied.
func (g *Group) EntryApplied() <-chan struct{} { return *g.entryApplied.Load() }

// Done returns a channel that is closed when the member has stopped; Err returns the reason.
func (g *Group) Done() <-chan struct{} { return g.stopped }

// Err returns the error that stopped the member, ErrClosed after Close, or nil while the member runs.
func (g *Group) Err() error {
	select {
	case <-g.stopped:
		return g.err
	default:
		return nil
	}
}

// Close stops the member, waits until it has stopped, and returns the error that had stopped it before, if any.
func (g *Group) Close() error {
	g.closeOnce.Do(func() { close(g.quit) })
	<-g.stopped
	if errors.Is(g.err, ErrClosed) {
		return nil
	}
	return g.err
}
