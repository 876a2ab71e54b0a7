package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// plannedStream is the demand on one route and of one class, and its admit ratio.
type plannedStream struct {
	route    string
	class    uint8
	rate     float64
	ratio    float64
	minRatio float64 // ratio below which reduceByClass does not reduce the stream
	// declining reports that the ratio is restricted because a service declines calls.
	declining bool
	cost      map[string]float64 // slot-seconds of one call by service
}

// load returns the number of slots of a service that the admitted calls occupy.
func (s *plannedStream) load(service string) float64 { return s.rate * s.ratio * s.cost[service] }

// solver holds the state of the computation of one plan.
type solver struct {
	split     TrafficSplit
	costs     map[string]RouteCost
	treeCosts treeSums
	treeCalls treeSums
	streams   []*plannedStream // lowest class first
}

// treeSums holds sums over the call trees of routes, by route, then by service.
type treeSums map[string]map[string]float64

// treeCost returns the slot-seconds that a call on a route takes at each service,
// including its child calls.
func (sv *solver) treeCost(route string) map[string]float64 {
	return sv.treeSum(sv.treeCosts, route, 0, func(own RouteCost) float64 { return own.HoldTime.Seconds() })
}

// callsOf returns the number of calls that a tree on a route makes at each service, the root
// call included.
func (sv *solver) callsOf(route string) map[string]float64 {
	return sv.treeSum(sv.treeCalls, route, 0, func(RouteCost) float64 { return 1 })
}

// treeSum returns the sum of a quantity over a call on a route and its child calls, for each
// service.
func (sv *solver) treeSum(known treeSums, route string, depth int, quantity func(RouteCost) float64) map[string]float64 {
	if sum, ok := known[route]; ok {
		return sum
	}
	out := map[string]float64{}
	if depth < maxDepth {
		known[route] = out // cuts cycles: a call back to this route adds what is summed so far
	}
	own, ok := sv.costs[route]
	if !ok {
		return out
	}
	for _, s := range sv.split(route) {
		out[s.Service] += s.Fraction * quantity(own)
	}
	for _, c := range own.Calls {
		for service, sum := range sv.treeSum(known, c.Route, depth+1, quantity) {
			out[service] += c.PerRun * sum
		}
	}
	return out
}

// mostOverloaded returns the service with the highest ratio of load to capacity above 1,
// and the number of slots by which its load exceeds the capacity.
func (sv *solver) mostOverloaded(capacity map[string]float64) (service string, excess float64) {
	most := 1.001 // a load up to 0.1 % above the capacity is accepted
	for _, name := range slices.Sorted(maps.Keys(capacity)) {
		load := 0.0
		for _, s := range sv.streams {
			load += s.load(name)
		}
		if ratio := load / capacity[name]; ratio > most && sv.reducible(name) {
			most, service, excess = ratio, name, load-capacity[name]
		}
	}
	return service, excess
}

// reducible reports whether any stream that loads a service can still be reduced.
func (sv *solver) reducible(service string) bool {
	return slices.ContainsFunc(sv.streams, func(s *plannedStream) bool {
		return s.cost[service] > 0 && s.ratio > minCallRatio
	})
}

// reduceByClass reduces the streams that load a service down to their minimum ratio, the
// lowest class first and, within a class, the calls that cost the service the most, so
// that the fewest calls are refused. It returns the part of excess that remains.
func (sv *solver) reduceByClass(service string, excess float64) float64 {
	order := slices.Clone(sv.streams)
	slices.SortStableFunc(order, func(a, b *plannedStream) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.cost[service], a.cost[service]))
	})
	for _, s := range order {
		if excess <= 0 {
			return 0
		}
		if s.cost[service] == 0 || s.ratio <= s.minRatio {
			continue
		}
		free := s.load(service) * (1 - s.minRatio/s.ratio)
		cut := min(1, excess/free)
		s.ratio -= cut * (s.ratio - s.minRatio)
		excess -= cut * free
	}
	return excess
}

// reduceAll reduces the streams that load a service by the same factor, regardless of
// their class. No stream is reduced below minCallRatio.
func (sv *solver) reduceAll(service string, excess float64) {
	load := 0.0
	for _, s := range sv.streams {
		load += s.load(service)
	}
	for _, s := range sv.streams {
		if s.cost[service] > 0 {
			s.ratio = max(min(s.ratio, minCallRatio), s.ratio*(1-excess/load))
		}
	}
}

// ratios returns the admit ratios of the streams that are restricted.
func (sv *solver) ratios() []AdmitRatio {
	var out []AdmitRatio
	for _, s := range sv.streams {
		if s.ratio < 0.999 {
			out = append(out, AdmitRatio{Route: s.route, Class: s.class, Ratio: s.ratio, Declining: s.declining})
		}
	}
	return out
}

// summary describes the offered and planned load, the capacity, the measured utilization
// and the queue of each service, and the streams that are restricted. Operators' tools
// read this format.
func (sv *solver) summary(p *Planner, capacity map[string]float64) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(capacity)) {
		offered, load := 0.0, 0.0
		for _, s := range sv.streams {
			load += s.load(name)
			offered += s.rate * s.cost[name]
		}
		t := p.serviceLoad(name)
		fmt.Fprintf(&b, "%s[offered %.0f kept %.0f of %.0f trim %.2f slots %.0f busy %.0f queued %.0f] ",
			name, offered, load, capacity[name], p.trim[name], t.Slots, t.Busy, t.Queued)
	}
	for _, s := range sv.streams {
		if s.ratio < 0.999 {
			fmt.Fprintf(&b, "%s/%d[%.0f/s x %.2f, at least %.2f] ", s.route, s.class, s.rate, s.ratio, s.minRatio)
		}
	}
	for _, d := range p.declining {
		fmt.Fprintf(&b, "%s declines %.2f ", d.Service, d.Ratio)
	}
	return b.String()
}
