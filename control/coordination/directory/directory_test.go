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

// pair is two directories that exchange by calls, unless cut.
type pair struct {
	mu   sync.Mutex
	dirs map[string]*directory.Directory
	seen map[string][]string
	cut  atomic.Bool
}

func newPair(ctx context.Context, wg *sync.WaitGroup) *pair {
	p := &pair{dirs: map[string]*directory.Directory{}, seen: map[string][]string{}}
	for name, other := range map[string]string{"c1": "c2", "c2": "c1"} {
		p.dirs[name] = directory.New(directory.Config{
			Name: name, Peers: []string{other}, Exchange: p.send, OnReady: func() {},
			OnChange: func(c membership.Change) { p.note(name, c) },
		})
	}
	for _, d := range p.dirs {
		wg.Go(func() { _ = d.Run(ctx) })
	}
	return p
}

func (p *pair) send(ctx context.Context, to string, req *control.ExchangeRequest) (*control.ExchangeResponse, error) {
	if p.cut.Load() {
		<-ctx.Done() // a silent partition
		return nil, ctx.Err()
	}
	return p.dirs[to].Exchange(ctx, req)
}

func (p *pair) note(name string, c membership.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range c.Updated {
		p.seen[name] = append(p.seen[name], "+"+m.GetNode())
	}
	for _, n := range c.Removed {
		p.seen[name] = append(p.seen[name], "-"+n)
	}
}

// Guards against a member that flaps or is lost while a silent partition between control processes comes and goes.
func TestPartitionAndMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		p := newPair(ctx, &wg)
		sequence := uint64(0)
		pass := func(seconds int) {
			for range seconds {
				sequence++
				m := &control.Member{Node: "n", Incarnation: 1, Sequence: sequence}
				if err := p.dirs["c1"].Announce(ctx, m); err != nil {
					t.Error(err)
				}
				<-time.After(time.Second)
			}
		}
		pass(5)
		p.cut.Store(true)
		pass(10)
		p.cut.Store(false)
		pass(5)
		cancel()
		wg.Wait()
		if got := p.seen["c1"]; !slices.Equal(got, []string{"+n"}) {
			t.Errorf("c1 saw %v", got)
		}
		if got := p.seen["c2"]; !slices.Equal(got, []string{"+n", "-n", "+n"}) {
			t.Errorf("c2 saw %v, want the lease to end once in the partition", got)
		}
	})
}

// Guards against calls that hang after the directory has stopped.
func TestStopped(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	p := newPair(ctx, &wg)
	cancel()
	wg.Wait()
	if _, err := p.dirs["c1"].Members(t.Context()); !errors.Is(err, directory.ErrStopped) {
		t.Errorf("error %v", err)
	}
}
