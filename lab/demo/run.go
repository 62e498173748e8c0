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
	lookupRate      = 400.0   // requests per second
	reserveRate     = 60.0    // requests per second
	keyedRate       = 20.0    // pairs of requests per second
	downloadRate    = 4.0     // requests per second
	downloadSize    = 4 << 20 // bytes
	maxInFlight     = 1024    // requests of one kind, or pairs of keyed reservations
	responseTimeout = 10 * time.Second
	phaseDuration   = 7 * time.Second
	startupDuration = 3 * time.Second // refusals in this time are expected, since all back ends begin in cold start
	startupPhase    = "start"
	readyTimeout    = 15 * time.Second // for the first complete responses of every service at every node
	zoneOutLimit    = 3 * time.Second  // after which a zone that was taken out must get no new work
)

// demonstration is the state of one run.
type demonstration struct {
	cfg          Config
	fleet        layout.Fleet
	callers      []*node.Caller
	table        *requeststats.Table
	outcomes     *outcomes.Log
	mu           sync.Mutex
	phase        string
	start        time.Time
	killedCaller int // index in callers of the one whose node was killed, negative for none

	failures          []string // requests without a complete response
	falseSuccesses    []string // incomplete or wrong responses that callers could not tell from complete ones
	silentColdBackend string   // back end that began a cold start unannounced, which its node can only notice from its responses
}

// Config sets the folder, the scenario and the output of a demonstration.
type Config struct {
	Dir          string // of settings and rule files
	InjectFaults bool   // inject faults of processes and back ends instead of moving a zone
	Output       io.Writer
}

// Run sends load through the prepared processes while a zone is taken out of service and back, or while faults are
// injected, and returns an error if an invariant was violated.
func Run(ctx context.Context, cfg Config) error {
	d := &demonstration{cfg: cfg, fleet: cfg.fleet(), table: requeststats.New(), outcomes: outcomes.New(), killedCaller: -1}
	for _, v := range d.fleet.VMs() {
		d.callers = append(d.callers, node.New(node.Config{
			NodeAddress: v.CallerAddress(), SourceIP: netip.MustParseAddr(callerAddress), Timeout: responseTimeout, Host: bookingHost,
		}))
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	if err := d.runUnderLoad(ctx); err != nil {
		return err
	}
	if err := d.table.Write(cfg.Output); err != nil {
		return errors.Wrap(err, "print the table")
	}
	for _, failure := range d.failures[:min(len(d.failures), maxPrinted)] {
		fmt.Fprintln(cfg.Output, failure)
	}
	return d.checkInvariants()
}

// waitReady waits until every node gives a complete response for every service.
func (d *demonstration) waitReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for _, c := range d.callers {
		for {
			lookup, download := c.Lookup("ready"), c.Download(1)
			if lookup.Complete && download.Complete {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return errors.Newf("nodes not ready after %s: lookup status %d, error %v; download status %d, error %v",
					readyTimeout, lookup.Status, lookup.Err, download.Status, download.Err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// runUnderLoad runs the scenario while the load runs, and waits for all requests.
func (d *demonstration) runUnderLoad(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d.start = time.Now()
	d.setPhase(startupPhase)
	var wg sync.WaitGroup
	d.startLoad(ctx, &wg)
	pause.For(ctx, startupDuration)
	scenario := d.moveZone
	if d.cfg.InjectFaults {
		scenario = d.injectFaults
	}
	err := scenario(ctx)
	stop()
	wg.Wait()
	return err
}

// moveZone takes a zone out of service and back.
func (d *demonstration) moveZone(ctx context.Context) error {
	d.setPhase("steady")
	pause.For(ctx, phaseDuration)
	d.setPhase("zone out")
	if err := d.fleet.ReplaceRuleFile(editedControl, 2, "kari: rewiring tonight", serviceRules+zoneOutRule); err != nil {
		return err
	}
	pause.For(ctx, zoneOutLimit)
	before := d.startedRequests(movedZone)
	pause.For(ctx, phaseDuration-zoneOutLimit)
	if now := d.startedRequests(movedZone); len(now) == 0 || !maps.Equal(before, now) {
		return errors.Newf("zone %s: counts of started requests changed or could not be read %s after the zone was taken out: %v, then %v", movedZone, zoneOutLimit, before, now)
	}
	d.setPhase("zone back")
	if err := d.fleet.ReplaceRuleFile(editedControl, 3, "kari: rewired", serviceRules); err != nil {
		return err
	}
	pause.For(ctx, phaseDuration)
	return ctx.Err()
}

func (d *demonstration) startLoad(ctx context.Context, wg *sync.WaitGroup) {
	loads := []struct {
		rate float64
		send func(n int)
	}{
		{lookupRate, d.sendLookup},
		{reserveRate, d.sendReservation},
		{keyedRate, d.sendKeyedReservations},
		{downloadRate, d.sendDownload},
	}
	for seed, l := range loads {
		p := arrival.New(arrival.Config{Rate: l.rate, MaxInFlight: maxInFlight, Rand: rand.New(rand.NewPCG(1, uint64(seed)))})
		wg.Go(func() {
			if dropped := p.Run(ctx, l.send); dropped > 0 {
				fmt.Fprintf(d.cfg.Output, "%d requests were not sent, because %d were in flight\n", dropped, maxInFlight)
			}
		})
	}
}

func (d *demonstration) setPhase(phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.phase = phase
}

func (d *demonstration) recordResult(kind requeststats.Kind, phase string, res node.Result) {
	d.table.Add(requeststats.Row{Phase: phase, Kind: kind}, res.Complete, res.Outcome, res.Latency)
	if !res.Complete {
		d.mu.Lock()
		defer d.mu.Unlock()
		if res.Status == http.StatusOK && res.Err == nil {
			d.falseSuccesses = append(d.falseSuccesses, fmt.Sprintf("%s, %s: an incomplete or wrong response ended like a complete one", phase, kind))
		}
		d.failures = append(d.failures, fmt.Sprintf("%s, %s: status %d, %s, after %s, error %v", phase, kind, res.Status, res.ProxyStatus, res.Latency, res.Err))
	}
}

func (d *demonstration) currentPhase() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase
}

// runningCaller returns the caller of request n, skipping the one whose node was killed.
func (d *demonstration) runningCaller(n int) *node.Caller {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n%len(d.callers) == d.killedCaller {
		n++
	}
	return d.callers[n%len(d.callers)]
}
