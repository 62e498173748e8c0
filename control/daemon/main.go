package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pollenhill.example/core/coordination/pause"
)

// Main runs the program with the given arguments, prints errors to stderr and returns the exit code: 0 after SIGTERM, 1
// after an error.
func Main(args []string, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Changed files need no SIGHUP, whose default action would end the process.
	signal.Ignore(syscall.SIGHUP)
	cmd := &cli.Command{
		Name:      "control",
		Usage:     "hold rules, claims and the directory of back ends",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "JSON settings `FILE`", Required: true}},
		Action:    run,
		Writer:    stderr,
		ErrWriter: stderr,
		// Without this handler the library would end the process; the caller of Main does that.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := cmd.Run(ctx, args); err != nil {
		fmt.Fprintln(stderr, "control:", err)
		return 1
	}
	return 0
}

const (
	softMemoryShare  = 0.7 // of Settings.MemoryMB, from which on the garbage collector runs more often
	bytesPerMegabyte = 1e6
)

// diskFullDelay is the delay between starts while the disk is full. The process waits because its end would free no
// space.
const diskFullDelay = 500 * time.Millisecond

func run(ctx context.Context, cmd *cli.Command) error {
	s, err := LoadSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * s.MemoryMB * bytesPerMegabyte))
	}
	d, err := New(s)
	for s.MaxVoters > 0 && errors.IsAny(err, syscall.ENOSPC, syscall.EDQUOT) && ctx.Err() == nil {
		fmt.Fprintln(cmd.Root().ErrWriter, "control: waiting for free space in the data folder:", err)
		pause.For(ctx, diskFullDelay)
		d, err = New(s)
	}
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
