package admit

import "time"

const (
	shareWindow    = 100 * time.Millisecond
	maxShareWindow = 500 * time.Millisecond
	// minCompletions is the number of completed calls with which the window of a saturated
	// target closes after shareWindow. With fewer it stays open until maxShareWindow.
	minCompletions = 20
	// minAdmitRatio lets a few calls of every workspace through, because responses
	// carry the current level to the entry nodes.
	minAdmitRatio = 0.01
	// While the target is not saturated, each window multiplies the admit ratios by
	// fullUtilization divided by the utilization, limited to minGrowth and maxGrowth,
	// and adds growthStep.
	minGrowth        = 1.03
	maxGrowth        = 2.0
	growthStep       = 0.01
	fullUtilization  = 0.95
	minShareDecrease = 0.5 // lowest multiplier of an admit ratio in one window
	maxIdleWindows   = 50  // windows without a call before a workspace is removed
)

// workspaceShare holds the calls that one workspace offered in the current window, and
// for each class the ratio of its calls that entry nodes should admit.
type workspaceShare struct {
	weight      float64
	offered     [Classes]float64 // calls in the current window
	admitRatio  [Classes]float64
	level       Level
	virtualTime float64 // for weighted fair queueing
	idleWindows int
	queued      int
	workspace   string
}

// fairShares divides the target's capacity among workspaces in proportion to their
// weights.
type fairShares struct {
	shares       []*workspaceShare
	byWorkspace  map[string]*workspaceShare
	windowStart  time.Time
	completions  float64
	rejected     bool // a call found the queue full in the current window
	queueEmptied bool // the queue was empty at some time in the current window
	virtualTime  float64
}

func newFairShares() fairShares { return fairShares{byWorkspace: map[string]*workspaceShare{}} }

// shareOf returns the share of a workspace, which it adds if it is missing, and updates
// its weight.
func (s *fairShares) shareOf(workspace string, weight float64) *workspaceShare {
	h, ok := s.byWorkspace[workspace]
	if !ok {
		h = &workspaceShare{workspace: workspace}
		for c := range h.admitRatio {
			h.admitRatio[c] = 1
		}
		s.byWorkspace[workspace] = h
		s.shares = append(s.shares, h)
	}
	h.weight = max(weight, 1)
	return h
}

// closeWindow closes the window if it is due and adjusts the level of every workspace. A
// saturated target admits each workspace's fair share of its capacity; otherwise the
// admit ratios grow with the unused capacity. utilization is the ratio of the limit in
// use. rate is the number of calls per second that the limit and the service time allow;
// it stands in for the completions when an overload begins and responses lag behind.
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

// tighten divides capacity among the workspaces by weighted max-min fairness (water
// filling) for one class, and returns the capacity left for lower classes.
func (s *fairShares) tighten(class int, capacity float64) float64 {
	demand := 0.0
	for _, h := range s.shares {
		demand += h.offered[class]
	}
	if demand <= capacity {
		return capacity - demand
	}
	callsPerWeight := s.waterline(class, capacity)
	for _, h := range s.shares {
		if h.offered[class] == 0 {
			continue
		}
		factor := max(minShareDecrease, min(1, callsPerWeight*h.weight/h.offered[class]))
		h.admitRatio[class] = max(minAdmitRatio, h.admitRatio[class]*factor)
	}
	return 0
}

// waterline returns the number of calls per unit of weight at which the demands, capped
// at that number, sum to capacity.
func (s *fairShares) waterline(class int, capacity float64) float64 {
	low, high := 0.0, capacity
	for range 40 {
		mid := (low + high) / 2
		sum := 0.0
		for _, h := range s.shares {
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

// relax raises the admit ratios: the lower the utilization, the faster.
func (s *fairShares) relax(utilization float64) {
	factor := max(minGrowth, min(maxGrowth, fullUtilization/max(utilization, fullUtilization/maxGrowth)))
	for _, h := range s.shares {
		for c := range h.admitRatio {
			h.admitRatio[c] = min(1, h.admitRatio[c]*factor+growthStep)
		}
	}
}

// startWindow publishes the new levels, removes workspaces without calls and resets the
// counters of the window.
func (s *fairShares) startWindow(now time.Time) {
	active := s.shares[:0]
	for _, h := range s.shares {
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
		active = append(active, h)
	}
	clear(s.shares[len(active):])
	s.shares = active
	s.windowStart, s.completions, s.rejected, s.queueEmptied = now, 0, false, false
}

// levelOf converts the admit ratios to a level. The level follows the highest class with
// a ratio below 1, and so refuses all calls of the classes below it.
func levelOf(admitRatio [Classes]float64) Level {
	for c := Classes - 1; c > 0; c-- {
		if admitRatio[c] < 1 {
			return Level(c*HashBuckets) + Level((1-admitRatio[c])*HashBuckets)
		}
	}
	return Level((1 - admitRatio[0]) * HashBuckets)
}
