package plan

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Demand is the calls offered at a node on one route and of one class.
type Demand struct {
	Route        string  `json:"route"`
	Class        uint8   `json:"class"`
	Rate         float64 `json:"rate"`  // calls a second, those refused included
	FirstTryRate float64 `json:"first"` // of them, those of callers who have not come before
}

// Load is the state of a target.
type Load struct {
	Service string  `json:"service"`
	Slots   float64 `json:"slots"`  // calls it may run at once
	Busy    float64 `json:"busy"`   // mean of the calls that ran
	Queued  float64 `json:"queued"` // mean of the calls that waited
}

// Report is what one node tells the planner.
type Report struct {
	Demand []Demand    `json:"demand,omitempty"`
	Load   Load        `json:"load"`
	Costs  []RouteCost `json:"rows,omitempty"`
}

// newWindowWeight is the share of the newest window in the rates reported: a surge
// shows within two windows, and the noise of a few calls is halved.
const newWindowWeight = 0.6

type meteredStream struct {
	Demand
	windowCalls      float64
	windowFirstTries float64
}

// DemandMeter measures the calls offered at a node.
type DemandMeter struct {
	streams     []meteredStream
	windowStart time.Time
}

// Count counts a call, and whether its caller comes for the first time.
func (m *DemandMeter) Count(route string, class uint8, first bool) {
	i, ok := slices.BinarySearchFunc(m.streams, Demand{Route: route, Class: class}, func(s meteredStream, d Demand) int {
		return cmp.Or(strings.Compare(s.Route, d.Route), cmp.Compare(s.Class, d.Class))
	})
	if !ok {
		m.streams = slices.Insert(m.streams, i, meteredStream{Demand: Demand{Route: route, Class: class}})
	}
	m.streams[i].windowCalls++
	if first {
		m.streams[i].windowFirstTries++
	}
}

// minStreamRate is the rate below which a stream is forgotten, in calls a second.
const minStreamRate = 0.05

// CloseWindow closes the window and returns the rates.
func (m *DemandMeter) CloseWindow(now time.Time) []Demand {
	passed := now.Sub(m.windowStart).Seconds()
	first := m.windowStart.IsZero()
	m.windowStart = now
	if first || passed <= 0 {
		return nil
	}
	var out []Demand
	kept := m.streams[:0]
	for _, s := range m.streams {
		s.Rate += newWindowWeight * (s.windowCalls/passed - s.Rate)
		s.FirstTryRate += newWindowWeight * (s.windowFirstTries/passed - s.FirstTryRate)
		s.windowCalls, s.windowFirstTries = 0, 0
		if s.Rate < minStreamRate {
			continue
		}
		kept = append(kept, s)
		out = append(out, s.Demand)
	}
	m.streams = kept
	return out
}
