package main

import (
	"context"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/fleet"
	"celeryshelf/internal/standin"
)

const (
	recoveryShare     = 0.8
	recoveryBefore    = 5 * time.Second
	recoveryFault     = 10 * time.Second
	recoveryAfter     = 8 * time.Second
	slowFactor        = 10
	recoveryQueue     = 1000 // target queue length; calls wait longer than their callers' timeout
	maxRecover        = 1.0  // seconds
	recoverShare      = 0.95
	recoverWindow     = 1 * time.Second
	recoverStep       = 100 * time.Millisecond
	maxCollapsedRatio = 0.8 // the goodput ratio of policyOff at the end must stay below this
)

// deepest returns the last service of the call chain of an example's first route,
// following the first child of each call.
func deepest(d fleet.Deployment) string {
	_, service := findBehaviour(d, d.Load[0].Path)
	for b, _ := findBehaviour(d, d.Load[0].Path); len(b.ChildCalls) > 0; {
		b, service = findBehaviour(d, b.ChildCalls[0].Path)
	}
	return service
}

// recovery makes a deep service ten times slower for ten seconds while callers retry.
func recovery(ctx context.Context, r options) (Result, error) {
	d, m, err := loadExample(r.Example)
	if err != nil {
		return Result{}, err
	}
	limit := capacity(d)
	m = scaleRates(m, 4*limit)
	for i := range d.Services {
		d.Services[i].Queue = recoveryQueue
	}
	var out Result
	var traces []policySamples
	for _, p := range policies(r) {
		f, samples, err := measureRecovery(ctx, r, d, m, p, recoveryShare*limit)
		if err != nil {
			return out, err
		}
		traces = append(traces, policySamples{policy: p, samples: samples})
		out.setFigures(p, f)
	}
	out.OK = *out.Recover >= 0 && *out.Recover <= maxRecover
	if out.Off != nil {
		out.OK = out.OK && *out.Off.Ratio < maxCollapsedRatio
	}
	return out, writePlots(r, traces)
}

func measureRecovery(ctx context.Context, r options, d fleet.Deployment, m manifest.Manifest, p policy, rate float64) (Figures, []standin.Sample, error) {
	l, err := newTestbed(ctx, testbedConfig{deployment: d, manifest: m, policy: p, keepDir: r.KeepDir, ignoreCancellation: true})
	if err != nil {
		return Figures{}, nil, err
	}
	defer l.close()
	l.sendAtRate(ctx, r, rate/2, 2*time.Second) // warm-up, so that the cold start is not measured
	service := deepest(d)
	failed := applyFault(recoveryBefore, recoveryFault,
		func() error { return l.setServiceFaults(service, standin.TargetFaults{ServiceTimeFactor: slowFactor}) },
		func() error { return l.setServiceFaults(service, standin.TargetFaults{}) })
	total := recoveryBefore + recoveryFault + recoveryAfter
	samples := l.sendAtRate(ctx, r, rate, total)
	if err := <-failed; err != nil {
		return Figures{}, nil, err
	}
	before := goodput(samples, recoveryBefore/5, recoveryBefore)
	healed := recoveryBefore + recoveryFault
	f := Figures{
		Good: floatPtr(before), Recover: floatPtr(recoveryTime(samples, before, healed, total)),
		Low: floatPtr(lowestGoodput(samples, recoveryBefore, healed) / before),
	}
	end := goodput(samples, total-2*recoverWindow, total)
	f.Ratio = floatPtr(end / before)
	f.Why = failureCauses(samples)
	return f, samples, nil
}

// recoveryTime returns the seconds from the end of the fault to the first window in
// which goodput reaches recoverShare of its value before, or -1.
func recoveryTime(samples []standin.Sample, before float64, healed, end time.Duration) float64 {
	for at := healed; at+recoverWindow <= end; at += recoverStep {
		if goodput(samples, at, at+recoverWindow) >= recoverShare*before {
			return (at - healed).Seconds()
		}
	}
	return -1
}

func lowestGoodput(samples []standin.Sample, from, to time.Duration) float64 {
	least := goodput(samples, from, to)
	for at := from; at+time.Second <= to; at += time.Second {
		least = min(least, goodput(samples, at, at+time.Second))
	}
	return least
}
