package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/urfave/cli/v3"

	"pollenhill.example/core/state/settings"
	"pollenhill.example/standin/coordination/capacity"
	"pollenhill.example/standin/state/fault"
	"pollenhill.example/standin/transport/caller"
	"pollenhill.example/standin/transport/node"
)

const (
	grace = 10 * time.Second // longest wait for requests in flight
	lull  = 3 * time.Second  // time for callers to learn that this back end is leaving
)

// config is the JSON settings of the program.
type config struct {
	Name        string            `json:"name" validate:"required"`
	Service     string            `json:"service" validate:"required"`
	Zone        string            `json:"zone" validate:"required"`
	Listen      netip.AddrPort    `json:"listen" validate:"required"`
	Admin       netip.AddrPort    `json:"admin" validate:"required"`
	Node        netip.AddrPort    `json:"node" validate:"required"`
	Slots       int               `json:"slots" validate:"gt=0"`
	Connections int               `json:"connections" validate:"gt=0"`
	Cold        int               `json:"cold" validate:"gt=0"`
	Warm        int               `json:"warm" validate:"gte=0"`
	Mean        settings.Duration `json:"mean" validate:"gt=0"`
	Probe       settings.Duration `json:"probe" validate:"gte=0"`
	Faults      fault.Set         `json:"faults"`
}

func main() {
	app := &cli.Command{
		Name:  "standin",
		Usage: "stand-in back end for tests and the demo",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "JSON settings file", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := settings.Load[config](c.String("settings"))
			if err != nil {
				return err
			}
			return run(ctx, cfg)
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cfg config) error {
	server := caller.New(caller.Config{
		Name:            cfg.Name,
		Capacity:        capacity.Config{Slots: cfg.Slots, ColdSlots: cfg.Cold, WarmupRequests: cfg.Warm},
		MeanServiceTime: time.Duration(cfg.Mean),
		ProbeTime:       time.Duration(cfg.Probe),
		Faults:          cfg.Faults,
	})
	failed := make(chan error, 2)
	app, admin := server.App(), server.AdminApp()
	go serve(app, cfg.Listen, failed)
	go serve(admin, cfg.Admin, failed)
	state := server.State
	announcer := node.New(node.Config{
		NodeAddress: cfg.Node,
		Bind:        cfg.Listen.Addr(),
		Announcement: func() node.Announcement {
			return node.Announcement{
				Name: cfg.Name, Service: cfg.Service, Address: cfg.Listen.String(),
				Slots: cfg.Slots, Connections: cfg.Connections, Zone: cfg.Zone, State: state(),
			}
		},
		OnError: func(err error) { fmt.Fprintln(os.Stderr, "standin:", err) },
	})
	done := make(chan struct{})
	go func() {
		announcer.Run(ctx, server.StateChanged())
		close(done)
	}()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	<-done
	state = func() string { return "leaving" }
	if err := announcer.Announce(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
	wait(server)
	return app.ShutdownWithTimeout(grace)
}

// wait returns when nothing is in flight any more, and not before callers had time to stop sending.
func wait(server *caller.Server) {
	time.Sleep(lull)
	for end := time.Now().Add(grace); server.Inflight() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
}

func serve(app *fiber.App, addr netip.AddrPort, failed chan<- error) {
	if err := app.Listen(addr.String(), fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		failed <- errors.Wrapf(err, "listen on %s", addr)
	}
}
