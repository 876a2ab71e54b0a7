package main

import (
	"context"
	"slices"
	"time"
)

// placeRow holds the results of one load under each policy.
type placeRow struct {
	Load   float64      `json:"load"` // offered work divided by the targets' capacity
	CV     float64      `json:"cv"`   // coefficient of variation of the costs
	Today  placeFigures `json:"today"`
	New    placeFigures `json:"new"`
	Oracle placeFigures `json:"oracle"` // knows costs, states and future slowness; refuses only what no queue holds
	Bound  placeFigures `json:"bound"`  // the same, and refuses at once what would miss the objective

	// Gain is the part of the way from today's p99 to the oracle's. Served is the share served
	// within the objective divided by the oracle's, ServedBound by the bound's.
	Gain        float64 `json:"gain,omitempty"`
	Served      float64 `json:"served"`
	ServedBound float64 `json:"served-bound"`
}

// placeFigures are the results of one load under one policy.
type placeFigures struct {
	P50    float64 `json:"p50"`    // ms
	P99    float64 `json:"p99"`    // ms; a call that is not served counts with its timeout
	Within float64 `json:"within"` // share of the calls served within the objective
	Idle   float64 `json:"idle"`   // slot-seconds idle while calls waited elsewhere, in a second
	Far    float64 `json:"far"`    // share of the attempts that went to another domain
}

func (s *placeSim) figures() placeFigures {
	slices.Sort(s.latencies)
	at := func(q float64) float64 {
		return float64(s.latencies[int(q*float64(len(s.latencies)-1))]) / float64(time.Millisecond)
	}
	return placeFigures{
		P50: at(0.5), P99: at(0.99), Within: float64(s.within) / float64(len(s.latencies)),
		Idle: s.idle.Seconds() / placeDuration.Seconds(), Far: float64(s.far) / float64(s.attempts),
	}
}

const (
	minPlaceGain   = 0.5  // at 0.9 of capacity
	minPlaceServed = 0.95 // at 1.3 of capacity, of what the bound serves
)

// place compares the choice of targets by cost and remaining work with today's and with that
// of an oracle, by simulation.
func place(ctx context.Context, o options) (Result, error) {
	out := Result{OK: true}
	for _, load := range []float64{0.9, 1.3} {
		for _, cv := range []float64{0.5, 1, 3} {
			w := newPlaceWorld(o.Seed, cv, load)
			var f [placeBound + 1]placeFigures
			for p := range f {
				if err := ctx.Err(); err != nil {
					return Result{}, err
				}
				f[p] = newPlaceSim(w, placePolicy(p)).run()
			}
			r := placeRow{Load: load, CV: cv, Today: f[placeToday], New: f[placeBacklog], Oracle: f[placeOracle], Bound: f[placeBound]}
			if r.Oracle.P99 < r.Today.P99 {
				r.Gain = (r.Today.P99 - r.New.P99) / (r.Today.P99 - r.Oracle.P99)
			}
			r.Served, r.ServedBound = r.New.Within/r.Oracle.Within, r.New.Within/r.Bound.Within
			if load < 1 && r.Gain < minPlaceGain || load > 1 && r.ServedBound < minPlaceServed {
				out.OK = false
			}
			out.Place = append(out.Place, r)
		}
	}
	return out, nil
}
