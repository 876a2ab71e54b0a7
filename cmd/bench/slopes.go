package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/fleet"
)

const (
	slopeWindow = 5 * time.Second
	slopeKey    = "slope-key"
)

// Point is the mean resource usage of a node at one fleet size and load.
type Point struct {
	Nodes      int     `json:"nodes"`
	Workspaces int     `json:"workspaces"`
	Rate       float64 `json:"rate"`   // calls per second entering at each node
	CPU        float64 `json:"cpu"`    // share of one core
	Memory     float64 `json:"memory"` // resident, MB
	Bytes      float64 `json:"bytes"`  // control bytes sent per second
	Calls      float64 `json:"calls"`  // store calls per second
}

// Fit is a linear least-squares fit, with its root mean square error.
type Fit struct {
	Figure string  `json:"figure"`
	Per    string  `json:"per"`
	Base   float64 `json:"base"`
	Slope  float64 `json:"slope"`
	Error  float64 `json:"error"`
}

// evenFleet returns a deployment of n nodes of one service, and w workspaces with
// equal shares of the load.
func evenFleet(n, w int) (fleet.Deployment, manifest.Manifest) {
	d, m := pairOfServices()
	d.Domains = []string{"d1", "d2", "d3"}
	d.Services = d.Services[1:]
	d.Services[0].Endpoints = n
	d.Load = []routeLoad{{Method: "GET", Path: "/quick", RateShare: 1}}
	m.Services = m.Services[1:]
	m.Workspaces = nil
	for i := range w {
		key := fmt.Sprintf("%s-%d", slopeKey, i)
		m.Workspaces = append(m.Workspaces, manifest.Workspace{
			Name: fmt.Sprintf("w%d", i), Rate: 2000, Burst: 4000,
			Keys: []manifest.Key{{Name: "main", Digest: manifest.DigestOf(key)}},
		})
		d.Callers = append(d.Callers, fleet.Caller{Workspace: fmt.Sprintf("w%d", i), Key: key, RateShare: 1 / float64(w)})
	}
	return d, m
}

// slopes measures how the resource usage of a node grows with the number of nodes, the
// number of workspaces and the call rate.
func slopes(ctx context.Context, r options) (Result, error) {
	var out Result
	var nodes, workspaces, rates []Point
	for _, n := range []int{4, 8, 16, 32} {
		p, err := measurePoint(ctx, r, n, 8, 0)
		if err != nil {
			return out, err
		}
		nodes = append(nodes, p)
	}
	for _, w := range []int{4, 8, 16, 32} {
		p, err := measurePoint(ctx, r, 8, w, 20)
		if err != nil {
			return out, err
		}
		workspaces = append(workspaces, p)
	}
	for _, rate := range []float64{20, 60, 180} {
		p, err := measurePoint(ctx, r, 4, 8, rate)
		if err != nil {
			return out, err
		}
		rates = append(rates, p)
	}
	out.Points = append(append(nodes, workspaces...), rates...)
	out.Fits = append(out.Fits, fits(nodes, "node", func(p Point) float64 { return float64(p.Nodes) })...)
	out.Fits = append(out.Fits, fits(workspaces, "workspace", func(p Point) float64 { return float64(p.Workspaces) })...)
	out.Fits = append(out.Fits, fits(rates, "call a second", func(p Point) float64 { return p.Rate })...)
	out.OK = true
	return out, nil
}

func measurePoint(ctx context.Context, r options, n, w int, rate float64) (Point, error) {
	d, m := evenFleet(n, w)
	l, err := newTestbed(ctx, testbedConfig{deployment: d, manifest: m, policy: policyCelery, keepDir: r.KeepDir})
	if err != nil {
		return Point{}, err
	}
	defer l.close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if rate > 0 {
			l.sendWithoutRetries(ctx, r, d.Streams(rate*float64(n)), slopeWindow+2*time.Second)
		}
	}()
	if rate > 0 {
		time.Sleep(time.Second)
	}
	c1, b1 := l.controlCounts(ctx)
	cpu1 := l.cpu(ctx)
	time.Sleep(slopeWindow)
	cpu2 := l.cpu(ctx)
	c2, b2 := l.controlCounts(ctx)
	<-done
	span := float64(n) * slopeWindow.Seconds()
	return Point{
		Nodes: n, Workspaces: w, Rate: rate, Memory: l.memory(),
		CPU: (cpu2 - cpu1).Seconds() / span, Bytes: (b2 - b1) / span, Calls: (c2 - c1) / span,
	}, nil
}

// cpu returns the total CPU time of all nodes. Nodes without a status are skipped.
func (l *testbed) cpu(ctx context.Context) time.Duration {
	var sum time.Duration
	for _, u := range l.plan.VMs {
		s, err := l.status(ctx, u.Settings.Name)
		if err != nil {
			continue
		}
		if d, err := time.ParseDuration(s.CPU); err == nil {
			sum += d
		}
	}
	return sum
}

// memory returns the mean resident memory of the testbed's nodes, in MB.
func (l *testbed) memory() float64 {
	sum := 0.0
	for _, p := range l.nodes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
				kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
				sum += kb / 1024
			}
		}
	}
	return sum / float64(len(l.nodes))
}

func fits(points []Point, per string, x func(Point) float64) []Fit {
	return []Fit{
		fit(points, "cpu", per, x, func(p Point) float64 { return p.CPU }),
		fit(points, "memory", per, x, func(p Point) float64 { return p.Memory }),
		fit(points, "bytes", per, x, func(p Point) float64 { return p.Bytes }),
		fit(points, "calls", per, x, func(p Point) float64 { return p.Calls }),
	}
}

// fit computes the least-squares line of y over x.
func fit(points []Point, figure, per string, x, y func(Point) float64) Fit {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += x(p)
		sy += y(p)
		sxx += x(p) * x(p)
		sxy += x(p) * y(p)
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	base := (sy - slope*sx) / n
	square := 0.0
	for _, p := range points {
		square += math.Pow(y(p)-base-slope*x(p), 2)
	}
	return Fit{Figure: figure, Per: per, Base: base, Slope: slope, Error: math.Sqrt(square / n)}
}
