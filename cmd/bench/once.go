package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"celeryshelf/internal/standin"
)

const (
	onceRate       = 360.0
	onceTime       = 32 * time.Second
	faultInterval  = 2500 * time.Millisecond // pause before each fault
	faultDuration  = 800 * time.Millisecond
	answerDelay    = 3 * time.Second // longer than the timeout of every caller
	minOnceCalls   = 10_000
	maxTries       = 1.1
	faultShare     = 0.05
	retryRate      = 60.0
	retryTime      = 15 * time.Second
	targetAttempts = 3 // attempts that a target makes at a child call
)

// once sends non-idempotent calls while nodes and targets are killed or suspended and
// answers arrive after the callers' timeout.
func once(ctx context.Context, r options) (Result, error) {
	d, m, err := loadExample(r.Example)
	if err != nil {
		return Result{}, err
	}
	m = scaleRates(m, 6*onceRate)
	d.Load = slices.DeleteFunc(d.Load, func(f routeLoad) bool { return !f.AtMostOnce })
	l, err := newTestbed(ctx, testbedConfig{deployment: d, manifest: m, policy: policyCelery, keepDir: r.KeepDir, leaseTTL: 10 * time.Second})
	if err != nil {
		return Result{}, err
	}
	defer l.close()
	stop, cancel := context.WithCancel(ctx)
	var earlier []standin.RunStats
	failed := make(chan error, 1)
	go func() { failed <- l.injectFaults(stop, &earlier) }()
	streams := d.Streams(onceRate / rateShareSum(d.Load))
	samples := l.runLoad(ctx, r, standin.LoadConfig{
		Streams: streams, Duration: onceTime, MaxRetries: callerRetries, MeanRetryDelay: retryPause, SendIdempotencyKey: true,
	})
	cancel()
	if err := <-failed; err != nil {
		return Result{}, err
	}
	runs, err := l.runs()
	if err != nil {
		return Result{}, err
	}
	doubled, lies := l.countViolations(append(earlier, runs...), samples)
	out := Result{Figures: Figures{
		Sent: countPtr(len(samples)), Doubled: countPtr(doubled), Lies: countPtr(lies),
		Good: floatPtr(answeredShare(samples, 0, onceTime, func(*standin.Sample) bool { return true })), Why: failureCauses(samples),
	}}
	out.OK = len(samples) >= minOnceCalls && doubled == 0 && lies == 0
	return out, nil
}

// injectFaults injects one fault at a time, on one VM after the other, until the context ends.
// It appends the recorded runs of killed targets to earlier.
func (l *testbed) injectFaults(ctx context.Context, earlier *[]standin.RunStats) error {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(faultInterval):
		}
		u := l.plan.VMs[(n*5)%len(l.plan.VMs)]
		name := u.Settings.Name
		var err error
		switch n % 4 {
		case 0:
			err = l.restartNode(name)
		case 1:
			err = l.setTargetFaults(name, standin.TargetFaults{ResponseDelay: answerDelay})
			time.Sleep(faultDuration)
			err = errors.CombineErrors(err, l.setTargetFaults(name, standin.TargetFaults{}))
		case 2:
			err = l.restartTarget(name, earlier)
		case 3:
			err = errors.CombineErrors(l.nodes[name].Suspend(), func() error { time.Sleep(faultDuration); return l.nodes[name].Resume() }())
		}
		if err != nil {
			return fmt.Errorf("fault %d at %s: %w", n, name, err)
		}
	}
}

// restartNode kills a node and starts it again.
func (l *testbed) restartNode(name string) error {
	if err := l.nodes[name].Kill(); err != nil {
		return err
	}
	_ = l.nodes[name].Wait(stopTimeout)
	time.Sleep(faultDuration)
	return l.startNode(l.vm(name))
}

// restartTarget kills and restarts a target and its node. The node is suspended first, so
// that the target receives no more calls after its runs have been fetched.
func (l *testbed) restartTarget(name string, earlier *[]standin.RunStats) error {
	if err := l.nodes[name].Suspend(); err != nil {
		return err
	}
	time.Sleep(faultDuration / 2)
	runs, err := l.targetRuns(l.vm(name))
	if err != nil {
		return err
	}
	*earlier = append(*earlier, runs...)
	if err := l.targets[name].Kill(); err != nil {
		return err
	}
	_ = l.targets[name].Wait(stopTimeout)
	if err := l.startTarget(l.vm(name)); err != nil {
		return err
	}
	return l.restartNode(name)
}

// countViolations counts, over all targets, the at-most-once calls that ran more than once,
// and the calls that ran more often than their attempts that were not refused as not
// executed.
func (l *testbed) countViolations(runs []standin.RunStats, samples []standin.Sample) (doubled, lies int) {
	type key struct{ root, path string }
	total := map[key]int{}
	for _, r := range runs {
		total[key{r.RootID, r.Path}] += r.Count
	}
	for k, n := range total {
		if n > 1 && l.isAtMostOnce(k.path) {
			doubled++
		}
	}
	streams := l.deployment.Streams(1)
	for _, s := range samples {
		if total[key{s.RootID, streams[s.Stream].Path}] > s.Attempts-s.NotExecuted {
			lies++
		}
	}
	return doubled, lies
}

func (l *testbed) isAtMostOnce(path string) bool {
	for _, r := range l.manifest.Routes {
		if r.Path == path {
			return r.AtMostOnce
		}
	}
	return false
}

// retries makes every target of a chain of eight fail a share of its calls, while the
// targets retry their child calls.
func retries(ctx context.Context, r options) (Result, error) {
	d, m, err := loadExample(r.Example)
	if err != nil {
		return Result{}, err
	}
	m = scaleRates(m, 10*retryRate)
	start := m.Routes[len(m.Routes)-1]
	d.Load = []routeLoad{{Method: start.Method, Path: start.Path, RateShare: 1}}
	last := start.Path
	for b, _ := findBehaviour(d, last); len(b.ChildCalls) > 0; b, _ = findBehaviour(d, last) {
		last = b.ChildCalls[0].Path
	}
	for i := range d.Services {
		for k := range d.Services[i].Behaviours {
			d.Services[i].Behaviours[k].ChildAttempts = targetAttempts
		}
	}
	var out Result
	for _, p := range policies(r) {
		f, err := measureRetries(ctx, r, testbedConfig{deployment: d, manifest: m, policy: p, keepDir: r.KeepDir}, last)
		if err != nil {
			return out, err
		}
		out.setFigures(p, f)
	}
	out.OK = *out.Tries <= maxTries && int(*out.Most) <= 1+m.RetryBudget
	return out, nil
}

func measureRetries(ctx context.Context, r options, c testbedConfig, last string) (Figures, error) {
	l, err := newTestbed(ctx, c)
	if err != nil {
		return Figures{}, err
	}
	defer l.close()
	if err := l.setServiceFaults("", standin.TargetFaults{ErrorRatio: faultShare}); err != nil {
		return Figures{}, err
	}
	samples := l.sendWithoutRetries(ctx, r, l.deployment.Streams(retryRate), retryTime)
	runs, err := l.runs()
	if err != nil {
		return Figures{}, err
	}
	perRoot := map[string]int{}
	total, most := 0, 0
	for _, run := range runs {
		if run.Path == last {
			perRoot[run.RootID] += run.Count
			total += run.Count
			most = max(most, perRoot[run.RootID])
		}
	}
	return Figures{
		Tries: floatPtr(float64(total) / float64(max(1, len(samples)))), Most: countPtr(most), Sent: countPtr(len(samples)),
		Good: floatPtr(answeredShare(samples, 0, retryTime, func(*standin.Sample) bool { return true })),
	}, nil
}
