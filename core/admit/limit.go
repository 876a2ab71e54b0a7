package admit

import (
	"math"
	"time"
)

const (
	initialLimit = 32.0
	minLimit     = 4.0
	maxLimit     = 1000.0
	limitWindow  = 100 * time.Millisecond
	// minSamples keeps a window open until its mean says something.
	minSamples = 20
	// tolerance is the stretch of the mean service time taken as noise.
	tolerance = 1.3
	// baselineWindow bounds how long an old minimum stands for the target's
	// unloaded service time.
	baselineWindow = 3 * time.Second
	shedDecrease   = 0.9
)

// limiter adapts the number of calls the target may run at once from the growth
// of its own service time over an unloaded baseline.
type limiter struct {
	limit    float64
	sum      time.Duration
	samples  int
	shed     int
	peak     int
	opened   time.Time
	baseline [2]time.Duration // current and previous window's smallest mean
	turned   time.Time
}

func newLimiter() limiter { return limiter{limit: initialLimit} }

// observe adds the service time of one call, less the time its children took.
func (l *limiter) observe(own time.Duration) {
	l.sum += own
	l.samples++
}

// turn closes the window once it is long and full enough, and moves the limit.
func (l *limiter) turn(now time.Time) {
	if l.opened.IsZero() {
		l.opened, l.turned = now, now
	}
	if now.Sub(l.opened) < limitWindow || l.samples+l.shed < minSamples {
		return
	}
	l.adjust(now)
	l.opened, l.sum, l.samples, l.shed, l.peak = now, 0, 0, 0, 0
}

func (l *limiter) adjust(now time.Time) {
	if l.shed > 0 {
		l.limit = max(minLimit, l.limit*shedDecrease)
		return
	}
	mean := l.sum / time.Duration(l.samples)
	base := l.base(now, mean)
	gradient := tolerance * float64(base) / float64(max(mean, 1))
	if gradient < 1 {
		l.limit = max(minLimit, l.limit*max(0.8, gradient))
		return
	}
	if float64(l.peak) >= 0.8*l.limit {
		l.limit = min(maxLimit, l.limit+math.Sqrt(l.limit)/2)
	}
}

// base returns the smallest mean of the last two baseline windows.
func (l *limiter) base(now time.Time, mean time.Duration) time.Duration {
	if now.Sub(l.turned) > baselineWindow {
		l.baseline[1], l.baseline[0] = l.baseline[0], 0
		l.turned = now
	}
	if l.baseline[0] == 0 || mean < l.baseline[0] {
		l.baseline[0] = mean
	}
	if l.baseline[1] == 0 {
		return l.baseline[0]
	}
	return min(l.baseline[0], l.baseline[1])
}
