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

type fleetFlow = fleet.RouteLoad

// flowShare adds up the shares of flows.
func flowShare(flows []fleetFlow) float64 {
	sum := 0.0
	for _, f := range flows {
		sum += f.RateShare
	}
	return sum
}

const (
	quotaTime    = 20 * time.Second
	quotaRate    = 300.0 // of all workspaces
	quotaSteady  = 0.8   // of their rates
	quotaGreedy  = 3.0
	maxSteady    = 0.001
	maxMoving    = 0.01
	maxSpread    = 2.0 // seconds
	rolloutTimes = 10
	outageTime   = 30 * time.Second
	outageLead   = 4 * time.Second
	rollRate     = 150.0
)

// plain returns an example in which every call is one hop to a quick target, so
// that the rates alone decide.
func plain(name string) (fleet.Deployment, manifest.Manifest, error) {
	d, m, err := fleet.LoadExample(name)
	if err != nil {
		return d, m, err
	}
	var flows []fleetFlow
	for i := range d.Services {
		for k := range d.Services[i].Behaviours {
			b := &d.Services[i].Behaviours[k]
			b.ServiceTime.Duration, b.ChildCalls = 2*time.Millisecond, nil
			flows = append(flows, fleetFlow{Method: "GET", Path: b.Path})
		}
	}
	flows = slices.DeleteFunc(flows, func(f fleetFlow) bool {
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

// over returns by how many calls the targets' runs exceed rate*t + burst in the
// worst window of the worst workspace.
func over(runs []standin.RunStats, streams []standin.Stream, m manifest.Manifest) float64 {
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

// plainLab starts a lab of a plain example.
func plainLab(ctx context.Context, r request, lease, grace time.Duration) (*lab, error) {
	d, m, err := plain(r.Example)
	if err != nil {
		return nil, err
	}
	return newLab(ctx, labConfig{deployment: d, manifest: m, policy: celery, keep: r.Keep, lease: lease, grace: grace})
}

// between does one thing after a lead time and another after a while, and hands
// on what went wrong.
func between(lead, while time.Duration, first, second func() error) <-chan error {
	failed := make(chan error, 1)
	go func() {
		time.Sleep(lead)
		err := first()
		time.Sleep(while)
		failed <- errors.CombineErrors(err, second())
	}()
	return failed
}

func everyone(*standin.Sample) bool { return true }

// quota sends steady demand within the rates, demand that moves to other nodes,
// and then three times the rates.
func quotas(ctx context.Context, r request) (Result, error) {
	l, err := plainLab(ctx, r, 0, 0)
	if err != nil {
		return Result{}, err
	}
	defer l.close()
	d, m := l.deployment, l.manifest
	entries := l.plan.CallerAddrs()
	streams := d.Streams(quotaSteady * quotaRate)
	steady := l.patient(ctx, r, streams, quotaTime)
	var moving []standin.Sample
	for i := range 5 {
		moving = append(moving, l.load(ctx, r, standin.LoadConfig{
			Streams: streams, Duration: 2 * time.Second, EntryAddresses: entries[i : i+1],
		})...)
	}
	l.patient(ctx, r, d.Streams(quotaGreedy*quotaRate), quotaTime/2)
	runs, err := l.runs()
	if err != nil {
		return Result{}, err
	}
	calls, bytes := l.costs(ctx)
	out := Result{Figures: Figures{
		Over:   num(over(runs, streams, m)),
		Wrong:  num(1 - answered(steady, 0, quotaTime, everyone)),
		Moving: num(1 - answered(moving, 0, quotaTime, everyone)),
		Sent:   count(len(steady)), Calls: calls, Bytes: bytes, Why: causes(append(steady, moving...)),
	}}
	out.OK = *out.Over == 0 && *out.Wrong <= maxSteady && *out.Moving <= maxMoving
	return out, nil
}

// costs returns the store calls and control bytes of a node a second, from the
// nodes' own counts over their time since the start.
func (l *lab) costs(ctx context.Context) (calls, bytes *float64) {
	const window = 3 * time.Second
	c1, b1 := l.counts(ctx)
	time.Sleep(window)
	c2, b2 := l.counts(ctx)
	n := float64(len(l.plan.VMs)) * window.Seconds()
	return num((c2 - c1) / n), num((b2 - b1) / n)
}

func (l *lab) counts(ctx context.Context) (calls, bytes float64) {
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

// rollout applies manifests and times until the last node has each in force; the
// even ones withdraw a key that an open connection goes on using.
func rollout(ctx context.Context, r request) (Result, error) {
	l, err := plainLab(ctx, r, 0, 0)
	if err != nil {
		return Result{}, err
	}
	defer l.close()
	d, m := l.deployment, l.manifest
	with, withoutKeys := m, m
	withoutKeys.Workspaces = slices.Clone(m.Workspaces)
	withoutKeys.Workspaces[0].Keys = nil
	worst, back := time.Duration(0), 0
	for i := range rolloutTimes {
		next := with
		if i%2 == 0 {
			next = withoutKeys
		}
		start := time.Now()
		if err := l.apply(ctx, next); err != nil {
			return Result{}, err
		}
		took, reverted := l.watchKey(ctx, d.Callers[0].Key, i%2 == 1, start)
		worst = max(worst, took)
		back += reverted
	}
	out := Result{Figures: Figures{Spread: num(worst.Seconds()), Back: count(back)}}
	out.OK = worst.Seconds() <= maxSpread && back == 0
	return out, nil
}

// watchKey calls every node over a connection that stays open until all of them
// accept the key, or refuse it, and then looks whether any changes its mind.
func (l *lab) watchKey(ctx context.Context, key string, accepted bool, start time.Time) (took time.Duration, reverted int) {
	path := l.deployment.Load[0].Path
	ask := func(at netip.AddrPort) bool { return get(ctx, at, path, key) != 401 }
	for _, at := range l.plan.CallerAddrs() {
		for ask(at) != accepted && time.Since(start) < 4*time.Duration(maxSpread)*time.Second {
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

// storeout takes the store away under load.
func storeout(ctx context.Context, r request) (Result, error) {
	l, err := plainLab(ctx, r, 0, 0)
	if err != nil {
		return Result{}, err
	}
	defer l.close()
	d, m := l.deployment, l.manifest
	failed := between(outageLead, outageTime,
		func() error { return l.storeFaults(standin.StoreFaults{Unavailable: true}) },
		func() error { return l.storeFaults(standin.StoreFaults{}) })
	total := outageTime + 2*outageLead
	streams := d.Streams(quotaSteady * quotaRate)
	samples := l.patient(ctx, r, streams, total)
	if err := <-failed; err != nil {
		return Result{}, err
	}
	runs, err := l.runs()
	if err != nil {
		return Result{}, err
	}
	out := Result{Figures: Figures{
		Lost: count(unanswered(samples)), Wrong: num(1 - answered(samples, 0, total, everyone)),
		Over: num(over(runs, streams, m)), Sent: count(len(samples)), Why: causes(samples),
	}}
	out.OK = *out.Lost == 0 && *out.Wrong <= maxSteady && *out.Over == 0
	return out, nil
}

// unanswered counts the calls without an answer or refusal.
func unanswered(samples []standin.Sample) int {
	n := 0
	for _, s := range samples {
		if failedUnderway(s) {
			n++
		}
	}
	return n
}

// failedUnderway reports a call that was neither answered whole nor refused.
func failedUnderway(s standin.Sample) bool {
	return s.Status == 0 || s.ResponseMismatch || strings.HasPrefix(s.Reason, "attempt-failed")
}
