package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pollenhill.example/core/transport/mtls"
	"pollenhill.example/pollenhill/transport/control"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitCheckFailed = 1 // the file that was checked has problems
	ExitUsage       = 2 // unknown command, flag or argument
	ExitUnreachable = 3 // no control process answers
	ExitFileError   = 4 // a file cannot be read or written
	ExitStale       = 5 // the state shown is not confirmed by a quorum
)

const exitCodes = `Exit codes:
   0  success
   1  the file that was checked has problems
   2  unknown command, flag or argument
   3  no control process answers
   4  a file cannot be read or written
   5  status only: no control process that answers is confirmed by a quorum`

// DefaultTimeout is how long a control process may take to answer.
const DefaultTimeout = 3 * time.Second

// Streams are the standard streams of the program.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// failure is an error with the exit code of the program.
type failure struct {
	error
	code int
}

func (f failure) Unwrap() error { return f.error }

func fail(code int, err error) error {
	if err == nil {
		return nil
	}
	return failure{error: err, code: code}
}

// errSilent ends the program with a code after the output has said everything.
var errSilent = errors.New("")

// Run carries out one command line and returns the exit code.
func Run(ctx context.Context, args []string, s Streams) int {
	err := newRoot(s).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	code := ExitUsage
	var f failure
	if errors.As(err, &f) {
		code = f.code
	}
	if !errors.Is(err, errSilent) {
		fmt.Fprintln(s.Err, "pollenhill:", err)
	}
	return code
}

func newRoot(s Streams) *cli.Command {
	root := &cli.Command{
		Name:                  "pollenhill",
		Usage:                 "read the state of a pollenhill load balancer",
		Description:           "Rules are changed only by editing the rule file on a control VM.\n\n" + exitCodes,
		Reader:                s.In,
		Writer:                s.Out,
		ErrWriter:             s.Err,
		EnableShellCompletion: true,
		Suggest:               true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.Usage = "print a completion script for bash, zsh, fish or pwsh"
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // Run reports errors
		OnUsageError:   usage,
		Flags:          flags(),
		Commands:       []*cli.Command{checkCommand(), showCommand(), statusCommand(), refusalCommand(), timelineCommand(), explainCommand()},
		Action:         unknown,
	}
	for _, one := range root.Commands {
		one.OnUsageError = usage
	}
	return root
}

func usage(_ context.Context, c *cli.Command, err error, _ bool) error {
	return errors.Newf("%w; see %q", err, c.FullName()+" --help")
}

func unknown(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return errors.Newf("%q is not a command; see \"pollenhill --help\"", name)
	}
	return cli.ShowAppHelp(c)
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		&cli.StringSliceFlag{
			Name: "control", Usage: "`ADDRESS` (IP:port) of a control process; repeat it for several",
			Sources: cli.EnvVars("POLLENHILL_CONTROL"),
		},
		&cli.StringFlag{Name: "bind", Usage: "source `IP` of connections", Sources: cli.EnvVars("POLLENHILL_BIND")},
		&cli.DurationFlag{Name: "timeout", Usage: "limit for an answer", Value: DefaultTimeout},
		&cli.StringFlag{Name: "cert", Usage: "certificate `FILE` for mutual TLS", Sources: cli.EnvVars("POLLENHILL_CERT")},
		&cli.StringFlag{Name: "key", Usage: "key `FILE` for mutual TLS", Sources: cli.EnvVars("POLLENHILL_KEY")},
		&cli.StringFlag{Name: "ca", Usage: "`FILE` of the authorities for mutual TLS", Sources: cli.EnvVars("POLLENHILL_CA")},
	}
}

// clients returns the control processes that the flags name.
func clients(c *cli.Command) (*control.Clients, error) {
	list := c.StringSlice("control")
	if len(list) == 0 {
		return nil, errors.New("no control process is named; use --control IP:PORT or the variable POLLENHILL_CONTROL")
	}
	cfg := control.Config{Timeout: c.Duration("timeout")}
	for _, one := range list {
		address, err := netip.ParseAddrPort(one)
		if err != nil {
			return nil, errors.Newf("--control %q: want an IP address and a port, such as 10.0.0.5:7000", one)
		}
		cfg.Addresses = append(cfg.Addresses, address)
	}
	if bind := c.String("bind"); bind != "" {
		ip, err := netip.ParseAddr(bind)
		if err != nil {
			return nil, errors.Newf("--bind %q: want an IP address", bind)
		}
		cfg.Bind = ip
	}
	switch files := (mtls.Config{CertFile: c.String("cert"), KeyFile: c.String("key"), CAFile: c.String("ca")}); {
	case files == mtls.Config{}:
	case files.CertFile == "" || files.KeyFile == "" || files.CAFile == "":
		return nil, fail(ExitFileError, errors.New("mutual TLS needs all of --cert, --key and --ca"))
	default:
		cfg.TLS = &files
	}
	found, err := control.New(cfg)
	return found, fail(ExitFileError, err)
}

// arguments checks the number of arguments of a command; high below 0 means any number.
func arguments(c *cli.Command, low, high int) ([]string, error) {
	args := c.Args().Slice()
	if len(args) < low {
		return nil, errors.Newf("%s needs %s; see %q", c.FullName(), c.ArgsUsage, c.FullName()+" --help")
	}
	if high >= 0 && len(args) > high {
		return nil, errors.Newf("%q is not expected; see %q", args[high], c.FullName()+" --help")
	}
	return args, nil
}

// printJSON writes value as indented JSON.
func printJSON(c *cli.Command, value any) error {
	enc := json.NewEncoder(c.Root().Writer)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return fail(ExitFileError, errors.Wrap(enc.Encode(value), "write output"))
}

func printf(c *cli.Command, format string, args ...any) {
	fmt.Fprintf(c.Root().Writer, format, args...)
}
