package directory_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/control/coordination/directory"
	"pollenhill.example/core/coordination/membership"
	"pollenhill.example/core/protocol/control"
)

// pair is two directories that exchange deltas by direct calls unless they are partitioned.
type pair struct {
	mu          sync.Mutex
	directories map[string]*directory.Directory
	changes     map[string][]string
	partitioned atomic.Bool
}

func newPair(ctx context.Context, wg *sync.WaitGroup) *pair {
	p := &pair{directories: map[string]*directory.Directory{}, changes: map[string][]string{}}
	for name, other := range map[string]string{"c1": "c2", "c2": "c1"} {
		p.directories[name] = directory.New(directory.Config{
			Name: name, Peers: []string{other}, Exchange: p.exchange, OnReady: func() {},
			OnChange: func(c membership.Change) { p.recordChange(name, c) },
		})
	}
	for _, d := range p.directories {
		wg.Go(func() { _ = d.Run(ctx) })
	}
	return p
}

func (p *pair) exchange(ctx context.Context, to string, req *control.ExchangeRequest) (*control.ExchangeResponse, error) {
	if p.partitioned.Load() {
		<-ctx.Done() // as in a silent partition
		return nil, ctx.Err()
	}
	return p.directories[to].Exchange(ctx, req)
}

func (p *pair) recordChange(name string, c membership.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range c.Updated {
		p.changes[name] = append(p.changes[name], "+"+m.GetNode())
	}
	for _, n := range c.Removed {
		p.changes[name] = append(p.changes[name], "-"+n)
	}
}

// Guards against a member that flaps at the process it announces to, or that stays lost at the other one, when a silent
// partition between the control processes begins and ends.
func TestPartitionAndMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		p := newPair(ctx, &wg)
		sequence := uint64(0)
		announceFor := func(seconds int) {
			for range seconds {
				sequence++
				m := &control.Member{Node: "n", Incarnation: 1, Sequence: sequence}
				if err := p.directories["c1"].Announce(ctx, m); err != nil {
					t.Error(err)
				}
				<-time.After(time.Second)
			}
		}
		announceFor(5)
		p.partitioned.Store(true)
		announceFor(10)
		p.partitioned.Store(false)
		announceFor(5)
		cancel()
		wg.Wait()
		if got := p.changes["c1"]; !slices.Equal(got, []string{"+n"}) {
			t.Errorf("c1 saw %v", got)
		}
		if got := p.changes["c2"]; !slices.Equal(got, []string{"+n", "-n", "+n"}) {
			t.Errorf("c2 saw %v, want one lease expiry during the partition", got)
		}
	})
}

// Guards against calls that block after Run has returned.
func TestCallsFailAfterStop(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	p := newPair(ctx, &wg)
	cancel()
	wg.Wait()
	if _, err := p.directories["c1"].Members(t.Context()); !errors.Is(err, directory.ErrStopped) {
		t.Errorf("error %v", err)
	}
}
