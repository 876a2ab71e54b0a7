package admit

import (
	"math"
	"time"
)

const (
	initialLimit = 64.0
	minLimit     = 4.0
	maxLimit     = 1000.0
	limitWindow  = 100 * time.Millisecond
	// windowSamples samples close a window on time; with fewer it stays open until
	// longWindow, and then fewSamples will do.
	windowSamples  = 20
	maxLimitWindow = 300 * time.Millisecond
	minSamples     = 3
	// noiseFactor and slack are the stretch of the service time, as a factor and on
	// top of it, that are taken as noise.
	noiseFactor = 1.2
	noiseMargin = 2 * time.Millisecond
	// bindingRatio of the limit must have been in use for a slow answer to be
	// put down to it.
	bindingRatio = 0.7
	// baselineWindow bounds how long an old minimum stands for the target's
	// unloaded service time.
	baselineWindow = 5 * time.Second
	minDecrease    = 0.5
	shedDecrease   = 0.9
	// fastGrowthSlowdown is a stretch so small that the limit may grow by quickGrowth.
	fastGrowthSlowdown = 1.08
	fastGrowthFactor   = 1.3
	// Once cuts in a row have brought the limit down to cutCheckRatio, the service
	// time must be down by at least half as much, or concurrency is not what slows
	// the target.
	cutCheckRatio = 0.7
)

// routeTiming is the service time of one route at the target, child calls apart.
type routeTiming struct {
	sum      time.Duration
	samples  int
	baseline [2]time.Duration // smallest mean in the current and previous window
}

// unloaded returns the unloaded service time.
func (t *routeTiming) unloaded() time.Duration {
	if t.baseline[1] == 0 || t.baseline[0] != 0 && t.baseline[0] < t.baseline[1] {
		return t.baseline[0]
	}
	return t.baseline[1]
}

// limiter adapts the number of calls the target may run at once from the growth
// of its own service time over an unloaded baseline.
type limiter struct {
	limit         float64
	timings       map[string]*routeTiming
	samples       int
	shed          int
	peakRunning   int
	windowStart   time.Time
	baselineStart time.Time
	limitChanged  time.Time // calls begun before do not tell of the limit in force

	cuts        int     // in a row
	cutLimit    float64 // limit before them
	cutSlowdown float64 // stretch before them
}

func newLimiter() limiter {
	return limiter{limit: initialLimit, timings: map[string]*routeTiming{}}
}

// observe adds the service time of one call, less the time its children took.
func (l *limiter) observe(route string, began time.Time, own time.Duration) {
	if began.Before(l.limitChanged) {
		return
	}
	t, ok := l.timings[route]
	if !ok {
		t = &routeTiming{}
		l.timings[route] = t
	}
	t.sum += own
	t.samples++
	l.samples++
}

// closeWindow closes the window once it is long and full enough, and moves the limit.
func (l *limiter) closeWindow(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart, l.baselineStart = now, now
	}
	age, n := now.Sub(l.windowStart), l.samples+l.shed
	if age < limitWindow || n < minSamples || n < windowSamples && age < maxLimitWindow {
		return
	}
	l.adjust(now)
	for _, t := range l.timings {
		t.sum, t.samples = 0, 0
	}
	l.windowStart, l.samples, l.shed, l.peakRunning = now, 0, 0, 0
}

func (l *limiter) adjust(now time.Time) {
	slowdown := l.slowdown(now)
	binding := float64(l.peakRunning) >= bindingRatio*l.limit
	switch {
	case l.shed > 0:
		l.limit, l.limitChanged = max(minLimit, l.limit*shedDecrease), now
	case !binding || slowdown == 0:
		l.cuts = 0
	case slowdown > 1:
		l.cut(slowdown)
		l.limitChanged = now
	case slowdown*noiseFactor < fastGrowthSlowdown:
		l.cuts = 0
		l.limit, l.limitChanged = min(maxLimit, l.limit*fastGrowthFactor+1), now
	default:
		l.cuts = 0
		l.limit = min(maxLimit, l.limit+math.Sqrt(l.limit)/2)
	}
}

// cut lowers the limit. When cuts have not made the target any faster, it is slow
// for another reason: the limit returns to where it was, and what is measured now
// becomes the baseline.
func (l *limiter) cut(slowdown float64) {
	if l.cuts == 0 {
		l.cutLimit, l.cutSlowdown = l.limit, slowdown
	}
	l.cuts++
	share := l.limit / l.cutLimit
	if share > cutCheckRatio || slowdown <= l.cutSlowdown*(1+share)/2 {
		l.limit = max(minLimit, l.limit*max(minDecrease, 1/slowdown))
		return
	}
	l.limit, l.cuts = l.cutLimit, 0
	for _, t := range l.timings {
		if t.samples > 0 {
			t.baseline = [2]time.Duration{t.sum / time.Duration(t.samples)}
		}
	}
}

// slowdown returns the service time measured in the window by the longest that is
// taken as unloaded, 0 if nothing was measured.
func (l *limiter) slowdown(now time.Time) float64 {
	turn := now.Sub(l.baselineStart) > baselineWindow
	if turn {
		l.baselineStart = now
	}
	var measured, expected time.Duration
	for _, t := range l.timings {
		if turn {
			t.baseline[1], t.baseline[0] = t.baseline[0], 0
		}
		if t.samples == 0 {
			continue
		}
		mean := t.sum / time.Duration(t.samples)
		if t.baseline[0] == 0 || mean < t.baseline[0] {
			t.baseline[0] = mean
		}
		measured += t.sum
		expected += time.Duration(t.samples) * (time.Duration(noiseFactor*float64(t.unloaded())) + noiseMargin)
	}
	if expected == 0 {
		return 0
	}
	return measured.Seconds() / expected.Seconds()
}
