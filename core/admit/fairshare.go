package admit

import "time"

const (
	shareWindow    = 100 * time.Millisecond
	maxShareWindow = 500 * time.Millisecond
	// minDone completions make a window's capacity worth acting on before
	// maxShareWindow has passed.
	minDone = 20
	// minFraction keeps a trickle of every workspace flowing, so that answers go
	// on telling entry nodes the level.
	minFraction = 0.01
	// An unsaturated target's fractions grow by the room that it has left, within
	// these bounds, and a step.
	minRelax     = 1.03
	maxRelax     = 2.0
	relaxStep    = 0.01
	fullUse      = 0.95
	decreaseSlow = 0.5 // lowest multiplier of a fraction in one window
	idleWindows  = 50  // windows without a call before a workspace is forgotten
)

// share holds what one workspace asked for in the open window and the fractions
// of its calls of each class that entry nodes should keep.
type share struct {
	weight    float64
	seen      [Classes]float64 // calls in the open window
	fraction  [Classes]float64
	level     Level
	pass      float64 // virtual time of weighted fair queueing
	idle      int
	queued    int
	workspace string
}

// shares divides the target's capacity among workspaces by weight.
type shares struct {
	list     []*share
	byName   map[string]*share
	opened   time.Time
	done     float64
	rejected bool // a call was turned away in the open window
	drained  bool // the queue was empty at some time in the open window
	virtual  float64
}

func newShares() shares { return shares{byName: map[string]*share{}} }

func (s *shares) get(workspace string, weight float64) *share {
	h, ok := s.byName[workspace]
	if !ok {
		h = &share{workspace: workspace}
		for c := range h.fraction {
			h.fraction[c] = 1
		}
		s.byName[workspace] = h
		s.list = append(s.list, h)
	}
	h.weight = max(weight, 1)
	return h
}

// turn closes the window and moves every workspace's level: down to its share of
// the target's capacity while saturated, up by the room left otherwise. Use is
// the share of the limit in use, and rate the calls a second that the limit and
// the service time allow: at the onset of an overload answers lag behind calls.
func (s *shares) turn(now time.Time, use float64, rate float64) {
	if s.opened.IsZero() {
		s.opened = now
	}
	age := now.Sub(s.opened)
	saturated := s.rejected || !s.drained
	if age < shareWindow || saturated && s.done < minDone && age < maxShareWindow {
		return
	}
	capacity := max(s.done, rate*age.Seconds())
	if saturated && capacity > 0 {
		for c := Classes - 1; c >= 0; c-- {
			capacity = s.tighten(c, capacity)
		}
	} else if !saturated {
		s.relax(use)
	}
	s.finish(now)
}

// tighten water-fills capacity among the workspaces by weight and returns what
// is left over.
func (s *shares) tighten(class int, capacity float64) float64 {
	demand := 0.0
	for _, h := range s.list {
		demand += h.seen[class]
	}
	if demand <= capacity {
		return capacity - demand
	}
	bar := s.waterline(class, capacity)
	for _, h := range s.list {
		if h.seen[class] == 0 {
			continue
		}
		keep := max(decreaseSlow, min(1, bar*h.weight/h.seen[class]))
		h.fraction[class] = max(minFraction, h.fraction[class]*keep)
	}
	return 0
}

// waterline returns the calls for each unit of weight at which the capped
// demands add up to capacity.
func (s *shares) waterline(class int, capacity float64) float64 {
	low, high := 0.0, capacity
	for range 40 {
		mid := (low + high) / 2
		sum := 0.0
		for _, h := range s.list {
			sum += min(h.seen[class], mid*h.weight)
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
func (s *shares) relax(use float64) {
	factor := max(minRelax, min(maxRelax, fullUse/max(use, fullUse/maxRelax)))
	for _, h := range s.list {
		for c := range h.fraction {
			h.fraction[c] = min(1, h.fraction[c]*factor+relaxStep)
		}
	}
}

func (s *shares) finish(now time.Time) {
	kept := s.list[:0]
	for _, h := range s.list {
		h.level = levelOf(h.fraction)
		if h.seen != [Classes]float64{} || h.queued > 0 {
			h.idle = 0
		}
		h.idle++
		h.seen = [Classes]float64{}
		if h.idle > idleWindows {
			delete(s.byName, h.workspace)
			continue
		}
		kept = append(kept, h)
	}
	clear(s.list[len(kept):])
	s.list = kept
	s.opened, s.done, s.rejected, s.drained = now, 0, false, false
}

// levelOf maps the kept fractions onto the one scale: calls of a class are cut
// only when none of a lower class is kept.
func levelOf(fraction [Classes]float64) Level {
	for c := Classes - 1; c > 0; c-- {
		if fraction[c] < 1 {
			return Level(c*HashBuckets) + Level((1-fraction[c])*HashBuckets)
		}
	}
	return Level((1 - fraction[0]) * HashBuckets)
}
