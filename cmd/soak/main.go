// Command soak runs nodes as processes on loopback addresses, injects faults into processes,
// links and the store, and checks the guarantees to callers and targets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"celeryshelf/internal/fleet"
	"celeryshelf/internal/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	command := &cli.Command{
		Name:  "soak",
		Usage: "run the faults of a seed; the last line holds the seed and the verdict",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`N` determines faults and requests"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "of fault injection; 18 s without faults follow"},
			&cli.IntFlag{Name: "nodes", Value: 6, Usage: "number of nodes"},
			&cli.IntFlag{Name: "clients", Value: 12, Usage: "number of concurrent clients"},
			&cli.StringFlag{Name: "keep", Usage: "`DIR` that keeps settings and logs; a temporary directory if not set"},
		},
		Action: runSeed,
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runSeed runs one seed and prints the violations and the verdict. It returns an error if a
// guarantee is violated.
func runSeed(ctx context.Context, c *cli.Command) error {
	dir := c.String("keep")
	if dir == "" {
		temporary, err := os.MkdirTemp("", "soak")
		if err != nil {
			return fmt.Errorf("create directory: %w", err)
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		dir = temporary
	}
	program, err := fleet.BuildSidecar(ctx, dir)
	if err != nil {
		return err
	}
	broken, err := soak.Run(ctx, soak.Config{
		Seed: c.Uint64("seed"), Duration: c.Duration("duration"), Nodes: c.Int("nodes"), Clients: c.Int("clients"),
		NodeBinary: program, Dir: dir, Output: os.Stdout,
	})
	if err != nil {
		return err
	}
	for _, b := range broken {
		fmt.Println("broken", b)
	}
	if len(broken) > 0 {
		return fmt.Errorf("seed=%d verdict=broken promises=%d", c.Uint64("seed"), len(broken))
	}
	fmt.Printf("seed=%d verdict=kept\n", c.Uint64("seed"))
	return nil
}
