package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"celeryshelf/internal/loopback"
)

// Config describes a run.
type Config struct {
	Seed       uint64
	Duration   time.Duration // of fault injection; the fault-free period at the end comes in addition
	Nodes      int
	Clients    int
	NodeBinary string // path of celerynode
	Dir        string // for settings and logs
	Output     io.Writer
}

// Run runs the fleet under load and injects the faults that the seed determines. It returns
// the violated guarantees, as History.Check reports them.
func Run(ctx context.Context, c Config) ([]string, error) {
	network, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	defer func() { _ = network.Release() }()
	ctx, cancel := context.WithCancel(ctx)
	h := &History{}
	f := NewFleet(c.Dir, c.NodeBinary, c.Nodes, network, h)
	defer f.Stop()
	defer cancel()
	if err := f.Start(ctx); err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	clientsDone := make(chan struct{})
	go func() {
		defer close(clientsDone)
		f.RunClients(clientCtx, c.Clients, c.Seed)
	}()
	i := &injector{fleet: f, random: rand.New(rand.NewPCG(c.Seed, 1)), output: c.Output, start: time.Now()}
	i.run(ctx, time.Now().Add(c.Duration))
	i.logf("calm")
	i.sleep(ctx, stopBound+finalQuietPeriod)
	stopClients()
	<-clientsDone
	return h.Check(), ctx.Err()
}
