package admit

import "time"

const (
	shareWindow    = 100 * time.Millisecond
	maxShareWindow = 500 * time.Millisecond
	// minCompletions completions make a window's capacity worth acting on before
	// maxShareWindow has passed.
	minCompletions = 20
	// minAdmitRatio keeps a trickle of every workspace flowing, so that answers go
	// on telling entry nodes the level.
	minAdmitRatio = 0.01
	// An unsaturated target's fractions grow by the room that it has left, within
	// these bounds, and a step.
	minGrowth        = 1.03
	maxGrowth        = 2.0
	growthStep       = 0.01
	fullUtilization  = 0.95
	minShareDecrease = 0.5 // lowest multiplier of a fraction in one window
	maxIdleWindows   = 50  // windows without a call before a workspace is forgotten
)

// workspaceShare holds what one workspace asked for in the open window and the fractions
// of its calls of each class that entry nodes should keep.
type workspaceShare struct {
	weight      float64
	offered     [Classes]float64 // calls in the open window
	admitRatio  [Classes]float64
	level       Level
	virtualTime float64 // virtual time of weighted fair queueing
	idleWindows int
	queued      int
	workspace   string
}

// fairShares divides the target's capacity among workspaces by weight.
type fairShares struct {
	list         []*workspaceShare
	byWorkspace  map[string]*workspaceShare
	windowStart  time.Time
	completions  float64
	rejected     bool // a call was turned away in the open window
	queueEmptied bool // the queue was empty at some time in the open window
	virtualTime  float64
}

func newFairShares() fairShares { return fairShares{byWorkspace: map[string]*workspaceShare{}} }

func (s *fairShares) get(workspace string, weight float64) *workspaceShare {
	h, ok := s.byWorkspace[workspace]
	if !ok {
		h = &workspaceShare{workspace: workspace}
		for c := range h.admitRatio {
			h.admitRatio[c] = 1
		}
		s.byWorkspace[workspace] = h
		s.list = append(s.list, h)
	}
	h.weight = max(weight, 1)
	return h
}

// closeWindow closes the window and moves every workspace's level: down to its share of
// the target's capacity while saturated, up by the room left otherwise. Use is
// the share of the limit in use, and rate the calls a second that the limit and
// the service time allow: at the onset of an overload answers lag behind calls.
func (s *fairShares) closeWindow(now time.Time, utilization float64, rate float64) {
	if s.windowStart.IsZero() {
		s.windowStart = now
	}
	age := now.Sub(s.windowStart)
	saturated := s.rejected || !s.queueEmptied
	if age < shareWindow || saturated && s.completions < minCompletions && age < maxShareWindow {
		return
	}
	capacity := max(s.completions, rate*age.Seconds())
	if saturated && capacity > 0 {
		for c := Classes - 1; c >= 0; c-- {
			capacity = s.tighten(c, capacity)
		}
	} else if !saturated {
		s.relax(utilization)
	}
	s.startWindow(now)
}

// tighten water-fills capacity among the workspaces by weight and returns what
// is left over.
func (s *fairShares) tighten(class int, capacity float64) float64 {
	demand := 0.0
	for _, h := range s.list {
		demand += h.offered[class]
	}
	if demand <= capacity {
		return capacity - demand
	}
	perWeight := s.waterline(class, capacity)
	for _, h := range s.list {
		if h.offered[class] == 0 {
			continue
		}
		keep := max(minShareDecrease, min(1, perWeight*h.weight/h.offered[class]))
		h.admitRatio[class] = max(minAdmitRatio, h.admitRatio[class]*keep)
	}
	return 0
}

// waterline returns the calls for each unit of weight at which the capped
// demands add up to capacity.
func (s *fairShares) waterline(class int, capacity float64) float64 {
	low, high := 0.0, capacity
	for range 40 {
		mid := (low + high) / 2
		sum := 0.0
		for _, h := range s.list {
			sum += min(h.offered[class], mid*h.weight)
		}
		if sum > capacity {
			high = mid
		} else {
			low = mid
		}
	}
	return low
}

// relax opens up by the room left at the share of the limit that is in use.
func (s *fairShares) relax(utilization float64) {
	factor := max(minGrowth, min(maxGrowth, fullUtilization/max(utilization, fullUtilization/maxGrowth)))
	for _, h := range s.list {
		for c := range h.admitRatio {
			h.admitRatio[c] = min(1, h.admitRatio[c]*factor+growthStep)
		}
	}
}

func (s *fairShares) startWindow(now time.Time) {
	kept := s.list[:0]
	for _, h := range s.list {
		h.level = levelOf(h.admitRatio)
		if h.offered != [Classes]float64{} || h.queued > 0 {
			h.idleWindows = 0
		}
		h.idleWindows++
		h.offered = [Classes]float64{}
		if h.idleWindows > maxIdleWindows {
			delete(s.byWorkspace, h.workspace)
			continue
		}
		kept = append(kept, h)
	}
	clear(s.list[len(kept):])
	s.list = kept
	s.windowStart, s.completions, s.rejected, s.queueEmptied = now, 0, false, false
}

// levelOf maps the kept fractions onto the one scale: calls of a class are cut
// only when none of a lower class is kept.
func levelOf(admitRatio [Classes]float64) Level {
	for c := Classes - 1; c > 0; c-- {
		if admitRatio[c] < 1 {
			return Level(c*HashBuckets) + Level((1-admitRatio[c])*HashBuckets)
		}
	}
	return Level((1 - admitRatio[0]) * HashBuckets)
}
