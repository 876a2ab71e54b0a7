package main

import (
	"context"
	"time"

	"celeryshelf/internal/standin"
)

const (
	fairLoadShare    = 0.8 // of capacity, when every workspace sends at its rate limit
	greedyRateFactor = 5.0
	fairTime         = 10 * time.Second
	fairSkip         = 2 * time.Second
	minWorst         = 0.98
	insideLoadShare  = 0.8
	insideShare      = 0.85 // share of its rate limit at which each workspace sends
	insideTime       = 25 * time.Second
	insideFactor     = 3 // multiplies the slow endpoint's service time
	maxWrong         = 0.0005
)

// fair makes one workspace send at five times its rate limit and measures the share
// of the other workspaces' calls that are still answered.
func fair(ctx context.Context, r options) (Result, error) {
	d, m, err := loadExample(r.Example)
	if err != nil {
		return Result{}, err
	}
	rate := fairLoadShare * capacity(d)
	m = scaleRates(m, rate)
	streams := d.Streams(rate)
	greedy := m.Workspaces[0].Name
	var out Result
	var traces []policySamples
	for _, p := range policies(r) {
		l, err := newTestbed(ctx, testbedConfig{deployment: d, manifest: m, policy: p, keepDir: r.KeepDir})
		if err != nil {
			return out, err
		}
		alone := l.sendWithRetries(ctx, r, withoutWorkspace(streams, greedy), fairTime)
		samples := l.sendWithRetries(ctx, r, scaleStreams(streams, greedy, greedyRateFactor), fairTime)
		l.close()
		traces = append(traces, policySamples{policy: p, samples: samples})
		worst := 1.0
		for _, w := range m.Workspaces[1:] {
			before := answeredShareOf(alone, withoutWorkspace(streams, greedy), w.Name)
			worst = min(worst, answeredShareOf(samples, streams, w.Name)/before)
		}
		out.setFigures(p, Figures{Worst: floatPtr(worst), Good: floatPtr(goodput(samples, fairSkip, fairTime)), Why: failureCauses(samples)})
	}
	out.OK = *out.Worst >= minWorst
	return out, writePlots(r, traces)
}

// scaleStreams multiplies the rate of one workspace's streams.
func scaleStreams(streams []standin.Stream, workspace string, times float64) []standin.Stream {
	out := append([]standin.Stream(nil), streams...)
	for i := range out {
		if out[i].Workspace == workspace {
			out[i].Rate *= times
		}
	}
	return out
}

// answeredShareOf returns the share of a workspace's calls that were answered.
func answeredShareOf(samples []standin.Sample, streams []standin.Stream, workspace string) float64 {
	return answeredShare(samples, fairSkip, fairTime, func(s *standin.Sample) bool { return streams[s.Stream].Workspace == workspace })
}

// inside sends load within every workspace's rate limit while one endpoint is slow.
func inside(ctx context.Context, r options) (Result, error) {
	d, m, err := loadExample(r.Example)
	if err != nil {
		return Result{}, err
	}
	rate := insideLoadShare * capacity(d)
	m = scaleRates(m, rate/insideShare)
	var out Result
	var traces []policySamples
	for _, p := range policies(r) {
		l, err := newTestbed(ctx, testbedConfig{deployment: d, manifest: m, policy: p, keepDir: r.KeepDir})
		if err != nil {
			return out, err
		}
		slow := l.plan.VMs[0].Settings.Name
		err = l.setTargetFaults(slow, standin.TargetFaults{ServiceTimeFactor: insideFactor})
		samples := l.sendWithoutRetries(ctx, r, l.deployment.Streams(rate), insideTime)
		l.close()
		if err != nil {
			return out, err
		}
		traces = append(traces, policySamples{policy: p, samples: samples})
		out.setFigures(p, Figures{
			Wrong: floatPtr(1 - answeredShare(samples, 0, insideTime, func(*standin.Sample) bool { return true })),
			Sent:  countPtr(len(samples)), Why: failureCauses(samples), P99: millisPtr(p99Latency(samples, fairSkip, insideTime)),
		})
	}
	out.OK = *out.Wrong <= maxWrong
	return out, writePlots(r, traces)
}
