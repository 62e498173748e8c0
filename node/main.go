package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pollenhill.example/core/state/event"
	"pollenhill.example/node/program"
)

func main() {
	app := &cli.Command{
		Name:  "node",
		Usage: "load balancer beside one back end",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "JSON settings file", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("settings"))
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// A changed settings file needs no signal, and the default action would end the process.
	signal.Ignore(syscall.SIGHUP)
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "node:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string) error {
	cfg, err := program.LoadSettings(path)
	if err != nil {
		return err
	}
	events, closing, err := event.Open(cfg.Name, cmp.Or(cfg.EventFile, cfg.LogFile))
	if err != nil {
		return err
	}
	p, err := program.New(program.Config{Settings: cfg, Events: events, SettingsPath: path})
	if err != nil {
		return err
	}
	return errors.CombineErrors(p.Run(ctx), closing())
}
