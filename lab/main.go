package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"pollenhill.example/lab/model"
)

func main() {
	app := &cli.Command{
		Name:     "lab",
		Usage:    "send load, drive the demo and run policy experiments",
		Commands: []*cli.Command{model.Command()},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(1)
	}
}
