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
	// A window with windowSamples samples closes after limitWindow. With fewer it stays
	// open until maxLimitWindow, and then closes once it has minSamples.
	windowSamples  = 20
	maxLimitWindow = 300 * time.Millisecond
	minSamples     = 3
	// An increase of the service time within noiseFactor times the baseline plus
	// noiseMargin is treated as noise.
	noiseFactor = 1.2
	noiseMargin = 2 * time.Millisecond
	// bindingRatio is the ratio of the limit that must have been in use for the
	// service time to be attributed to the concurrency.
	bindingRatio = 0.7
	// baselineWindow is the time over which the smallest mean service time of a route is
	// determined. The baseline is the smaller value of the current and the previous window.
	baselineWindow = 5 * time.Second
	minDecrease    = 0.5 // lowest multiplier of the limit in one window
	shedDecrease   = 0.9 // multiplier of the limit after the target has shed calls
	// The limit grows by fastGrowthFactor while the service time, relative to the baseline
	// plus noiseMargin/noiseFactor, is below fastGrowthSlowdown.
	fastGrowthSlowdown = 1.08
	fastGrowthFactor   = 1.3
	// Once consecutive cuts have reduced the limit to cutCheckRatio of what it was, the
	// slowdown must have fallen by at least half of that reduction. Otherwise the
	// target is slow for a reason other than concurrency.
	cutCheckRatio = 0.7
)

// routeTiming is the service time of one route at the target, excluding child calls.
type routeTiming struct {
	sum      time.Duration
	samples  int
	baseline [2]time.Duration // smallest mean in the current and previous window
}

// unloaded returns the baseline, the estimated service time of the route without load: the
// smaller value of the two baseline windows.
func (t *routeTiming) unloaded() time.Duration {
	if t.baseline[1] == 0 || t.baseline[0] != 0 && t.baseline[0] < t.baseline[1] {
		return t.baseline[0]
	}
	return t.baseline[1]
}

// limiter adapts the concurrency limit of the target to the ratio of its own service
// time to a baseline measured without load.
type limiter struct {
	limit          float64
	timings        map[string]*routeTiming
	samples        int
	shed           int // calls that the target refused in this window
	peakRunning    int // most concurrent calls in this window
	windowStart    time.Time
	baselineStart  time.Time
	limitChangedAt time.Time // calls started earlier ran under another limit and are not measured

	cuts        int     // consecutive
	cutLimit    float64 // limit before the cuts
	cutSlowdown float64 // slowdown before the cuts
}

func newLimiter() limiter {
	return limiter{limit: initialLimit, timings: map[string]*routeTiming{}}
}

// observe adds the service time of one call, excluding its child calls.
func (l *limiter) observe(route string, started time.Time, ownTime time.Duration) {
	if started.Before(l.limitChangedAt) {
		return
	}
	t, ok := l.timings[route]
	if !ok {
		t = &routeTiming{}
		l.timings[route] = t
	}
	t.sum += ownTime
	t.samples++
	l.samples++
}

// closeWindow closes the window if it is old enough and has enough samples, and then
// adjusts the limit.
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

// adjust sets the limit after a window: lower if the target has shed calls or slowed
// down under the limit, higher if it used the limit without slowing down.
func (l *limiter) adjust(now time.Time) {
	slowdown := l.slowdown(now)
	binding := float64(l.peakRunning) >= bindingRatio*l.limit
	switch {
	case l.shed > 0:
		l.limit, l.limitChangedAt = max(minLimit, l.limit*shedDecrease), now
	case !binding || slowdown == 0:
		l.cuts = 0
	case slowdown > 1:
		l.cut(slowdown)
		l.limitChangedAt = now
	case slowdown*noiseFactor < fastGrowthSlowdown:
		l.cuts = 0
		l.limit, l.limitChangedAt = min(maxLimit, l.limit*fastGrowthFactor+1), now
	default:
		l.cuts = 0
		l.limit = min(maxLimit, l.limit+math.Sqrt(l.limit)/2)
	}
}

// cut lowers the limit. If previous cuts have not made the target faster, the target is
// slow for another reason: the limit is restored, and the service time measured in this
// window becomes the baseline.
func (l *limiter) cut(slowdown float64) {
	if l.cuts == 0 {
		l.cutLimit, l.cutSlowdown = l.limit, slowdown
	}
	l.cuts++
	remaining := l.limit / l.cutLimit
	if remaining > cutCheckRatio || slowdown <= l.cutSlowdown*(1+remaining)/2 {
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

// slowdown returns the measured service time of the window divided by the longest
// service time that counts as unloaded, or 0 if nothing was measured.
func (l *limiter) slowdown(now time.Time) float64 {
	rotate := now.Sub(l.baselineStart) > baselineWindow
	if rotate {
		l.baselineStart = now
	}
	var measured, expected time.Duration
	for _, t := range l.timings {
		if rotate {
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
