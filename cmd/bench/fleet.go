package main

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/fleet"
	"celeryshelf/internal/standin"
)

type routeLoad = fleet.RouteLoad

// rateShareSum returns the sum of the flows' rate shares.
func rateShareSum(flows []routeLoad) float64 {
	sum := 0.0
	for _, f := range flows {
		sum += f.RateShare
	}
	return sum
}

const (
	quotaDuration    = 20 * time.Second
	quotaRate        = 300.0 // calls per second, sum of the rate limits of all workspaces
	steadyRateFactor = 0.8   // multiple of the rate limits
	excessRateFactor = 3.0
	maxSteadyRefused = 0.001
	maxMovingRefused = 0.01
	maxSpreadSeconds = 2.0 // seconds
	rolloutCount     = 10
	outageDuration   = 30 * time.Second
	outageDelay      = 4 * time.Second
	rollRate         = 150.0
)

// singleHopExample returns an example in which every call is a single hop to a target
// with a short service time, so that only the rate limits cause refusals.
func singleHopExample(name string) (fleet.Deployment, manifest.Manifest, error) {
	d, m, err := fleet.LoadExample(name)
	if err != nil {
		return d, m, err
	}
	var flows []routeLoad
	for i := range d.Services {
		for k := range d.Services[i].Behaviours {
			b := &d.Services[i].Behaviours[k]
			b.ServiceTime.Duration, b.ChildCalls = 2*time.Millisecond, nil
			flows = append(flows, routeLoad{Method: "GET", Path: b.Path})
		}
	}
	flows = slices.DeleteFunc(flows, func(f routeLoad) bool {
		return !slices.ContainsFunc(m.Routes, func(r manifest.Route) bool {
			return r.Path == f.Path && r.Method == f.Method && !r.Public
		})
	})[:2]
	for i := range flows {
		flows[i].RateShare = 0.5
	}
	d.Load = flows
	return d, scaleRates(m, quotaRate), nil
}

// excessRuns returns by how many calls the targets' runs exceed rate*t + burst in the
// worst window of any workspace. It replays the runs against a token bucket per
// workspace.
func excessRuns(runs []standin.RunStats, streams []standin.Stream, m manifest.Manifest) float64 {
	began := map[string][]time.Time{}
	for _, r := range runs {
		var round, stream, n int
		if _, err := fmt.Sscanf(r.RootID, "%d.%d-%d", &round, &stream, &n); err != nil {
			continue
		}
		w := streams[stream].Workspace
		began[w] = append(began[w], r.FirstStart)
	}
	worst := 0.0
	for _, w := range m.Workspaces {
		times := began[w.Name]
		slices.SortFunc(times, time.Time.Compare)
		tokens := float64(w.Burst)
		for i, at := range times {
			if i > 0 {
				tokens = min(float64(w.Burst), tokens+w.Rate*at.Sub(times[i-1]).Seconds())
			}
			tokens--
			worst = max(worst, -tokens)
		}
	}
	return worst
}

// newSingleHopTestbed starts a testbed of a single-hop example.
func newSingleHopTestbed(ctx context.Context, r options, lease, grace time.Duration) (*testbed, error) {
	d, m, err := singleHopExample(r.Example)
	if err != nil {
		return nil, err
	}
	return newTestbed(ctx, testbedConfig{deployment: d, manifest: m, policy: policyCelery, keepDir: r.KeepDir, leaseTTL: lease, drainGrace: grace})
}

// applyFault calls first after the time lead and second after the further time while. The
// channel receives their combined error.
func applyFault(lead, while time.Duration, first, second func() error) <-chan error {
	failed := make(chan error, 1)
	go func() {
		time.Sleep(lead)
		err := first()
		time.Sleep(while)
		failed <- errors.CombineErrors(err, second())
	}()
	return failed
}

func anySample(*standin.Sample) bool { return true }

// quotas sends steady demand within the rate limits, demand that moves from node to
// node, and then three times the rate limits.
func quotas(ctx context.Context, r options) (Result, error) {
	l, err := newSingleHopTestbed(ctx, r, 0, 0)
	if err != nil {
		return Result{}, err
	}
	defer l.close()
	d, m := l.deployment, l.manifest
	entries := l.plan.CallerAddrs()
	streams := d.Streams(steadyRateFactor * quotaRate)
	steady := l.sendWithoutRetries(ctx, r, streams, quotaDuration)
	var moving []standin.Sample
	for i := range 5 {
		moving = append(moving, l.runLoad(ctx, r, standin.LoadConfig{
			Streams: streams, Duration: 2 * time.Second, EntryAddresses: entries[i : i+1],
		})...)
	}
	l.sendWithoutRetries(ctx, r, d.Streams(excessRateFactor*quotaRate), quotaDuration/2)
	runs, err := l.runs()
	if err != nil {
		return Result{}, err
	}
	calls, bytes := l.controlRates(ctx)
	out := Result{Figures: Figures{
		Over:   floatPtr(excessRuns(runs, streams, m)),
		Wrong:  floatPtr(1 - answeredShare(steady, 0, quotaDuration, anySample)),
		Moving: floatPtr(1 - answeredShare(moving, 0, quotaDuration, anySample)),
		Sent:   countPtr(len(steady)), Calls: calls, Bytes: bytes, Why: failureCauses(append(steady, moving...)),
	}}
	out.OK = *out.Over == 0 && *out.Wrong <= maxSteadyRefused && *out.Moving <= maxMovingRefused
	return out, nil
}

// controlRates returns the store calls and control bytes per node and second, from the
// nodes' counters over a window of three seconds.
func (l *testbed) controlRates(ctx context.Context) (calls, bytes *float64) {
	const window = 3 * time.Second
	c1, b1 := l.controlCounts(ctx)
	time.Sleep(window)
	c2, b2 := l.controlCounts(ctx)
	n := float64(len(l.plan.VMs)) * window.Seconds()
	return floatPtr((c2 - c1) / n), floatPtr((b2 - b1) / n)
}

func (l *testbed) controlCounts(ctx context.Context) (calls, bytes float64) {
	for _, u := range l.plan.VMs {
		s, err := l.status(ctx, u.Settings.Name)
		if err != nil {
			continue
		}
		calls += float64(s.StoreCalls)
		bytes += float64(s.ControlBytesSent)
	}
	return calls, bytes
}

// rollout applies manifests and measures the time until the last node enforces each.
// Every other one, from the first, revokes a key that open connections still use.
func rollout(ctx context.Context, r options) (Result, error) {
	l, err := newSingleHopTestbed(ctx, r, 0, 0)
	if err != nil {
		return Result{}, err
	}
	defer l.close()
	d, m := l.deployment, l.manifest
	with, withoutKeys := m, m
	withoutKeys.Workspaces = slices.Clone(m.Workspaces)
	withoutKeys.Workspaces[0].Keys = nil
	worst, back := time.Duration(0), 0
	for i := range rolloutCount {
		next := with
		if i%2 == 0 {
			next = withoutKeys
		}
		start := time.Now()
		if err := l.apply(ctx, next); err != nil {
			return Result{}, err
		}
		took, reverted := l.awaitKeyState(ctx, d.Callers[0].Key, i%2 == 1, start)
		worst = max(worst, took)
		back += reverted
	}
	out := Result{Figures: Figures{Spread: floatPtr(worst.Seconds()), Back: countPtr(back)}}
	out.OK = worst.Seconds() <= maxSpreadSeconds && back == 0
	return out, nil
}

// awaitKeyState polls every node over a kept-alive connection until all of them accept
// the key, or refuse it, as expected, or a timeout passes. It then checks every node
// five more times and counts the checks with the other result.
func (l *testbed) awaitKeyState(ctx context.Context, key string, accepted bool, start time.Time) (took time.Duration, reverted int) {
	path := l.deployment.Load[0].Path
	ask := func(at netip.AddrPort) bool { return get(ctx, at, path, key) != 401 }
	for _, at := range l.plan.CallerAddrs() {
		for ask(at) != accepted && time.Since(start) < 4*time.Duration(maxSpreadSeconds)*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
	}
	took = time.Since(start)
	for range 5 {
		for _, at := range l.plan.CallerAddrs() {
			if ask(at) != accepted {
				reverted++
			}
		}
	}
	return took, reverted
}

// storeout makes the store unreachable under load.
func storeout(ctx context.Context, r options) (Result, error) {
	l, err := newSingleHopTestbed(ctx, r, 0, 0)
	if err != nil {
		return Result{}, err
	}
	defer l.close()
	d, m := l.deployment, l.manifest
	failed := applyFault(outageDelay, outageDuration,
		func() error { return l.setStoreFaults(standin.StoreFaults{Unavailable: true}) },
		func() error { return l.setStoreFaults(standin.StoreFaults{}) })
	total := outageDuration + 2*outageDelay
	streams := d.Streams(steadyRateFactor * quotaRate)
	samples := l.sendWithoutRetries(ctx, r, streams, total)
	if err := <-failed; err != nil {
		return Result{}, err
	}
	runs, err := l.runs()
	if err != nil {
		return Result{}, err
	}
	out := Result{Figures: Figures{
		Lost: countPtr(countUnanswered(samples)), Wrong: floatPtr(1 - answeredShare(samples, 0, total, anySample)),
		Over: floatPtr(excessRuns(runs, streams, m)), Sent: countPtr(len(samples)), Why: failureCauses(samples),
	}}
	out.OK = *out.Lost == 0 && *out.Wrong <= maxSteadyRefused && *out.Over == 0
	return out, nil
}

// countUnanswered counts the calls that were neither answered in full nor refused.
func countUnanswered(samples []standin.Sample) int {
	n := 0
	for _, s := range samples {
		if isUnanswered(s) {
			n++
		}
	}
	return n
}

// isUnanswered reports whether a call was neither answered in full nor refused.
func isUnanswered(s standin.Sample) bool {
	return s.Status == 0 || s.ResponseMismatch || strings.HasPrefix(s.Reason, "attempt-failed")
}
