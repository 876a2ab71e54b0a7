// Command bench runs an experiment against the real node binaries, with stand-in
// store, targets and callers on loopback, and prints its result as one line of JSON.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{
		Name:      "bench",
		Usage:     "measure the system against its targets, its baselines and earlier versions",
		ArgsUsage: "NAME | list",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the generated load"},
			&cli.StringFlag{Name: "example", Value: "riverbank", Usage: "example deployment: riverbank or grit"},
			&cli.StringFlag{Name: "plot", Usage: "PNG `FILE` of goodput, refusals and latency over time"},
			&cli.StringFlag{Name: "keep", Usage: "`FOLDER` in which to keep the settings and logs of the processes"},
			&cli.BoolFlag{Name: "alone", Usage: "do not run the baselines"},
		},
		Action: run,
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// options holds the command-line flags.
type options struct {
	Seed          uint64
	Example       string
	PlotFile      string
	KeepDir       string
	SkipBaselines bool
}

func run(ctx context.Context, c *cli.Command) error {
	name := c.Args().First()
	if name == "list" {
		return printList()
	}
	for _, e := range experiments() {
		if e.name != name {
			continue
		}
		r := options{
			Seed: c.Uint64("seed"), Example: c.String("example"), PlotFile: c.String("plot"),
			KeepDir: c.String("keep"), SkipBaselines: c.Bool("alone"),
		}
		out, err := e.run(ctx, r)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		out.Name, out.Seed, out.Example = name, r.Seed, r.Example
		return json.NewEncoder(os.Stdout).Encode(out)
	}
	return fmt.Errorf("no experiment %q; see bench list", name)
}

func printList() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, e := range experiments() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", e.name, e.description, e.target)
	}
	_, _ = fmt.Fprintln(w)
	for _, f := range figureInfos {
		_, _ = fmt.Fprintf(w, "%s\t%s\t\n", f.name, f.description)
	}
	return w.Flush()
}
