package main

import (
	"context"
	"time"

	"celeryshelf/internal/standin"
)

const (
	fairTotal    = 0.8 // of capacity, when every workspace is at its rate
	fairTimes    = 5.0
	fairTime     = 10 * time.Second
	fairSkip     = 2 * time.Second
	minWorst     = 0.98
	insideTotal  = 0.8
	insideShare  = 0.85 // of its rate that each workspace sends
	insideTime   = 25 * time.Second
	insideFactor = 3 // of the slow endpoint's service time
	maxWrong     = 0.0005
)

// fair has one workspace send five times its rate.
func fair(ctx context.Context, r request) (Result, error) {
	d, m, err := example(r.Example)
	if err != nil {
		return Result{}, err
	}
	rate := fairTotal * capacity(d)
	m = scaleRates(m, rate)
	streams := d.Streams(rate)
	greedy := m.Workspaces[0].Name
	var out Result
	var traces []trace
	for _, p := range policies(r) {
		l, err := newLab(ctx, labConfig{deployment: d, manifest: m, policy: p, keep: r.Keep})
		if err != nil {
			return out, err
		}
		alone := l.send(ctx, r, without(streams, greedy), fairTime)
		samples := l.send(ctx, r, faster(streams, greedy, fairTimes), fairTime)
		l.close()
		traces = append(traces, trace{policy: p, samples: samples})
		worst := 1.0
		for _, w := range m.Workspaces[1:] {
			before := shareOf(alone, without(streams, greedy), w.Name)
			worst = min(worst, shareOf(samples, streams, w.Name)/before)
		}
		out.put(p, Figures{Worst: num(worst), Good: num(goodput(samples, fairSkip, fairTime)), Why: causes(samples)})
	}
	out.OK = *out.Worst >= minWorst
	return out, plot(r, traces)
}

// faster multiplies the rate of one workspace's streams.
func faster(streams []standin.Stream, workspace string, times float64) []standin.Stream {
	out := append([]standin.Stream(nil), streams...)
	for i := range out {
		if out[i].Workspace == workspace {
			out[i].Rate *= times
		}
	}
	return out
}

// shareOf returns the share of a workspace's calls that were answered.
func shareOf(samples []standin.Sample, streams []standin.Stream, workspace string) float64 {
	return answered(samples, fairSkip, fairTime, func(s *standin.Sample) bool { return streams[s.Stream].Workspace == workspace })
}

// inside has every workspace stay within its rate, with one slow endpoint.
func inside(ctx context.Context, r request) (Result, error) {
	d, m, err := example(r.Example)
	if err != nil {
		return Result{}, err
	}
	rate := insideTotal * capacity(d)
	m = scaleRates(m, rate/insideShare)
	var out Result
	var traces []trace
	for _, p := range policies(r) {
		l, err := newLab(ctx, labConfig{deployment: d, manifest: m, policy: p, keep: r.Keep})
		if err != nil {
			return out, err
		}
		slow := l.plan.VMs[0].Settings.Name
		err = l.targetFaults(slow, standin.TargetFaults{ServiceTimeFactor: insideFactor})
		samples := l.patient(ctx, r, l.deployment.Streams(rate), insideTime)
		l.close()
		if err != nil {
			return out, err
		}
		traces = append(traces, trace{policy: p, samples: samples})
		out.put(p, Figures{
			Wrong: num(1 - answered(samples, 0, insideTime, func(*standin.Sample) bool { return true })),
			Sent:  count(len(samples)), Why: causes(samples), P99: millis(p99(samples, fairSkip, insideTime)),
		})
	}
	out.OK = *out.Wrong <= maxWrong
	return out, plot(r, traces)
}
