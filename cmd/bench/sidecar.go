package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"celeryshelf/internal/fleet"
	"celeryshelf/internal/loopback"
	"celeryshelf/internal/soak"
)

const (
	sidecarNodes = 6
	// sidecarSettle is the time after the start until the nodes' start-up traffic has
	// ended.
	sidecarSettle  = 8 * time.Second
	sidecarIdle    = 10 * time.Second
	sidecarLoad    = 15 * time.Second
	sidecarClients = 8
	// maxIdleCalls is the highest rate of store calls, per node and second, allowed
	// without load.
	maxIdleCalls = 1.0
)

// sidecar measures the resource usage of a node on the users' platform: CPU time per
// request, resident memory, and store calls without load.
func sidecar(ctx context.Context, r options) (Result, error) {
	dir := r.KeepDir
	if dir == "" {
		temporary, err := os.MkdirTemp("", "bench")
		if err != nil {
			return Result{}, fmt.Errorf("create temporary directory: %w", err)
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		dir = temporary
	}
	program, err := fleet.BuildSidecar(ctx, dir)
	if err != nil {
		return Result{}, err
	}
	network, err := loopback.Reserve()
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = network.Release() }()
	ctx, cancel := context.WithCancel(ctx)
	f := soak.NewFleet(dir, program, sidecarNodes, network, &soak.History{})
	defer f.Stop()
	defer cancel()
	if err := f.Start(ctx); err != nil {
		return Result{}, err
	}
	time.Sleep(sidecarSettle)
	calls := f.StoreCalls()
	rested, _, err := usage(f)
	if err != nil {
		return Result{}, err
	}
	time.Sleep(sidecarIdle)
	idle := float64(f.StoreCalls()-calls) / sidecarIdle.Seconds() / sidecarNodes
	before, _, err := usage(f)
	if err != nil {
		return Result{}, err
	}
	loaded, stop := context.WithTimeout(ctx, sidecarLoad)
	defer stop()
	f.RunClients(loaded, sidecarClients, r.Seed)
	after, peak, err := usage(f)
	if err != nil {
		return Result{}, err
	}
	sent, served := f.SteadyRequests()
	resting := time.Duration(float64(before-rested) * sidecarLoad.Seconds() / sidecarIdle.Seconds())
	out := Result{Figures: Figures{
		Calls: floatPtr(idle), Cost: floatPtr((after - before - resting).Seconds() * 1000 / float64(max(1, sent))), Resident: floatPtr(float64(peak) / (1 << 20)),
		Sent: countPtr(sent), Lost: countPtr(sent - served),
	}}
	out.OK = sent > 0 && sent == served && idle <= maxIdleCalls
	return out, nil
}

// usage returns the total CPU time of all nodes and the highest peak resident memory of
// any node, in bytes.
func usage(f *soak.Fleet) (sum time.Duration, peak int64, err error) {
	for _, p := range f.Processes() {
		processor, memory, err := p.Usage()
		if err != nil {
			return 0, 0, err
		}
		sum, peak = sum+processor, max(peak, memory)
	}
	return sum, peak, nil
}
