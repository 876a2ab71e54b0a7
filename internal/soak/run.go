package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// Config describes a run.
type Config struct {
	Seed       uint64
	Duration   time.Duration // of the disruptions; the calm at the end comes on top
	Nodes      int
	Clients    int
	NodeBinary string // celerynode
	Dir        string // for settings and logs
	Output     io.Writer
}

// Run plays one seed and returns the broken promises.
func Run(ctx context.Context, c Config) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	h := &History{}
	f := NewFleet(c.Dir, c.NodeBinary, c.Nodes, c.Seed, h)
	defer f.Stop()
	defer cancel()
	if err := f.Start(ctx); err != nil {
		return nil, fmt.Errorf("start the fleet: %w", err)
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
