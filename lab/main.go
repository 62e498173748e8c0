package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"pollenhill.example/lab/demo"
	"pollenhill.example/lab/fleet"
	"pollenhill.example/lab/load"
	"pollenhill.example/lab/model"
)

func main() {
	app := &cli.Command{
		Name:     "lab",
		Usage:    "send load, run the demonstration and simulate policies",
		Commands: []*cli.Command{demo.Command(), fleet.Command(), load.Command(), model.Command()},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(1)
	}
}
