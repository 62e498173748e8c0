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

const maxInFlight = 4096 // requests, separately for the load through nodes and the direct load

// Config sets the kind, rate and targets of one load.
type Config struct {
	Nodes           []netip.AddrPort // addresses for callers; requests go to them in turn
	Backends        []netip.AddrPort // back ends that get the same load directly in the same run, for comparison; may be empty
	SourceIP        netip.Addr
	Host            string
	Kind            requeststats.Kind
	Rate            float64 // requests per second to all Nodes together, and the same to all Backends together
	DownloadBytes   int     // bytes of a download
	Duration        time.Duration
	ResponseTimeout time.Duration // for one request
	Seed            uint64        // of the arrival times
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
			&cli.FloatFlag{Name: "rate", Usage: "requests per second", Value: 60},
			&cli.IntFlag{Name: "size", Usage: "bytes of a download", Value: 1 << 20},
			&cli.DurationFlag{Name: "time", Usage: "length of the run", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "limit", Usage: "longest wait for one response", Value: 10 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the arrival times", Value: 1},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := parseConfig(c)
			if err != nil {
				return err
			}
			return Run(ctx, cfg).Write(os.Stdout)
		},
	}
}

func parseConfig(c *cli.Command) (Config, error) {
	cfg := Config{
		Host: c.String("host"), Rate: c.Float("rate"), DownloadBytes: c.Int("size"), Duration: c.Duration("time"),
		ResponseTimeout: c.Duration("limit"), Seed: c.Uint64("seed"),
	}
	var err error
	if cfg.SourceIP, err = netip.ParseAddr(c.String("bind")); err != nil {
		return cfg, errors.Wrap(err, "flag bind")
	}
	if cfg.Nodes, err = parseAddresses(c.StringSlice("node")); err != nil {
		return cfg, errors.Wrap(err, "flag node")
	}
	if cfg.Backends, err = parseAddresses(c.StringSlice("direct")); err != nil {
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

func parseAddresses(texts []string) ([]netip.AddrPort, error) {
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

// Run sends the load and returns the counts and latencies.
func Run(ctx context.Context, cfg Config) *requeststats.Table {
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	table := requeststats.New()
	var wg sync.WaitGroup
	for i, target := range []struct {
		phase     string
		addresses []netip.AddrPort
	}{{"through nodes", cfg.Nodes}, {"direct", cfg.Backends}} {
		if len(target.addresses) > 0 {
			wg.Go(func() { sendLoad(ctx, cfg, target.phase, target.addresses, uint64(i), table) })
		}
	}
	wg.Wait()
	return table
}

// sendLoad sends the load to a list of addresses; stream selects the random numbers of its arrival times.
func sendLoad(ctx context.Context, cfg Config, phase string, addresses []netip.AddrPort, stream uint64, table *requeststats.Table) {
	callers := lo.Map(addresses, func(addr netip.AddrPort, _ int) *node.Caller {
		return node.New(node.Config{NodeAddress: addr, SourceIP: cfg.SourceIP, Timeout: cfg.ResponseTimeout, Host: cfg.Host})
	})
	row := requeststats.Row{Phase: phase, Kind: cfg.Kind}
	process := arrival.New(arrival.Config{Rate: cfg.Rate, MaxInFlight: maxInFlight, Rand: rand.New(rand.NewPCG(cfg.Seed, stream))})
	process.Run(ctx, func(n int) {
		res := sendRequest(cfg, callers[n%len(callers)], phase, n)
		table.Add(row, res.Complete, res.Outcome, res.Latency)
	})
}

func sendRequest(cfg Config, c *node.Caller, phase string, n int) node.Result {
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
