package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/coordination/pause"
	"pollenhill.example/lab/coordination/arrival"
	"pollenhill.example/lab/state/layout"
	"pollenhill.example/lab/state/outcomes"
	"pollenhill.example/lab/state/requeststats"
	"pollenhill.example/lab/transport/node"
)

const (
	lookupRate   = 400.0 // a second
	reserveRate  = 60.0
	keyedRate    = 20.0
	downloadRate = 4.0
	downloadSize = 4 << 20 // bytes
	most         = 1024    // requests at once, per kind
	timeout      = 10 * time.Second
	phaseTime    = 7 * time.Second
	startTime    = 3 * time.Second // all back ends are cold at first, so refusals are no fault
	starting     = "start"
	readyTime    = 15 * time.Second // longest wait for the first whole answer of every service
	outLimit     = 3 * time.Second  // a zone that is out gets no new work after this time
)

// run is the state of one demonstration.
type run struct {
	cfg     Config
	fleet   layout.Fleet
	callers []*node.Caller
	table   *requeststats.Table
	notes   *outcomes.Log
	mu      sync.Mutex
	phase   string
	began   time.Time
	dead    int // index of the caller whose node was killed, negative for none

	failures   []string // requests without a whole answer
	clean      []string // incomplete or wrong answers that ended like a complete one
	turnedCold string   // back end that turned cold without warning, which its node can only notice from its answers
}

// Config says where the demonstration runs, what it does and where it prints.
type Config struct {
	Dir          string
	InjectFaults bool // faults of processes and back ends instead of a zone move
	Output       io.Writer
}

// Run sends load through the prepared processes while a zone leaves and returns, or while faults are injected, and returns
// an error if an invariant broke.
func Run(ctx context.Context, cfg Config) error {
	r := &run{cfg: cfg, fleet: cfg.fleet(), table: requeststats.New(), notes: outcomes.New(), dead: -1}
	for _, v := range r.fleet.VMs() {
		r.callers = append(r.callers, node.New(node.Config{
			NodeAddress: v.CallerAddress(), SourceIP: netip.MustParseAddr(callerAddress), Timeout: timeout, Host: bookingHost,
		}))
	}
	if err := r.ready(ctx); err != nil {
		return err
	}
	if err := r.load(ctx); err != nil {
		return err
	}
	if err := r.table.Write(cfg.Output); err != nil {
		return errors.Wrap(err, "print the table")
	}
	for _, failure := range r.failures[:min(len(r.failures), shown)] {
		fmt.Fprintln(cfg.Output, failure)
	}
	return r.verify()
}

// ready waits until every node answers for every service.
func (r *run) ready(ctx context.Context) error {
	end := time.Now().Add(readyTime)
	for _, c := range r.callers {
		for {
			a, b := c.Lookup("ready"), c.Download(1)
			if a.Complete && b.Complete {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return errors.Newf("not ready in %s: lookup status %d error %v, download status %d error %v", readyTime, a.Status, a.Err, b.Status, b.Err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (r *run) load(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r.began = time.Now()
	r.enter(starting)
	var wg sync.WaitGroup
	r.start(ctx, &wg)
	pause.For(ctx, startTime)
	script := r.moveZone
	if r.cfg.InjectFaults {
		script = r.injectFaults
	}
	err := script(ctx)
	stop()
	wg.Wait()
	return err
}

// moveZone takes a zone out and back while the load runs.
func (r *run) moveZone(ctx context.Context) error {
	r.enter("steady")
	pause.For(ctx, phaseTime)
	r.enter("zone out")
	if err := r.fleet.ReplaceRuleFile(editor, 2, "kari: rewiring tonight", serviceRules+zoneOut); err != nil {
		return err
	}
	pause.For(ctx, outLimit)
	before := r.startedIn(movedZone)
	pause.For(ctx, phaseTime-outLimit)
	if now := r.startedIn(movedZone); len(now) == 0 || !maps.Equal(before, now) {
		return errors.Newf("zone %s got new work %s after it was taken out: %v, then %v", movedZone, outLimit, before, now)
	}
	r.enter("zone back")
	if err := r.fleet.ReplaceRuleFile(editor, 3, "kari: rewired", serviceRules); err != nil {
		return err
	}
	pause.For(ctx, phaseTime)
	return ctx.Err()
}

func (r *run) start(ctx context.Context, wg *sync.WaitGroup) {
	loads := []struct {
		rate float64
		do   func(n int)
	}{
		{lookupRate, r.lookup},
		{reserveRate, r.reserve},
		{keyedRate, r.keyed},
		{downloadRate, r.download},
	}
	for seed, l := range loads {
		p := arrival.New(arrival.Config{Rate: l.rate, MaxInFlight: most, Rand: rand.New(rand.NewPCG(1, uint64(seed)))})
		wg.Go(func() {
			if dropped := p.Run(ctx, l.do); dropped > 0 {
				fmt.Fprintf(r.cfg.Output, "%d requests were not sent: %d at once\n", dropped, most)
			}
		})
	}
}

func (r *run) enter(phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phase
}

func (r *run) add(kind requeststats.Kind, phase string, res node.Result) {
	r.table.Add(requeststats.Row{Phase: phase, Kind: kind}, res.Complete, res.Outcome, res.Latency)
	if !res.Complete {
		r.mu.Lock()
		defer r.mu.Unlock()
		if res.Status == http.StatusOK && res.Err == nil {
			r.clean = append(r.clean, fmt.Sprintf("%s, %s: an incomplete or wrong answer ended like a complete one", phase, kind))
		}
		r.failures = append(r.failures, fmt.Sprintf("%s, %s: status %d, %s, after %s, error %v", phase, kind, res.Status, res.ProxyStatus, res.Latency, res.Err))
	}
}

func (r *run) now() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase
}

// any returns the caller of a living node.
func (r *run) any(n int) *node.Caller {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n%len(r.callers) == r.dead {
		n++
	}
	return r.callers[n%len(r.callers)]
}
