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
	client "pollenhill.example/pollenhill/transport/control"
)

// Exit codes of the program.
const (
	ExitOK          = 0
	ExitCheckFailed = 1 // check: the file has problems; explain: no event is about the request
	ExitUsage       = 2 // unknown command, flag or argument
	ExitUnreachable = 3 // no control process answers
	ExitFileError   = 4 // a file cannot be read or written
	ExitStale       = 5 // status: the state shown is not confirmed by a quorum
)

const exitCodes = `Exit codes:
   0  success
   1  the file that was checked has problems
   2  unknown command, flag or argument
   3  no control process answers
   4  a file cannot be read or written
   5  status only: no control process that answers is confirmed by a quorum`

// DefaultTimeout limits how long control processes may take to answer, unless --timeout is set.
const DefaultTimeout = 3 * time.Second

// Streams holds the standard input, output and error of the program.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// exitError is an error that ends the program with an exit code; other errors end it with ExitUsage.
type exitError struct {
	error
	code int
}

func (e exitError) Unwrap() error { return e.error }

// withExitCode returns err with an exit code, or nil if err is nil.
func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return exitError{error: err, code: code}
}

// errAlreadyReported sets the exit code without a message on standard error, because the output already names the problems.
var errAlreadyReported = errors.New("")

// Run runs the command line args, of which the first is the name of the program, and returns the exit code.
func Run(ctx context.Context, args []string, s Streams) int {
	err := newRootCommand(s).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	code := ExitUsage
	var coded exitError
	if errors.As(err, &coded) {
		code = coded.code
	}
	if !errors.Is(err, errAlreadyReported) {
		fmt.Fprintln(s.Err, "pollenhill:", err)
	}
	return code
}

func newRootCommand(s Streams) *cli.Command {
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
		OnUsageError:   usageError,
		Flags:          globalFlags(),
		Commands:       []*cli.Command{checkCommand(), showCommand(), statusCommand(), refusalCommand(), timelineCommand(), explainCommand()},
		Action:         runWithoutCommand,
	}
	for _, command := range root.Commands {
		command.OnUsageError = usageError
	}
	return root
}

func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	return errors.Newf("%w; see %q", err, c.FullName()+" --help")
}

// runWithoutCommand handles a command line without a known command: it returns an error that names an unknown command, or
// prints the help if there is none.
func runWithoutCommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return errors.Newf("%q is not a command; see \"pollenhill --help\"", name)
	}
	return cli.ShowAppHelp(c)
}

func globalFlags() []cli.Flag {
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

// newClients returns clients of the control processes that the flags and environment variables name.
func newClients(c *cli.Command) (*client.Clients, error) {
	addresses := c.StringSlice("control")
	if len(addresses) == 0 {
		return nil, errors.New("no control process is named; use --control IP:PORT or the variable POLLENHILL_CONTROL")
	}
	cfg := client.Config{Timeout: c.Duration("timeout")}
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.Newf("--control %q: want an IP address and a port, such as 10.0.0.5:7000", text)
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
		return nil, withExitCode(ExitFileError, errors.New("mutual TLS needs all of --cert, --key and --ca"))
	default:
		cfg.TLS = &files
	}
	clients, err := client.New(cfg)
	return clients, withExitCode(ExitFileError, err)
}

// positionalArguments returns the arguments of a command that are not flags, or an error if their number is not between
// minimum and maximum; a negative maximum means no limit.
func positionalArguments(c *cli.Command, minimum, maximum int) ([]string, error) {
	args := c.Args().Slice()
	if len(args) < minimum {
		return nil, errors.Newf("%s needs %s; see %q", c.FullName(), c.ArgsUsage, c.FullName()+" --help")
	}
	if maximum >= 0 && len(args) > maximum {
		return nil, errors.Newf("%q is not expected; see %q", args[maximum], c.FullName()+" --help")
	}
	return args, nil
}

// printJSON writes value as indented JSON to standard output.
func printJSON(c *cli.Command, value any) error {
	enc := json.NewEncoder(c.Root().Writer)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return withExitCode(ExitFileError, errors.Wrap(enc.Encode(value), "write output"))
}

// printf writes to standard output.
func printf(c *cli.Command, format string, args ...any) {
	fmt.Fprintf(c.Root().Writer, format, args...)
}
