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
			return runNode(ctx, c.String("settings"))
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// A node notices a changed settings file by itself. The default action of SIGHUP would end the process.
	signal.Ignore(syscall.SIGHUP)
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "node:", err)
		os.Exit(1)
	}
}

// runNode runs a node with the settings file at settingsPath until ctx ends.
func runNode(ctx context.Context, settingsPath string) error {
	cfg, err := program.LoadSettings(settingsPath)
	if err != nil {
		return err
	}
	events, closeEvents, err := event.Open(cfg.Name, cmp.Or(cfg.EventFile, cfg.LogFile))
	if err != nil {
		return err
	}
	node, err := program.New(program.Config{Settings: cfg, Events: events, SettingsPath: settingsPath})
	if err != nil {
		return err
	}
	return errors.CombineErrors(node.Run(ctx), closeEvents())
}
