package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	standin "celeryshelf/internal/standin"
)

// Phases of a run: disruptions of every kind, then planned work alone, in turn.
const (
	stormFor   = 8 * time.Second
	plannedFor = 7 * time.Second
	againShare = 0.3 // of actions that are followed by the same one at once
)

// injector draws what happens to a fleet.
type injector struct {
	fleet  *Fleet
	random *rand.Rand
	out    io.Writer
	start  time.Time
}

// action is one thing that may happen to a unit.
type action struct {
	name string
	do   func(i *injector, ctx context.Context, u *unit)
}

var planned = []action{
	{"term", (*injector).term},
	{"configure", func(i *injector, _ context.Context, _ *unit) { i.fleet.Configure() }},
	{"withdraw", func(i *injector, _ context.Context, _ *unit) {
		i.fleet.RotateKey(workspaces[i.random.IntN(len(workspaces))].name)
	}},
	{"drain", (*injector).drain},
}

var unplanned = []action{
	{"kill", (*injector).kill},
	{"pause", (*injector).pause},
	{"crash", (*injector).crash},
	{"link", (*injector).link},
	{"mute", (*injector).mute},
	{"store", (*injector).store},
	{"compact", func(i *injector, _ context.Context, _ *unit) { i.fleet.store.Compact() }},
}

// say prints one event.
func (i *injector) say(format string, args ...any) {
	_, _ = fmt.Fprintf(i.out, "%8.3f %s\n", time.Since(i.start).Seconds(), fmt.Sprintf(format, args...))
}

// run injects until an instant, and returns when all that it began has ended.
func (i *injector) run(ctx context.Context, until time.Time) {
	for time.Now().Before(until) && ctx.Err() == nil {
		i.phase(ctx, "storm", append(slices.Clone(unplanned), planned...), earlier(time.Now().Add(stormFor), until))
		i.rest(ctx, contact)
		i.phase(ctx, "planned", planned, earlier(time.Now().Add(plannedFor), until))
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (i *injector) rest(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// phase begins actions at random moments; they overlap.
func (i *injector) phase(ctx context.Context, name string, from []action, until time.Time) {
	i.say("phase %s", name)
	for time.Now().Before(until) && ctx.Err() == nil {
		a, u := from[i.random.IntN(len(from))], i.fleet.units[i.random.IntN(len(i.fleet.units))]
		for again := true; again; again = i.random.Float64() < againShare {
			i.say("%s n%d", a.name, u.index)
			a.do(i, ctx, u)
			i.rest(ctx, i.span(50*time.Millisecond, 400*time.Millisecond))
		}
		i.rest(ctx, i.span(300*time.Millisecond, 1500*time.Millisecond))
	}
}

// span draws a time.
func (i *injector) span(least, most time.Duration) time.Duration {
	return least + time.Duration(i.random.Int64N(int64(most-least)))
}

// after ends a disruption later.
func (i *injector) after(d time.Duration, f func()) {
	i.fleet.group.Go(func() {
		time.Sleep(d)
		f()
	})
}

// restart starts a unit's node again after a pause.
func (i *injector) restart(u *unit, pause time.Duration, done func()) {
	i.after(pause, func() {
		if err := i.fleet.startNode(u); err != nil {
			i.fleet.history.note(func() { i.fleet.history.ProcessErrors = append(i.fleet.history.ProcessErrors, err.Error()) })
		}
		done()
	})
}

// claim marks a unit's node as being stopped and reports whether it ran until now.
func (u *unit) claim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	was := u.stopped
	u.stopped = true
	return !was
}

func (i *injector) term(_ context.Context, u *unit) {
	if !u.claim() {
		return
	}
	_ = u.node.Terminate()
	pause := i.span(50*time.Millisecond, 500*time.Millisecond)
	i.fleet.group.Go(func() {
		if err := u.node.Wait(stopBound); err != nil {
			i.fleet.history.note(func() {
				i.fleet.history.ProcessErrors = append(i.fleet.history.ProcessErrors, fmt.Sprintf("n%d after SIGTERM: %v", u.index, err))
			})
			_ = u.node.Kill()
		}
		i.restart(u, pause, func() {})
	})
}

func (i *injector) kill(_ context.Context, u *unit) {
	if !u.claim() {
		return
	}
	end := i.fleet.history.begin("kill")
	_ = u.node.Kill()
	pause := i.span(100*time.Millisecond, 2*time.Second)
	i.fleet.group.Go(func() {
		_ = u.node.Wait(stopBound) // it was killed
		i.restart(u, pause, end)
	})
}

func (i *injector) pause(_ context.Context, u *unit) {
	if !u.claim() {
		return
	}
	end := i.fleet.history.begin("pause")
	_ = u.node.Suspend()
	i.after(i.span(200*time.Millisecond, 6*time.Second), func() {
		_ = u.node.Resume()
		u.mu.Lock()
		u.stopped = false
		u.mu.Unlock()
		end()
	})
}

// drain has a target leave and another start in its place.
func (i *injector) drain(ctx context.Context, u *unit) {
	u.mu.Lock()
	e, stop := u.target, u.stop
	u.mu.Unlock()
	e.SetState("draining")
	i.fleet.group.Go(func() {
		for end := time.Now().Add(drainBound); time.Now().Before(end); time.Sleep(beat) {
			if e.SendHeartbeat(ctx) == nil {
				i.fleet.history.note(func() {
					i.fleet.history.DrainAcks = append(i.fleet.history.DrainAcks, DrainAck{Target: e.ID, At: time.Now()})
				})
				break
			}
		}
		time.Sleep(drainBound + 500*time.Millisecond)
		i.replace(ctx, u, e.ID, stop)
	})
}

// crash ends a target at once.
func (i *injector) crash(ctx context.Context, u *unit) {
	end := i.fleet.history.begin("crash")
	u.mu.Lock()
	id, stop := u.target.ID, u.stop
	u.mu.Unlock()
	stop()
	i.after(i.span(200*time.Millisecond, 2*time.Second), func() {
		i.replace(ctx, u, id, func() {})
		end()
	})
}

// replace starts a new target unless another has already taken the place.
func (i *injector) replace(ctx context.Context, u *unit, id string, stop context.CancelFunc) {
	u.mu.Lock()
	mine := u.target.ID == id
	u.mu.Unlock()
	stop()
	for try := 0; mine && try < 20 && ctx.Err() == nil; try++ {
		if i.fleet.startTarget(ctx, u) == nil {
			return
		}
		time.Sleep(100 * time.Millisecond) // the address is not free yet
	}
}

var linkNames = []string{"node", "control", "target", "store"}

func (i *injector) link(_ context.Context, u *unit) {
	name, mode := linkNames[i.random.IntN(len(linkNames))], Mode(1+i.random.IntN(int(Silent)))
	i.say("link n%d %s %s", u.index, name, mode)
	end := i.fleet.history.begin("link")
	u.links[name].SetMode(mode)
	i.after(i.span(300*time.Millisecond, 5*time.Second), func() {
		u.links[name].SetMode(Pass)
		end()
	})
}

func (i *injector) mute(_ context.Context, u *unit) {
	end := i.fleet.history.begin("mute")
	u.links[linkNames[i.random.IntN(len(linkNames))]].SilenceOpenConns()
	i.after(contact, end) // until the silent connections have been found
}

func (i *injector) store(_ context.Context, _ *unit) {
	faults := []standin.StoreFaults{{Unavailable: true}, {Delay: 250 * time.Millisecond}, {LostResponses: 4}, {SuppressWatchEvents: true}}
	f := faults[i.random.IntN(len(faults))]
	i.say("store %+v", f)
	end := i.fleet.history.begin("store")
	i.fleet.store.SetFaults(f)
	i.after(i.span(300*time.Millisecond, 6*time.Second), func() {
		i.fleet.store.SetFaults(standin.StoreFaults{})
		end()
	})
}
