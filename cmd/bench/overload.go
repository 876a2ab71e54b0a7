package main

import (
	"context"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/fleet"
	"celeryshelf/internal/standin"
)

const (
	calmShare     = 0.4
	overloadTimes = 3.0
	calmTime      = 5 * time.Second
	peakTime      = 5 * time.Second
	overloadTime  = 12 * time.Second
	overloadSkip  = 3 * time.Second // until the overload is felt everywhere
	minRatio      = 0.95
	minVital      = 0.999
	maxWaste      = 0.03
	maxStretch    = 2.0
)

// overload sends three times what the targets can carry.
func overload(ctx context.Context, r request) (Result, error) {
	d, m, err := example(r.Example)
	if err != nil {
		return Result{}, err
	}
	limit := capacity(d)
	m = scaleRates(m, 2*overloadTimes*limit)
	var out Result
	var traces []trace
	for _, p := range policies(r) {
		f, samples, err := overloaded(ctx, r, d, m, p, limit)
		if err != nil {
			return out, err
		}
		traces = append(traces, trace{policy: p, samples: samples})
		out.put(p, f)
	}
	out.OK = *out.Ratio >= minRatio && *out.Vital >= minVital && *out.Waste <= maxWaste && *out.P99 <= maxStretch**out.Calm
	return out, plot(r, traces)
}

// policies returns what an experiment compares, the system itself first.
func policies(r request) []policy {
	if r.Alone {
		return []policy{celery}
	}
	return []policy{celery, off, static}
}

// put files the figures of one policy.
func (r *Result) put(p policy, f Figures) {
	switch p {
	case celery:
		r.Figures = f
	case off:
		r.Off = &f
	case static:
		r.Static = &f
	}
}

func overloaded(ctx context.Context, r request, d fleet.Deployment, m manifest.Manifest, p policy, limit float64) (Figures, []standin.Sample, error) {
	l, err := newLab(ctx, labConfig{deployment: d, manifest: m, policy: p, keep: r.Keep})
	if err != nil {
		return Figures{}, nil, err
	}
	defer l.close()
	calm := l.drive(ctx, r, calmShare*limit, calmTime)
	f := Figures{Calm: millis(p99(calm, calmTime/2, calmTime))}
	peak := 0.0
	if p == celery {
		peak = l.peak(ctx, r, limit)
		f.Peak = num(peak)
	}
	samples := l.drive(ctx, r, overloadTimes*limit, overloadTime)
	runs, err := l.runs()
	if err != nil {
		return f, nil, err
	}
	good := goodput(samples, overloadSkip, overloadTime)
	f.Good, f.P99 = num(good), millis(p99(samples, overloadSkip, overloadTime))
	if p == celery {
		f.Ratio = num(good / peak)
	}
	streams := d.Streams(1)
	f.Vital = num(answered(samples, overloadSkip, overloadTime, func(s *standin.Sample) bool { return streams[s.Stream].Important }))
	f.Waste = num(waste(runs, samples))
	f.Why = causes(samples)
	return f, samples, nil
}

// peak returns the best goodput at demands around the capacity.
func (l *lab) peak(ctx context.Context, r request, limit float64) float64 {
	best := 0.0
	for _, share := range []float64{0.85, 0.95, 1.05} {
		samples := l.drive(ctx, r, share*limit, peakTime)
		best = max(best, goodput(samples, peakTime/5, peakTime))
	}
	return best
}
