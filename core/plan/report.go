package plan

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Demand is the rate of calls offered at a node on one route and of one class.
type Demand struct {
	Route        string  `json:"route"`
	Class        uint8   `json:"class"`
	Rate         float64 `json:"rate"`  // calls per second, including refused calls
	FirstTryRate float64 `json:"first"` // the part of Rate from callers that are not repeating a refused call
}

// Load is the utilization of a target.
type Load struct {
	Service string  `json:"service"`
	Slots   float64 `json:"slots"`  // maximum number of concurrent calls
	Busy    float64 `json:"busy"`   // mean number of running calls
	Queued  float64 `json:"queued"` // mean number of queued calls
	// Evacuated is set, and the numbers are 0, if the target's domain is evacuated. A service
	// all of whose targets are evacuated has no capacity, while the capacity of one without
	// any reported target is unknown.
	Evacuated bool `json:"evac,omitempty"`
}

// Report is what one node sends to the planner.
type Report struct {
	Demand []Demand    `json:"demand,omitempty"`
	Load   Load        `json:"load"`
	Costs  []RouteCost `json:"rows,omitempty"`
	// Arrivals counts the calls that the node's target has ended since the last report.
	Arrivals Arrivals `json:"arrivals,omitzero"`
}

// maxReported limits the rates, in calls per second, and the numbers of slots in a report.
const maxReported = 1e9

// inRange reports whether x is between 0 and maxReported, and not NaN.
func inRange(x float64) bool { return x >= 0 && x <= maxReported }

// valid returns the report without the rows that no node can have measured.
func (r Report) valid() Report {
	r.Costs, r.Arrivals = ValidCosts(r.Costs), r.Arrivals.valid()
	r.Demand = slices.DeleteFunc(slices.Clone(r.Demand), func(d Demand) bool {
		return !(d.Rate > 0 && inRange(d.Rate) && inRange(d.FirstTryRate))
	})
	if !inRange(r.Load.Slots) || !inRange(r.Load.Busy) || !inRange(r.Load.Queued) {
		r.Load = Load{}
	}
	return r
}

// newWindowWeight is the weight of the newest window in the reported rates. A surge shows
// within two windows, and the noise of a few calls is halved.
const newWindowWeight = 0.6

// meteredStream is the demand on one route and of one class, with the counts of the
// current window.
type meteredStream struct {
	Demand
	windowCalls      float64
	windowFirstTries float64
}

// DemandMeter measures the rates of the calls offered at a node.
type DemandMeter struct {
	streams     []meteredStream
	windowStart time.Time
}

// Count counts a call. first reports whether it is its caller's first try.
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

// minStreamRate is the rate, in calls per second, below which a stream is removed.
const minStreamRate = 0.05

// CloseWindow closes the measurement window and returns the rates, smoothed over the
// previous windows. The first call only starts the measurement and returns nil.
func (m *DemandMeter) CloseWindow(now time.Time) []Demand {
	passed := now.Sub(m.windowStart).Seconds()
	firstWindow := m.windowStart.IsZero()
	m.windowStart = now
	if firstWindow || passed <= 0 {
		return nil
	}
	var out []Demand
	active := m.streams[:0]
	for _, s := range m.streams {
		s.Rate += newWindowWeight * (s.windowCalls/passed - s.Rate)
		s.FirstTryRate += newWindowWeight * (s.windowFirstTries/passed - s.FirstTryRate)
		s.windowCalls, s.windowFirstTries = 0, 0
		if s.Rate < minStreamRate {
			continue
		}
		active = append(active, s)
		out = append(out, s.Demand)
	}
	m.streams = active
	return out
}
