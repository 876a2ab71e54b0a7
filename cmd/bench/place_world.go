package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"celeryshelf/core/admit"
)

// Parameters of the simulated service and its callers.
const (
	placeDomains    = 3
	placeTargets    = 18
	placeSenders    = 60
	placeMeanCost   = 40 * time.Millisecond
	placeObjective  = 400 * time.Millisecond
	placeTimeout    = 2 * time.Second
	placeWarmUp     = 3 * time.Second
	placeDuration   = 33 * time.Second // two waves of each period, after the warm-up
	placeAttempts   = 4
	nearOneWay      = 150 * time.Microsecond
	farOneWay       = 900 * time.Microsecond
	slownessStep    = 100 * time.Millisecond
	slownessMemory  = 0.8 // of the logarithm, from step to step
	slownessNoise   = 0.3
	slownessJump    = 0.01 // probability of a jump to three times the usual in a step
	firstWave       = 11 * time.Second
	secondWave      = 15 * time.Second
	waveAmplitude   = 0.6
	explainedShare  = 0.5 // of the costs' logarithmic variance, by route, workspace and body size
	placeSampleStep = 5 * time.Millisecond
)

// placeCall is a simulated call.
type placeCall struct {
	id      uint64
	sender  int
	arrival time.Duration // since the start
	work    time.Duration // at slowness 1
	route   string

	attempts    int
	target      *placeTarget
	sentAt      time.Duration
	startedAt   time.Duration
	estimate    time.Duration
	excluded    []string
	startFactor float64 // slowness as the target's node estimated it at the start
}

// placeWorld is what the policies are compared on. It is the same for all of them.
type placeWorld struct {
	cv       float64
	load     float64
	slots    [placeTargets]int
	slowness [placeTargets][]float64 // by step
	calls    []placeCall
	end      time.Duration
}

// newPlaceWorld draws targets, their slowness and all calls from a seed.
func newPlaceWorld(seed uint64, cv, load float64) *placeWorld {
	w := &placeWorld{cv: cv, load: load, end: placeWarmUp + placeDuration}
	random := rand.New(rand.NewPCG(seed, 1))
	capacity := 0.0 // seconds of work in a second
	steps := int(w.end/slownessStep) + 400
	for i := range placeTargets {
		w.slots[i] = []int{4, 8, 12, 16, 24, 8}[i%6]
		speed := []float64{1, 1.3, 0.8, 1, 1.6}[i%5]
		state, sum := 0.0, 0.0
		for range steps {
			state = slownessMemory*state + slownessNoise*random.NormFloat64()
			if random.Float64() < slownessJump {
				state = math.Log(3)
			}
			s := speed * math.Exp(state)
			w.slowness[i] = append(w.slowness[i], s)
			sum += 1 / s
		}
		capacity += float64(usableSlots(w.slots[i])) * sum / float64(steps)
	}
	w.drawCalls(random, load*capacity/placeMeanCost.Seconds())
	return w
}

// usableSlots returns the slots that the gate uses of those that a target declares.
func usableSlots(slots int) int {
	g := admit.NewGate()
	g.SetSlots(slots)
	return g.Limit()
}

// drawCalls draws the arrivals, whose total rate is constant, by domain in waves.
func (w *placeWorld) drawCalls(random *rand.Rand, rate float64) {
	costs := newPlaceCosts(random, w.cv)
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at > w.end {
			return
		}
		c := placeCall{id: uint64(len(w.calls) + 1), arrival: at}
		domain := drawDomain(random, at)
		c.sender = domain + placeDomains*random.IntN(placeSenders/placeDomains)
		c.route, c.work = costs.draw(random)
		w.calls = append(w.calls, c)
	}
}

// drawDomain draws the domain in which a call arrives.
func drawDomain(random *rand.Rand, at time.Duration) int {
	var share [placeDomains]float64
	total := 0.0
	for d := range share {
		phase := 2 * math.Pi * float64(d) / placeDomains
		first := math.Sin(2*math.Pi*float64(at)/float64(firstWave) + phase)
		second := math.Sin(2*math.Pi*float64(at)/float64(secondWave) + 2*phase)
		share[d] = (1 + waveAmplitude*first) * (1 + waveAmplitude*second)
		total += share[d]
	}
	draw := random.Float64() * total
	for d := range share {
		if draw -= share[d]; draw < 0 {
			return d
		}
	}
	return 0
}

// placeCosts is the distribution of the costs: log-normal, partly explained by what a call
// looks like.
type placeCosts struct {
	sigma                    float64
	routes, workspaces, size []float64
	scale                    float64
}

func newPlaceCosts(random *rand.Rand, cv float64) *placeCosts {
	c := &placeCosts{sigma: math.Sqrt(math.Log(1 + cv*cv)), scale: 1}
	for _, values := range []struct {
		list *[]float64
		n    int
	}{{&c.routes, 5}, {&c.workspaces, 8}, {&c.size, 4}} {
		for range values.n {
			*values.list = append(*values.list, random.NormFloat64())
		}
		standardize(*values.list)
	}
	const samples = 200_000
	sum := 0.0
	for range samples {
		_, work := c.draw(random)
		sum += work.Seconds()
	}
	c.scale = placeMeanCost.Seconds() / (sum / samples)
	return c
}

// standardize gives the values mean 0 and variance 1.
func standardize(values []float64) {
	mean, square := 0.0, 0.0
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		square += (v - mean) * (v - mean) / float64(len(values))
	}
	for i := range values {
		values[i] = (values[i] - mean) / math.Sqrt(square)
	}
}

// draw draws a call and its work.
func (c *placeCosts) draw(random *rand.Rand) (string, time.Duration) {
	route, workspace, size := random.IntN(len(c.routes)), random.IntN(len(c.workspaces)), random.IntN(len(c.size))
	explained := (c.routes[route] + c.workspaces[workspace] + c.size[size]) / math.Sqrt(3)
	z := math.Sqrt(explainedShare)*explained + math.Sqrt(1-explainedShare)*random.NormFloat64()
	work := c.scale * placeMeanCost.Seconds() * math.Exp(c.sigma*z-c.sigma*c.sigma/2)
	return placeNames[route], time.Duration(work * float64(time.Second))
}

var placeNames = func() (names [placeTargets]string) {
	for i := range names {
		names[i] = fmt.Sprintf("n%d", i)
	}
	return names
}()

// finish returns when work that starts at an instant is done at a target.
func (w *placeWorld) finish(target int, start, work time.Duration) time.Duration {
	at := start
	for {
		step := int(at / slownessStep)
		s := w.factor(target, at)
		end := time.Duration(step+1) * slownessStep
		need := time.Duration(float64(work) * s)
		if at+need <= end {
			return at + need
		}
		work -= time.Duration(float64(end-at) / s)
		at = end
	}
}

// factor returns the slowness of a target at an instant.
func (w *placeWorld) factor(target int, at time.Duration) float64 {
	steps := w.slowness[target]
	return steps[int(at/slownessStep)%len(steps)]
}
