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
	drainTimeout = 10 * time.Second // for requests in flight, and again for the shutdown of the server
	leaveDelay   = 3 * time.Second  // from the announcement of the state leaving, so that callers learn of it and stop sending
)

// config holds the JSON settings of the program.
type config struct {
	Name            string            `json:"name" validate:"required"`
	Service         string            `json:"service" validate:"required"`
	Zone            string            `json:"zone" validate:"required"`
	ListenAddress   netip.AddrPort    `json:"listen" validate:"required"`
	AdminAddress    netip.AddrPort    `json:"admin" validate:"required"`
	NodeAddress     netip.AddrPort    `json:"node" validate:"required"`
	Slots           int               `json:"slots" validate:"gt=0"`
	Connections     int               `json:"connections" validate:"gt=0"`
	ColdSlots       int               `json:"cold" validate:"gt=0"`
	WarmupRequests  int               `json:"warm" validate:"gte=0"`
	MeanServiceTime settings.Duration `json:"mean" validate:"gt=0"`
	ProbeTime       settings.Duration `json:"probe" validate:"gte=0"`
	Faults          fault.Set         `json:"faults"`
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
		Capacity:        capacity.Config{Slots: cfg.Slots, ColdSlots: cfg.ColdSlots, WarmupRequests: cfg.WarmupRequests},
		MeanServiceTime: time.Duration(cfg.MeanServiceTime),
		ProbeTime:       time.Duration(cfg.ProbeTime),
		Faults:          cfg.Faults,
	})
	listenErrors := make(chan error, 2)
	app, admin := server.App(), server.AdminApp()
	go listen(app, cfg.ListenAddress, listenErrors)
	go listen(admin, cfg.AdminAddress, listenErrors)
	state := server.State
	announcer := node.New(node.Config{
		NodeAddress: cfg.NodeAddress,
		Bind:        cfg.ListenAddress.Addr(),
		Announcement: func() node.Announcement {
			return node.Announcement{
				Name: cfg.Name, Service: cfg.Service, Address: cfg.ListenAddress.String(),
				Slots: cfg.Slots, Connections: cfg.Connections, Zone: cfg.Zone, State: state(),
			}
		},
		OnError: func(err error) { fmt.Fprintln(os.Stderr, "standin:", err) },
	})
	announcerDone := make(chan struct{})
	go func() {
		announcer.Run(ctx, server.StateChanged())
		close(announcerDone)
	}()
	select {
	case err := <-listenErrors:
		return err
	case <-ctx.Done():
	}
	<-announcerDone
	state = func() string { return "leaving" }
	if err := announcer.Announce(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
	waitForRequests(server)
	return app.ShutdownWithTimeout(drainTimeout)
}

// waitForRequests waits for leaveDelay, and then until no request is in flight or drainTimeout has passed.
func waitForRequests(server *caller.Server) {
	time.Sleep(leaveDelay)
	for end := time.Now().Add(drainTimeout); server.Inflight() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
}

func listen(app *fiber.App, address netip.AddrPort, listenErrors chan<- error) {
	if err := app.Listen(address.String(), fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		listenErrors <- errors.Wrapf(err, "listen on %s", address)
	}
}
