package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// plannedStream is the demand on one route and of one class, and the share of it let in.
type plannedStream struct {
	route    string
	class    uint8
	rate     float64
	ratio    float64
	minRatio float64            // share below which other classes are held back first
	cost     map[string]float64 // slot-seconds of each service for one call
}

// load returns the slots of a service that the calls let in occupy.
func (o *plannedStream) load(service string) float64 { return o.rate * o.ratio * o.cost[service] }

// solver is one plan in the making.
type solver struct {
	split     TrafficSplit
	costs     map[string]RouteCost
	treeCosts map[string]map[string]float64 // by route
	streams   []*plannedStream              // the least important class first
}

// treeCost returns the slot-seconds of each service that a call on a route takes, its
// whole tree included.
func (w *solver) treeCost(route string, depth int) map[string]float64 {
	if known, ok := w.treeCosts[route]; ok {
		return known
	}
	out := map[string]float64{}
	if depth < maxDepth {
		w.treeCosts[route] = out // a route that leads back to itself is counted once
	}
	row, ok := w.costs[route]
	if !ok {
		return out
	}
	for _, s := range w.split(route) {
		out[s.Service] += s.Fraction * row.HoldTime.Seconds()
	}
	for _, c := range row.Calls {
		for service, cost := range w.treeCost(c.Route, depth+1) {
			out[service] += c.PerRun * cost
		}
	}
	return out
}

// mostOverloaded returns the service that is over its capacity the most, by share, and the
// slots that it lacks.
func (w *solver) mostOverloaded(capacity map[string]float64) (service string, excess float64) {
	most := 1.001
	for _, name := range slices.Sorted(maps.Keys(capacity)) {
		load := 0.0
		for _, o := range w.streams {
			load += o.load(name)
		}
		if ratio := load / capacity[name]; ratio > most && w.reducible(name) {
			most, service, excess = ratio, name, load-capacity[name]
		}
	}
	return service, excess
}

// reducible reports whether any call that loads a service can still be held back.
func (w *solver) reducible(service string) bool {
	return slices.ContainsFunc(w.streams, func(o *plannedStream) bool {
		return o.cost[service] > 0 && o.ratio > minCallRatio
	})
}

// reduceByClass holds back calls that load a service, the least important class first
// and in a class those that load it the most: that refuses the fewest. It returns
// the slots that the service still lacks once every class is down to its least share.
func (w *solver) reduceByClass(service string, excess float64) float64 {
	order := slices.Clone(w.streams)
	slices.SortStableFunc(order, func(a, b *plannedStream) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.cost[service], a.cost[service]))
	})
	for _, o := range order {
		if excess <= 0 {
			return 0
		}
		if o.cost[service] == 0 || o.ratio <= o.minRatio {
			continue
		}
		free := o.load(service) * (1 - o.minRatio/o.ratio)
		cut := min(1, excess/free)
		o.ratio -= cut * (o.ratio - o.minRatio)
		excess -= cut * free
	}
	return excess
}

// reduceAll holds back all classes alike.
func (w *solver) reduceAll(service string, excess float64) {
	load := 0.0
	for _, o := range w.streams {
		load += o.load(service)
	}
	for _, o := range w.streams {
		if o.cost[service] > 0 {
			o.ratio = max(min(o.ratio, minCallRatio), o.ratio*(1-excess/load))
		}
	}
}

// ratios returns the offers that are held back.
func (w *solver) ratios() []AdmitRatio {
	var out []AdmitRatio
	for _, o := range w.streams {
		if o.ratio < 0.999 {
			out = append(out, AdmitRatio{Route: o.route, Class: o.class, Ratio: o.ratio})
		}
	}
	return out
}

// summary writes each service's planned load, capacity, measured use and queue,
// and the calls held back.
func (w *solver) summary(p *Planner, capacity map[string]float64) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(capacity)) {
		offered, load := 0.0, 0.0
		for _, o := range w.streams {
			load += o.load(name)
			offered += o.rate * o.cost[name]
		}
		t := p.serviceLoad(name)
		fmt.Fprintf(&b, "%s[offered %.0f kept %.0f of %.0f trim %.2f slots %.0f busy %.0f queued %.0f] ",
			name, offered, load, capacity[name], p.trim[name], t.Slots, t.Busy, t.Queued)
	}
	for _, o := range w.streams {
		if o.ratio < 0.999 {
			fmt.Fprintf(&b, "%s/%d[%.0f/s x %.2f, at least %.2f] ", o.route, o.class, o.rate, o.ratio, o.minRatio)
		}
	}
	return b.String()
}
