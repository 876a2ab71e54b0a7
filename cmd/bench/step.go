package main

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
	"celeryshelf/core/member"
	"celeryshelf/core/quota"
)

const (
	stepTime    = 2 * time.Second
	stepBatch   = 1000 // calls between clock reads
	minSteps    = 1_000_000
	stepSpacing = time.Microsecond
)

// busyState returns the state of a single node that owns all shards of its workspace
// and has enough tokens to admit every call, and the arrival event to repeat.
func busyState(now time.Time) (*core.State, *core.CallArrived, error) {
	const rate, burst = 1e8, 200_000_000
	s := core.New(core.Settings{Self: member.Member{
		Name: "n", Service: "maps", Domain: "d", Incarnation: 1, Revision: 1,
		NodeAddr: netip.MustParseAddrPort("127.0.0.1:1"), ControlAddr: netip.MustParseAddrPort("127.0.0.1:2"),
	}})
	w := manifest.Workspace{Name: "w", Rate: rate, Burst: burst, Keys: []manifest.Key{{Name: "k", Digest: manifest.DigestOf("k")}}}
	s.Step(now, &core.StoreReachability{Reachable: true})
	s.Step(now, &core.LeaseHeld{Until: now.Add(24 * time.Hour)})
	m, err := manifest.Compile(manifest.Versioned{Version: 1, Manifest: manifest.Manifest{
		Workspaces: []manifest.Workspace{w}, Services: []manifest.Service{{Name: "maps"}},
		Routes: []manifest.Route{{
			Name: "map", Method: "GET", Path: "/map", Service: "maps",
			Timeout: manifest.Duration{Duration: time.Second},
		}},
	}})
	if err != nil {
		return nil, nil, fmt.Errorf("compile manifest: %w", err)
	}
	s.Step(now, &core.ManifestStored{Manifest: m})
	n := shardCount(w)
	for i := range n {
		s.Step(now, &core.ClaimDone{Shard: quota.Shard{Workspace: "w", Index: i, Count: n}, Held: true})
	}
	return s, &core.CallArrived{Route: core.RouteLookup{Outcome: core.RouteFound, Version: 1, Name: "map", Method: "GET", Path: "/map"}, KeyDigest: w.Keys[0].Digest, HasKey: true}, nil
}

// step measures the reducer's throughput and allocations on one core, with alternating
// call arrivals and completions and one tick per batch.
func step(context.Context, options) (Result, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	now := time.Now()
	s, arrive, err := busyState(now)
	if err != nil {
		return Result{}, err
	}
	now = now.Add(3 * time.Second)
	finish := &core.CallFinished{Complete: true}
	tick := &core.Tick{}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start, steps, refused := time.Now(), 0, 0
	for time.Since(start) < stepTime {
		for range stepBatch {
			arrive.Call++
			arrive.RootID++
			now = now.Add(stepSpacing)
			if e := s.Step(now, arrive); len(e.Verdicts) > 0 && e.Verdicts[0].Action == core.ActionRefuse {
				refused++
			}
			finish.Call = arrive.Call
			s.Step(now, finish)
		}
		s.Step(now, tick)
		steps += 2*stepBatch + 1
	}
	took := time.Since(start)
	runtime.ReadMemStats(&after)
	out := Result{Figures: Figures{
		Steps:  floatPtr(float64(steps) / took.Seconds()),
		Allocs: floatPtr(float64(after.Mallocs-before.Mallocs) / float64(steps)),
		Wrong:  floatPtr(float64(refused) / float64(steps)),
	}}
	out.OK = *out.Steps >= minSteps && *out.Allocs < 0.001 && refused == 0
	return out, nil
}
