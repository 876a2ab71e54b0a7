package main

import (
	"fmt"
	"os"
	"time"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"

	"celeryshelf/internal/standin"
)

// trace is the samples of one policy.
type trace struct {
	policy  policy
	samples []standin.Sample
}

const (
	plotWidth  = 1100
	plotHeight = 420
	plotStep   = 250 * time.Millisecond
)

var plotColors = map[policy]drawing.Color{
	celery: chart.ColorGreen, off: chart.ColorRed, static: chart.ColorBlue,
}

// plot draws goodput, refusals and latency over time, one picture each, into the
// file named and beside it.
func plot(r request, traces []trace) error {
	if r.Plot == "" {
		return nil
	}
	for _, p := range []struct {
		suffix, title string
		value         func([]standin.Sample, time.Duration, time.Duration) float64
	}{
		{"", "whole requests answered a second", goodput},
		{".refused.png", "requests refused a second", refusals},
		{".p99.png", "p99 latency of answered requests, ms", slowest},
	} {
		if err := draw(r.Plot+p.suffix, p.title, traces, p.value); err != nil {
			return err
		}
	}
	return nil
}

func refusals(samples []standin.Sample, from, to time.Duration) float64 {
	n := 0
	for _, s := range samples {
		if end := s.Start + s.Latency; !s.OK() && end >= from && end < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

func slowest(samples []standin.Sample, from, to time.Duration) float64 {
	return p99(samples, from, to).Seconds() * 1000
}

func draw(file, title string, traces []trace, value func([]standin.Sample, time.Duration, time.Duration) float64) error {
	graph := chart.Chart{
		Title: title, Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 50, Left: 20, Right: 20, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "seconds"},
	}
	for _, t := range traces {
		line := chart.ContinuousSeries{Name: string(t.policy), Style: chart.Style{StrokeColor: plotColors[t.policy], StrokeWidth: 2}}
		for at := time.Duration(0); at+plotStep <= end(t.samples); at += plotStep {
			line.XValues = append(line.XValues, at.Seconds())
			line.YValues = append(line.YValues, value(t.samples, at, at+plotStep))
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

// end returns when the last call started.
func end(samples []standin.Sample) time.Duration {
	last := time.Duration(0)
	for _, s := range samples {
		last = max(last, s.Start)
	}
	return last
}
