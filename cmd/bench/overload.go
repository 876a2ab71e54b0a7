package main

import (
	"context"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/fleet"
	"celeryshelf/internal/standin"
)

const (
	calmShare      = 0.4
	overloadFactor = 3.0
	calmTime       = 5 * time.Second
	peakTime       = 5 * time.Second
	overloadTime   = 12 * time.Second
	overloadSkip   = 3 * time.Second // until the overload has reached every service
	minRatio       = 0.95
	minVital       = 0.999
	maxWaste       = 0.03
	maxP99Ratio    = 2.0
)

// overload sends three times the targets' capacity.
func overload(ctx context.Context, r options) (Result, error) {
	d, m, err := loadExample(r.Example)
	if err != nil {
		return Result{}, err
	}
	limit := capacity(d)
	m = scaleRates(m, 2*overloadFactor*limit)
	var out Result
	var traces []policySamples
	for _, p := range policies(r) {
		f, samples, err := measureOverload(ctx, r, d, m, p, limit)
		if err != nil {
			return out, err
		}
		traces = append(traces, policySamples{policy: p, samples: samples})
		out.setFigures(p, f)
	}
	out.OK = *out.Ratio >= minRatio && *out.Vital >= minVital && *out.Waste <= maxWaste && *out.P99 <= maxP99Ratio**out.Calm
	return out, writePlots(r, traces)
}

// policies returns the policies that an experiment compares, celery first.
func policies(r options) []policy {
	if r.SkipBaselines {
		return []policy{policyCelery}
	}
	return []policy{policyCelery, policyOff, policyStatic}
}

// setFigures stores the figures of one policy.
func (r *Result) setFigures(p policy, f Figures) {
	switch p {
	case policyCelery:
		r.Figures = f
	case policyOff:
		r.Off = &f
	case policyStatic:
		r.Static = &f
	}
}

func measureOverload(ctx context.Context, r options, d fleet.Deployment, m manifest.Manifest, p policy, limit float64) (Figures, []standin.Sample, error) {
	l, err := newTestbed(ctx, testbedConfig{deployment: d, manifest: m, policy: p, keepDir: r.KeepDir})
	if err != nil {
		return Figures{}, nil, err
	}
	defer l.close()
	calm := l.sendAtRate(ctx, r, calmShare*limit, calmTime)
	f := Figures{Calm: millisPtr(p99Latency(calm, calmTime/2, calmTime))}
	peak := 0.0
	if p == policyCelery {
		peak = l.peak(ctx, r, limit)
		f.Peak = floatPtr(peak)
	}
	samples := l.sendAtRate(ctx, r, overloadFactor*limit, overloadTime)
	runs, err := l.runs()
	if err != nil {
		return f, nil, err
	}
	good := goodput(samples, overloadSkip, overloadTime)
	f.Good, f.P99 = floatPtr(good), millisPtr(p99Latency(samples, overloadSkip, overloadTime))
	if p == policyCelery {
		f.Ratio = floatPtr(good / peak)
	}
	streams := d.Streams(1)
	f.Vital = floatPtr(answeredShare(samples, overloadSkip, overloadTime, func(s *standin.Sample) bool { return streams[s.Stream].Important }))
	f.Waste = floatPtr(wastedShare(runs, samples))
	f.Why = failureCauses(samples)
	return f, samples, nil
}

// peak returns the highest goodput at 0.85, 0.95 and 1.05 of the capacity.
func (l *testbed) peak(ctx context.Context, r options, limit float64) float64 {
	best := 0.0
	for _, share := range []float64{0.85, 0.95, 1.05} {
		samples := l.sendAtRate(ctx, r, share*limit, peakTime)
		best = max(best, goodput(samples, peakTime/5, peakTime))
	}
	return best
}
