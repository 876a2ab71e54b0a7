package main

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/fleet"
	"celeryshelf/internal/standin"
)

const (
	overheadRate = 2000 // calls per second on each of the two paths
	overheadTime = 15 * time.Second
	overheadWarm = 3 * time.Second
	maxAdded     = 410 * time.Microsecond
	overheadKey  = "overhead-key"
)

// pairOfServices returns a deployment of two services with one node each, in which a call
// that enters at the first node runs at the second.
func pairOfServices() (fleet.Deployment, manifest.Manifest) {
	quick := []standin.Behaviour{{Path: "/quick"}}
	d := fleet.Deployment{
		Name: "pair", Region: "r", Domains: []string{"d1", "d2"},
		Services: []fleet.Service{
			{Name: "near", Endpoints: 1, Slots: 500, Queue: 500},
			{Name: "far", Endpoints: 1, Slots: 500, Queue: 500, Behaviours: quick},
		},
	}
	m := manifest.Manifest{
		Workspaces: []manifest.Workspace{{
			Name: "w", Rate: 4 * overheadRate, Burst: 8 * overheadRate,
			Keys: []manifest.Key{{Name: "main", Digest: manifest.DigestOf(overheadKey)}},
		}},
		Services: []manifest.Service{{Name: "near"}, {Name: "far"}},
		Routes: []manifest.Route{{
			Name: "quick", Method: http.MethodGet, Path: "/quick", Service: "far",
			Timeout: manifest.Duration{Duration: time.Second},
		}},
	}
	return d, m
}

// overhead makes the same call alternately through two nodes and directly to its
// target, and compares the p99 latencies.
func overhead(ctx context.Context, r options) (Result, error) {
	d, m := pairOfServices()
	l, err := newTestbed(ctx, testbedConfig{deployment: d, manifest: m, policy: policyCelery, keepDir: r.KeepDir})
	if err != nil {
		return Result{}, err
	}
	defer l.close()
	entry, target := l.plan.VMs[0].Settings.Listen.Caller, l.plan.VMs[1].Settings.Target
	through, straight := newProbe(entry), newProbe(target)
	start := time.Now()
	var group sync.WaitGroup
	for n := 0; time.Since(start) < overheadWarm+overheadTime && ctx.Err() == nil; n++ {
		at := start.Add(time.Duration(n) * time.Second / (2 * overheadRate))
		time.Sleep(time.Until(at))
		p := through
		if n%2 == 1 {
			p = straight
		}
		keep := time.Since(start) > overheadWarm
		group.Go(func() { p.call(ctx, keep) })
	}
	group.Wait()
	a, b := through.quantile(0.99), straight.quantile(0.99)
	out := Result{Figures: Figures{
		Added: millisPtr(a - b), Through: millisPtr(a), Straight: millisPtr(b),
		Sent: countPtr(len(through.took)), Lost: countPtr(through.failed),
	}}
	out.OK = a-b <= maxAdded && through.failed == 0
	return out, nil
}

// probe measures the latency of calls to one address.
type probe struct {
	at     netip.AddrPort
	client *http.Client
	mu     sync.Mutex
	took   []time.Duration
	failed int
}

func newProbe(at netip.AddrPort) *probe {
	return &probe{at: at, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
}

func (p *probe) call(ctx context.Context, keep bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.at.String()+"/quick", nil)
	if err != nil {
		return
	}
	// Nodes require an API key. Targets, which listen on port 9000, do not.
	if p.at.Port() != 9000 {
		req.Header.Set("Authorization", "Bearer "+overheadKey)
	}
	start := time.Now()
	res, err := p.client.Do(req)
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	took := time.Since(start)
	if !keep {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		p.failed++
		return
	}
	p.took = append(p.took, took)
}

func (p *probe) quantile(q float64) time.Duration {
	if len(p.took) == 0 {
		return 0
	}
	slices.Sort(p.took)
	return p.took[int(q*float64(len(p.took)-1))]
}
