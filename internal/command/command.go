package command

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/document"
	"celeryshelf/internal/logging"
	"celeryshelf/internal/standalone"
	"celeryshelf/internal/version"
)

// Exit codes.
const (
	exitFailed  = 1 // the command failed
	exitInvalid = 2 // the arguments or a file are invalid; nothing was changed
	exitWarned  = 3 // check --strict has found warnings
)

// Config holds the dependencies of the commands.
type Config struct {
	Output   io.Writer       // receives the results
	Platform ManifestDecoder // decodes configurations in the platform's format
}

// New returns the root command.
func New(config Config) *cli.Command {
	out := config.Output
	return &cli.Command{
		Name:                  "celeryshelf",
		Usage:                 "overload control for service call graphs",
		Writer:                out,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			nodeCommand(), checkCommand(config), applyCommand(out), statusCommand(out),
			drainCommand(out), schemaCommand(out), digestCommand(out), demoCommand(out), versionCommand(out),
		},
	}
}

func versionCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the revision and the Go release that the program was built from",
		Action: func(context.Context, *cli.Command) error {
			_, err := fmt.Fprintln(out, "celeryshelf", version.String())
			return err
		},
	}
}

// ExitCode returns the exit code for an error returned by the root command.
func ExitCode(err error) int {
	var invalid *manifest.ValidationError
	var usage *usageError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errWarned):
		return exitWarned
	case errors.As(err, &invalid), errors.As(err, &usage):
		return exitInvalid
	default:
		return exitFailed
	}
}

// usageError reports invalid arguments.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

// manifestArgument reads and validates the manifest file named by the only argument.
func manifestArgument(c *cli.Command) (*manifest.Manifest, error) {
	if c.Args().Len() != 1 {
		return nil, usagef("%s: want exactly one FILE", c.Name)
	}
	return document.ReadManifest(c.Args().First())
}

func parseAddressFlag(c *cli.Command, flag string) (netip.AddrPort, error) {
	at, err := netip.ParseAddrPort(c.String(flag))
	if err != nil {
		return at, usagef("--%s: want IP:PORT, not %q", flag, c.String(flag))
	}
	return at, nil
}

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run a node for the local target; drain and exit on SIGTERM",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := document.ReadSettings(c.String("settings"))
			if err != nil {
				return err
			}
			log, err := logging.New(os.Stderr, s.Log.Level)
			if err != nil {
				return err
			}
			configureRuntime()
			stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			a, err := standalone.New(ctx, *s, log)
			if err != nil {
				return err
			}
			return a.Run(stop)
		},
	}
}

const (
	// maxNodeProcs is the maximum GOMAXPROCS of a node. With more, the Go scheduler
	// only spends time looking for work on them.
	maxNodeProcs = 3
	// gcPercent is the GOGC of a node. Its heap is small, so that fewer collections
	// cost little memory.
	gcPercent        = 400
	memoryLimitBytes = 96 << 20
)

// configureRuntime limits the resources of a node, which shares its machine with a busy
// target. GOMAXPROCS, GOGC and GOMEMLIMIT in the environment take precedence.
func configureRuntime() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxNodeProcs, runtime.NumCPU()))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}

func schemaCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "schema",
		Usage:     "print the JSON schema of manifests or settings",
		ArgsUsage: "manifest|settings",
		Action: func(_ context.Context, c *cli.Command) error {
			text, err := document.Schema(document.Kind(c.Args().First()))
			if err != nil {
				return usagef("schema: want manifest or settings, not %q", c.Args().First())
			}
			_, err = out.Write(text)
			return err
		},
	}
}
