package load

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"pollenhill.example/lab/coordination/arrival"
	"pollenhill.example/lab/state/requeststats"
	"pollenhill.example/lab/transport/node"
)

const most = 4096 // requests at once, per target

// Config is one load.
type Config struct {
	Nodes           []netip.AddrPort // requests go to them in turn
	Backends        []netip.AddrPort // compared with: the same load in the same run, straight to these addresses
	SourceIP        netip.Addr
	Host            string
	Kind            requeststats.Kind
	Rate            float64 // requests a second for Nodes together, and again for Direct
	DownloadBytes   int     // bytes of a download
	Duration        time.Duration
	ResponseTimeout time.Duration // longest wait for one response
	Seed            uint64
}

// Command returns the command "load".
func Command() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests at a fixed rate and print counts and latencies",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "node", Usage: "caller address of a node, repeatable", Required: true},
			&cli.StringSliceFlag{Name: "direct", Usage: "address of a back end to compare with in the same run, repeatable"},
			&cli.StringFlag{Name: "bind", Usage: "source IP address", Value: "127.1.9.2"},
			&cli.StringFlag{Name: "host", Usage: "Host header", Value: "booking.example"},
			&cli.StringFlag{Name: "kind", Usage: "lookup, reservation, keyed reservation or download", Value: requeststats.Lookup.String()},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second", Value: 60},
			&cli.IntFlag{Name: "size", Usage: "bytes of a download", Value: 1 << 20},
			&cli.DurationFlag{Name: "time", Usage: "length of the run", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "limit", Usage: "longest wait for one response", Value: 10 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the arrival times", Value: 1},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := config(c)
			if err != nil {
				return err
			}
			return Run(ctx, cfg).Write(os.Stdout)
		},
	}
}

func config(c *cli.Command) (Config, error) {
	cfg := Config{
		Host: c.String("host"), Rate: c.Float("rate"), DownloadBytes: c.Int("size"), Duration: c.Duration("time"),
		ResponseTimeout: c.Duration("limit"), Seed: c.Uint64("seed"),
	}
	var err error
	if cfg.SourceIP, err = netip.ParseAddr(c.String("bind")); err != nil {
		return cfg, errors.Wrap(err, "flag bind")
	}
	if cfg.Nodes, err = addresses(c.StringSlice("node")); err != nil {
		return cfg, errors.Wrap(err, "flag node")
	}
	if cfg.Backends, err = addresses(c.StringSlice("direct")); err != nil {
		return cfg, errors.Wrap(err, "flag direct")
	}
	kind, ok := lo.Find([]requeststats.Kind{requeststats.Lookup, requeststats.Reservation, requeststats.KeyedReservation, requeststats.Download}, func(k requeststats.Kind) bool {
		return k.String() == c.String("kind")
	})
	if !ok {
		return cfg, errors.Newf("flag kind: %q is not a kind of request", c.String("kind"))
	}
	cfg.Kind = kind
	return cfg, nil
}

func addresses(texts []string) ([]netip.AddrPort, error) {
	list := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		list = append(list, addr)
	}
	return list, nil
}

// Run sends the load and returns the counts.
func Run(ctx context.Context, cfg Config) *requeststats.Table {
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	table := requeststats.New()
	var wg sync.WaitGroup
	for i, target := range []struct {
		phase string
		to    []netip.AddrPort
	}{{"through nodes", cfg.Nodes}, {"direct", cfg.Backends}} {
		if len(target.to) > 0 {
			wg.Go(func() { send(ctx, cfg, target.phase, target.to, uint64(i), table) })
		}
	}
	wg.Wait()
	return table
}

func send(ctx context.Context, cfg Config, phase string, to []netip.AddrPort, stream uint64, table *requeststats.Table) {
	callers := lo.Map(to, func(addr netip.AddrPort, _ int) *node.Caller {
		return node.New(node.Config{NodeAddress: addr, SourceIP: cfg.SourceIP, Timeout: cfg.ResponseTimeout, Host: cfg.Host})
	})
	row := requeststats.Row{Phase: phase, Kind: cfg.Kind}
	process := arrival.New(arrival.Config{Rate: cfg.Rate, MaxInFlight: most, Rand: rand.New(rand.NewPCG(cfg.Seed, stream))})
	process.Run(ctx, func(n int) {
		res := request(cfg, callers[n%len(callers)], phase, n)
		table.Add(row, res.Complete, res.Outcome, res.Latency)
	})
}

func request(cfg Config, c *node.Caller, phase string, n int) node.Result {
	id := lo.Ternary(phase == "direct", "d", "n") + cfg.Kind.RequestID(cfg.Seed, n)
	switch cfg.Kind {
	case requeststats.Reservation:
		return c.Reserve(id, "")
	case requeststats.KeyedReservation:
		return c.Reserve(id, id)
	case requeststats.Download:
		return c.Download(cfg.DownloadBytes)
	}
	return c.Lookup(id)
}
