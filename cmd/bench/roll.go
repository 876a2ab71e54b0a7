package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"celeryshelf/internal/standin"
)

const (
	rollLimit  = 20 * time.Second
	pauseTime  = 12 * time.Second // longer than the lease
	pauseLease = 5 * time.Second
	rollLease  = 10 * time.Second
	rollGrace  = 1 * time.Second
)

// get makes a GET request with an API key and returns its status, 0 if there was no
// response.
func get(ctx context.Context, at netip.AddrPort, path, key string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+path, nil)
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// roll restarts every node in turn under load, in two halves. Callers use the nodes
// of the other half, as they would behind a load balancer that removes a node's address
// before a planned stop.
func roll(ctx context.Context, r options) (Result, error) {
	l, err := newSingleHopTestbed(ctx, r, rollLease, rollGrace)
	if err != nil {
		return Result{}, err
	}
	defer l.close()
	half := len(l.plan.VMs) / 2
	var samples []standin.Sample
	for part, units := range [][]int{{0, half}, {half, len(l.plan.VMs)}} {
		entries := l.plan.CallerAddrs()
		entries = slices.Delete(entries, units[0], units[1])
		done := make(chan error, 1)
		stop, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			done <- l.replace(units[0], units[1])
		}()
		samples = append(samples, l.runLoad(stop, r, standin.LoadConfig{
			Streams: l.deployment.Streams(rollRate), Duration: 40 * time.Second, EntryAddresses: entries,
		})...)
		if err := <-done; err != nil {
			return Result{}, fmt.Errorf("part %d: %w", part+1, err)
		}
	}
	// Calls in flight when the load of a part was cancelled were not interrupted by
	// a node.
	samples = slices.DeleteFunc(samples, func(s standin.Sample) bool {
		return s.Status == 0 && s.Latency < callerTimeout && s.Reason == "" && nearLoadEnd(samples, s)
	})
	out := Result{Figures: Figures{
		Cut: countPtr(countUnanswered(samples)), Sent: countPtr(len(samples)),
		Wrong: floatPtr(1 - answeredShare(samples, 0, time.Hour, anySample)), Why: failureCauses(samples),
	}}
	out.OK = *out.Cut == 0
	return out, nil
}

// nearLoadEnd reports whether a sample started within callerTimeout of the last call of its
// load.
func nearLoadEnd(samples []standin.Sample, s standin.Sample) bool {
	end := time.Duration(0)
	for _, o := range samples {
		if o.RootID[:2] == s.RootID[:2] {
			end = max(end, o.Start)
		}
	}
	return end-s.Start < callerTimeout
}

// replace terminates the nodes with index from to to-1 one by one and starts each again.
func (l *testbed) replace(from, to int) error {
	for _, u := range l.plan.VMs[from:to] {
		name := u.Settings.Name
		if err := l.nodes[name].Terminate(); err != nil {
			return err
		}
		if err := l.nodes[name].Wait(rollLimit); err != nil {
			return fmt.Errorf("wait for node %s to exit: %w", name, err)
		}
		if err := l.startNode(u); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}

// paused suspends an owner of shards for longer than its lease and resumes it.
func paused(ctx context.Context, r options) (Result, error) {
	l, err := newSingleHopTestbed(ctx, r, pauseLease, 0)
	if err != nil {
		return Result{}, err
	}
	defer l.close()
	s, err := l.status(ctx, l.plan.VMs[0].Settings.Name)
	if err != nil {
		return Result{}, err
	}
	owner := s.Shards[0].Owner
	entries := slices.DeleteFunc(l.plan.CallerAddrs(), func(a netip.AddrPort) bool { return a == l.vm(owner).Settings.Listen.Caller })
	failed := applyFault(2*time.Second, pauseTime, l.nodes[owner].Suspend, l.nodes[owner].Resume)
	streams := l.deployment.Streams(excessRateFactor * quotaRate)
	samples := l.runLoad(ctx, r, standin.LoadConfig{Streams: streams, Duration: pauseTime + 6*time.Second, EntryAddresses: entries})
	if err := <-failed; err != nil {
		return Result{}, err
	}
	runs, err := l.runs()
	if err != nil {
		return Result{}, err
	}
	out := Result{Figures: Figures{Over: floatPtr(excessRuns(runs, streams, l.manifest)), Sent: countPtr(len(samples)), Why: failureCauses(samples)}}
	out.OK = *out.Over == 0
	return out, nil
}

const (
	silentLead  = 4 * time.Second
	silentTime  = 8 * time.Second
	maxDetected = 2.0 // seconds
)

// silent suspends a node, so that its connections stay open without a response, and
// measures how long calls keep failing.
func silent(ctx context.Context, r options) (Result, error) {
	l, err := newSingleHopTestbed(ctx, r, 0, 0)
	if err != nil {
		return Result{}, err
	}
	defer l.close()
	_, service := findBehaviour(l.deployment, l.deployment.Load[0].Path)
	name := service + "-1"
	entries := slices.DeleteFunc(l.plan.CallerAddrs(), func(a netip.AddrPort) bool { return a == l.vm(name).Settings.Listen.Caller })
	failed := applyFault(silentLead, silentTime, l.nodes[name].Suspend, l.nodes[name].Resume)
	samples := l.runLoad(ctx, r, standin.LoadConfig{
		Streams: l.deployment.Streams(steadyRateFactor * quotaRate), Duration: silentLead + silentTime + 3*time.Second, EntryAddresses: entries,
	})
	if err := <-failed; err != nil {
		return Result{}, err
	}
	until := silentLead
	for _, s := range samples {
		if isUnanswered(s) && s.Start < silentLead+silentTime {
			until = max(until, s.Start)
		}
	}
	out := Result{Figures: Figures{
		Found: floatPtr((until - silentLead).Seconds()), Lost: countPtr(countUnanswered(samples)), Sent: countPtr(len(samples)), Why: failureCauses(samples),
	}}
	out.OK = *out.Found <= maxDetected
	return out, nil
}
