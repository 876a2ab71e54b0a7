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
	// fullWindow samples close a window on time; with fewer it stays open until
	// longWindow, and then fewSamples will do.
	fullWindow = 20
	longWindow = 300 * time.Millisecond
	fewSamples = 3
	// tolerance and slack are the stretch of the service time, as a factor and on
	// top of it, that are taken as noise.
	tolerance = 1.2
	slack     = 2 * time.Millisecond
	// bindingShare of the limit must have been in use for a slow answer to be
	// put down to it.
	bindingShare = 0.7
	// baselineWindow bounds how long an old minimum stands for the target's
	// unloaded service time.
	baselineWindow = 5 * time.Second
	lowestGradient = 0.5
	shedDecrease   = 0.9
	// quickStretch is a stretch so small that the limit may grow by quickGrowth.
	quickStretch = 1.08
	quickGrowth  = 1.3
	// Once cuts in a row have brought the limit down to testShare, the service
	// time must be down by at least half as much, or concurrency is not what slows
	// the target.
	testShare = 0.7
)

// timing is the service time of one route at the target, child calls apart.
type timing struct {
	sum      time.Duration
	samples  int
	baseline [2]time.Duration // smallest mean in the current and previous window
}

// base returns the unloaded service time.
func (t *timing) base() time.Duration {
	if t.baseline[1] == 0 || t.baseline[0] != 0 && t.baseline[0] < t.baseline[1] {
		return t.baseline[0]
	}
	return t.baseline[1]
}

// limiter adapts the number of calls the target may run at once from the growth
// of its own service time over an unloaded baseline.
type limiter struct {
	limit   float64
	timings map[string]*timing
	samples int
	shed    int
	peak    int
	opened  time.Time
	turned  time.Time
	settled time.Time // calls begun before do not tell of the limit in force

	cuts       int     // in a row
	cutLimit   float64 // limit before them
	cutStretch float64 // stretch before them
}

func newLimiter() limiter {
	return limiter{limit: initialLimit, timings: map[string]*timing{}}
}

// observe adds the service time of one call, less the time its children took.
func (l *limiter) observe(route string, began time.Time, own time.Duration) {
	if began.Before(l.settled) {
		return
	}
	t, ok := l.timings[route]
	if !ok {
		t = &timing{}
		l.timings[route] = t
	}
	t.sum += own
	t.samples++
	l.samples++
}

// turn closes the window once it is long and full enough, and moves the limit.
func (l *limiter) turn(now time.Time) {
	if l.opened.IsZero() {
		l.opened, l.turned = now, now
	}
	age, n := now.Sub(l.opened), l.samples+l.shed
	if age < limitWindow || n < fewSamples || n < fullWindow && age < longWindow {
		return
	}
	l.adjust(now)
	for _, t := range l.timings {
		t.sum, t.samples = 0, 0
	}
	l.opened, l.samples, l.shed, l.peak = now, 0, 0, 0
}

func (l *limiter) adjust(now time.Time) {
	stretch := l.stretch(now)
	binding := float64(l.peak) >= bindingShare*l.limit
	switch {
	case l.shed > 0:
		l.limit, l.settled = max(minLimit, l.limit*shedDecrease), now
	case !binding || stretch == 0:
		l.cuts = 0
	case stretch > 1:
		l.cut(stretch)
		l.settled = now
	case stretch*tolerance < quickStretch:
		l.cuts = 0
		l.limit, l.settled = min(maxLimit, l.limit*quickGrowth+1), now
	default:
		l.cuts = 0
		l.limit = min(maxLimit, l.limit+math.Sqrt(l.limit)/2)
	}
}

// cut lowers the limit. When cuts have not made the target any faster, it is slow
// for another reason: the limit returns to where it was, and what is measured now
// becomes the baseline.
func (l *limiter) cut(stretch float64) {
	if l.cuts == 0 {
		l.cutLimit, l.cutStretch = l.limit, stretch
	}
	l.cuts++
	share := l.limit / l.cutLimit
	if share > testShare || stretch <= l.cutStretch*(1+share)/2 {
		l.limit = max(minLimit, l.limit*max(lowestGradient, 1/stretch))
		return
	}
	l.limit, l.cuts = l.cutLimit, 0
	for _, t := range l.timings {
		if t.samples > 0 {
			t.baseline = [2]time.Duration{t.sum / time.Duration(t.samples)}
		}
	}
}

// stretch returns the service time measured in the window by the longest that is
// taken as unloaded, 0 if nothing was measured.
func (l *limiter) stretch(now time.Time) float64 {
	turn := now.Sub(l.turned) > baselineWindow
	if turn {
		l.turned = now
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
		expected += time.Duration(t.samples) * (time.Duration(tolerance*float64(t.base())) + slack)
	}
	if expected == 0 {
		return 0
	}
	return measured.Seconds() / expected.Seconds()
}
