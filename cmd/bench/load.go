package main

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/core/quota"
	"celeryshelf/internal/fleet"
	"celeryshelf/internal/standin"
)

const (
	callerTimeout = 2 * time.Second
	callerRetries = 3
	retryPause    = 100 * time.Millisecond
	// serviceTimeFactor multiplies the service times of the examples' targets, so that
	// the machine can run them at saturation and send three times their capacity.
	serviceTimeFactor = 2
)

func shardCount(w manifest.Workspace) int {
	return quota.Allowance{Rate: w.Rate, Burst: w.Burst}.ShardCount()
}

// loadExample returns an example with its service times multiplied by
// serviceTimeFactor.
func loadExample(name string) (fleet.Deployment, manifest.Manifest, error) {
	d, m, err := fleet.LoadExample(name)
	if err != nil {
		return d, m, err
	}
	for i := range d.Services {
		b := slices.Clone(d.Services[i].Behaviours)
		for k := range b {
			b[k].ServiceTime.Duration *= serviceTimeFactor
		}
		d.Services[i].Behaviours = b
	}
	return d, m, nil
}

// findBehaviour returns the behaviour of a path and the name of its service.
func findBehaviour(d fleet.Deployment, path string) (standin.Behaviour, string) {
	for _, s := range d.Services {
		for _, b := range s.Behaviours {
			if b.Path == path {
				return b, s.Name
			}
		}
	}
	return standin.Behaviour{}, ""
}

// addSlotTime adds the slot time of a call, weighted by share, to every service in its
// call tree, and returns the duration of the call.
func addSlotTime(d fleet.Deployment, path string, share float64, slots map[string]float64) time.Duration {
	b, service := findBehaviour(d, path)
	total := b.ServiceTime.Duration
	for _, c := range b.ChildCalls {
		total += addSlotTime(d, c.Path, share, slots)
	}
	slots[service] += share * total.Seconds()
	return total
}

// capacity returns the root calls per second that saturate the service with the
// fewest slots for its share of the load.
func capacity(d fleet.Deployment) float64 {
	slots := map[string]float64{}
	for _, f := range d.Load {
		addSlotTime(d, f.Path, f.RateShare, slots)
	}
	least := math.Inf(1)
	for _, s := range d.Services {
		if slots[s.Name] > 0 {
			least = min(least, float64(s.Endpoints*s.Slots)/slots[s.Name])
		}
	}
	return least
}

// scaleRates scales the rates of all workspaces in proportion so that they add up to
// total, and sets each burst to two seconds of the rate.
func scaleRates(m manifest.Manifest, total float64) manifest.Manifest {
	sum := 0.0
	for _, w := range m.Workspaces {
		sum += w.Rate
	}
	m.Workspaces = slices.Clone(m.Workspaces)
	for i := range m.Workspaces {
		w := &m.Workspaces[i]
		w.Rate *= total / sum
		w.Burst = int(2*w.Rate) + 1
	}
	return m
}

// sendAtRate sends the deployment's load at a total rate in calls per second, with
// retries by the callers.
func (l *testbed) sendAtRate(ctx context.Context, r options, rate float64, d time.Duration) []standin.Sample {
	return l.sendWithRetries(ctx, r, l.deployment.Streams(rate), d)
}

// sendWithRetries sends a load whose callers retry failed calls up to callerRetries times.
func (l *testbed) sendWithRetries(ctx context.Context, r options, streams []standin.Stream, d time.Duration) []standin.Sample {
	return l.runLoad(ctx, r, standin.LoadConfig{Streams: streams, Duration: d, MaxRetries: callerRetries, MeanRetryDelay: retryPause})
}

// sendWithoutRetries sends a load whose callers do not retry.
func (l *testbed) sendWithoutRetries(ctx context.Context, r options, streams []standin.Stream, d time.Duration) []standin.Sample {
	return l.runLoad(ctx, r, standin.LoadConfig{Streams: streams, Duration: d})
}

func (l *testbed) runLoad(ctx context.Context, r options, c standin.LoadConfig) []standin.Sample {
	loadCount++
	c.Seed, c.RootPrefix = r.Seed+uint64(loadCount), fmt.Sprintf("%d.", loadCount)
	if c.EntryAddresses == nil {
		c.EntryAddresses = l.plan.CallerAddrs()
	}
	if c.AttemptTimeout == 0 {
		c.AttemptTimeout = callerTimeout
	}
	return standin.NewLoadGenerator(c).Run(ctx)
}

// loadCount counts the loads of this process. It makes root call names unique and varies
// the seed.
var loadCount int

// goodput returns the successful calls per second that completed in a window.
func goodput(samples []standin.Sample, from, to time.Duration) float64 {
	n := 0
	for _, s := range samples {
		if end := s.Start + s.Latency; s.OK() && end >= from && end < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// answeredShare returns the share of successful calls among those that started in a
// window and match want. It returns 1 if there are none.
func answeredShare(samples []standin.Sample, from, to time.Duration, want func(s *standin.Sample) bool) float64 {
	sent, ok := 0, 0
	for i := range samples {
		s := &samples[i]
		if s.Start < from || s.Start >= to || !want(s) {
			continue
		}
		sent++
		if s.OK() {
			ok++
		}
	}
	if sent == 0 {
		return 1
	}
	return float64(ok) / float64(sent)
}

// p99Latency returns the 99th percentile of the latency of successful calls that started
// in a window.
func p99Latency(samples []standin.Sample, from, to time.Duration) time.Duration {
	var all []time.Duration
	for _, s := range samples {
		if s.OK() && s.Start >= from && s.Start < to {
			all = append(all, s.Latency)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(0.99*float64(len(all))))]
}

func millisPtr(d time.Duration) *float64 { return floatPtr(math.Round(d.Seconds()*1e5) / 100) }

// wastedShare returns the share of the targets' work that was done for failed root
// calls. Runs of root calls that are not among the samples are ignored.
func wastedShare(runs []standin.RunStats, samples []standin.Sample) float64 {
	ok := make(map[string]bool, len(samples))
	for _, s := range samples {
		ok[s.RootID] = s.OK()
	}
	var all, lost time.Duration
	for _, r := range runs {
		good, known := ok[r.RootID]
		if !known {
			continue
		}
		all += r.WorkDuration
		if !good {
			lost += r.WorkDuration
		}
	}
	if all == 0 {
		return 0
	}
	return lost.Seconds() / all.Seconds()
}

// withoutWorkspace returns the streams of all other workspaces.
func withoutWorkspace(streams []standin.Stream, workspace string) []standin.Stream {
	return slices.DeleteFunc(slices.Clone(streams), func(s standin.Stream) bool { return s.Workspace == workspace })
}

// failureCauses counts the failed calls by reason and status, the most frequent first.
func failureCauses(samples []standin.Sample) []Cause {
	var out []Cause
	for _, s := range samples {
		if s.OK() {
			continue
		}
		i := slices.IndexFunc(out, func(c Cause) bool { return c.Reason == s.Reason && c.Status == s.Status })
		if i < 0 {
			i = len(out)
			out = append(out, Cause{Reason: s.Reason, Status: s.Status})
		}
		out[i].Count++
	}
	slices.SortFunc(out, func(a, b Cause) int { return b.Count - a.Count })
	return out
}
