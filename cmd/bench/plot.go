package main

import (
	"fmt"
	"os"
	"time"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"

	"celeryshelf/internal/standin"
)

// policySamples holds the samples measured under one policy.
type policySamples struct {
	policy  policy
	samples []standin.Sample
}

const (
	plotWidth    = 1100
	plotHeight   = 420
	plotInterval = 250 * time.Millisecond
)

var plotColors = map[policy]drawing.Color{
	policyCelery: chart.ColorGreen, policyOff: chart.ColorRed, policyStatic: chart.ColorBlue,
}

// writePlots writes one PNG each for goodput, failures and p99 latency over time.
// The first goes to PlotFile, the others to files with a suffix appended to that name.
func writePlots(r options, traces []policySamples) error {
	if r.PlotFile == "" {
		return nil
	}
	for _, p := range []struct {
		suffix, title string
		value         func([]standin.Sample, time.Duration, time.Duration) float64
	}{
		{"", "whole requests answered a second", goodput},
		{".refused.png", "requests refused a second", failureRate},
		{".p99.png", "p99 latency of answered requests, ms", p99Millis},
	} {
		if err := renderPlot(r.PlotFile+p.suffix, p.title, traces, p.value); err != nil {
			return err
		}
	}
	return nil
}

// failureRate returns the calls per second that ended in a window without success,
// whether refused or failed.
func failureRate(samples []standin.Sample, from, to time.Duration) float64 {
	n := 0
	for _, s := range samples {
		if end := s.Start + s.Latency; !s.OK() && end >= from && end < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

func p99Millis(samples []standin.Sample, from, to time.Duration) float64 {
	return p99Latency(samples, from, to).Seconds() * 1000
}

func renderPlot(file, title string, traces []policySamples, value func([]standin.Sample, time.Duration, time.Duration) float64) error {
	graph := chart.Chart{
		Title: title, Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 50, Left: 20, Right: 20, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "seconds"},
	}
	for _, t := range traces {
		line := chart.ContinuousSeries{Name: string(t.policy), Style: chart.Style{StrokeColor: plotColors[t.policy], StrokeWidth: 2}}
		for at := time.Duration(0); at+plotInterval <= lastStart(t.samples); at += plotInterval {
			line.XValues = append(line.XValues, at.Seconds())
			line.YValues = append(line.YValues, value(t.samples, at, at+plotInterval))
		}
		graph.Series = append(graph.Series, line)
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("create plot: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := graph.Render(chart.PNG, f); err != nil {
		return fmt.Errorf("render plot: %w", err)
	}
	return nil
}

// lastStart returns the scheduled start of the last call.
func lastStart(samples []standin.Sample) time.Duration {
	last := time.Duration(0)
	for _, s := range samples {
		last = max(last, s.Start)
	}
	return last
}
