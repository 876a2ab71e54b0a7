// Command bench runs experiments over the real program with stand-ins on loopback
// and prints one line of JSON for each.
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
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of the load"},
			&cli.StringFlag{Name: "example", Value: "riverbank", Usage: "riverbank or grit"},
			&cli.StringFlag{Name: "plot", Usage: "PNG `FILE` of goodput, refusals and latency over time"},
			&cli.StringFlag{Name: "keep", Usage: "`FOLDER` for settings and logs of the processes"},
			&cli.BoolFlag{Name: "alone", Usage: "leave the baselines out"},
		},
		Action: run,
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// request is what the command line asks for.
type request struct {
	Seed    uint64
	Example string
	Plot    string
	Keep    string
	Alone   bool
}

func run(ctx context.Context, c *cli.Command) error {
	name := c.Args().First()
	if name == "list" {
		return list()
	}
	for _, e := range experiments() {
		if e.name != name {
			continue
		}
		r := request{
			Seed: c.Uint64("seed"), Example: c.String("example"), Plot: c.String("plot"),
			Keep: c.String("keep"), Alone: c.Bool("alone"),
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

func list() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, e := range experiments() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", e.name, e.about, e.target)
	}
	_, _ = fmt.Fprintln(w)
	for _, f := range fields {
		_, _ = fmt.Fprintf(w, "%s\t%s\t\n", f.name, f.about)
	}
	return w.Flush()
}
