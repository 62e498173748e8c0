package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Main runs the program with its arguments and returns the exit code: 0 after SIGTERM, 1 after an error.
func Main(args []string, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// A changed settings file needs no signal, and the default action would end the process.
	signal.Ignore(syscall.SIGHUP)
	cmd := &cli.Command{
		Name:      "control",
		Usage:     "hold rules, claims and the directory of back ends",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "JSON settings `FILE`", Required: true}},
		Action:    action,
		Writer:    errs,
		ErrWriter: errs,
		// The caller of Main decides about the exit.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := cmd.Run(ctx, args); err != nil {
		fmt.Fprintln(errs, "control:", err)
		return 1
	}
	return 0
}

func action(ctx context.Context, cmd *cli.Command) error {
	s, err := LoadSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	d, err := New(s)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
