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

// A run alternates between two phases: faults mixed with planned work, then planned work
// alone.
const (
	stormDuration     = 8 * time.Second
	plannedDuration   = 7 * time.Second
	repeatProbability = 0.3 // probability that an action is repeated on the same VM
)

// injector applies random faults and planned work to a fleet.
type injector struct {
	fleet  *Fleet
	random *rand.Rand
	output io.Writer
	start  time.Time
}

// action is a fault or a piece of planned work that is applied to a VM.
type action struct {
	name   string
	inject func(i *injector, ctx context.Context, v *vm)
}

// planned holds the actions that must not lose responses.
var planned = []action{
	{"term", (*injector).terminateNode},
	{"configure", func(i *injector, _ context.Context, _ *vm) { i.fleet.Configure() }},
	{"withdraw", func(i *injector, _ context.Context, _ *vm) {
		i.fleet.RotateKey(workspaces[i.random.IntN(len(workspaces))].name)
	}},
	{"drain", (*injector).drainTarget},
}

// unplanned holds the faults.
var unplanned = []action{
	{"kill", (*injector).killNode},
	{"pause", (*injector).pauseNode},
	{"crash", (*injector).crashTarget},
	{"link", (*injector).disturbLink},
	{"mute", (*injector).silenceOpenConns},
	{"store", (*injector).disturbStore},
	{"compact", func(i *injector, _ context.Context, _ *vm) { i.fleet.store.Compact() }},
}

// logf prints an event with the seconds since the start of the run.
func (i *injector) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(i.output, "%8.3f %s\n", time.Since(i.start).Seconds(), fmt.Sprintf(format, args...))
}

// run alternates between the phases until the given time. Faults that it began may still
// be active when it returns.
func (i *injector) run(ctx context.Context, until time.Time) {
	for time.Now().Before(until) && ctx.Err() == nil {
		i.phase(ctx, "storm", append(slices.Clone(unplanned), planned...), earlier(time.Now().Add(stormDuration), until))
		i.sleep(ctx, settlePeriod)
		i.phase(ctx, "planned", planned, earlier(time.Now().Add(plannedDuration), until))
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sleep waits for d or until the context ends.
func (i *injector) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// phase starts random actions at random times; they may overlap.
func (i *injector) phase(ctx context.Context, name string, from []action, until time.Time) {
	i.logf("phase %s", name)
	for time.Now().Before(until) && ctx.Err() == nil {
		a, v := from[i.random.IntN(len(from))], i.fleet.vms[i.random.IntN(len(i.fleet.vms))]
		for again := true; again; again = i.random.Float64() < repeatProbability {
			i.logf("%s n%d", a.name, v.index)
			a.inject(i, ctx, v)
			i.sleep(ctx, i.randomDuration(50*time.Millisecond, 400*time.Millisecond))
		}
		i.sleep(ctx, i.randomDuration(300*time.Millisecond, 1500*time.Millisecond))
	}
}

// randomDuration returns a random duration of at least shortest and less than longest.
func (i *injector) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(i.random.Int64N(int64(longest-shortest)))
}

// afterDelay calls f after d, in a goroutine that Fleet.Stop waits for.
func (i *injector) afterDelay(d time.Duration, f func()) {
	i.fleet.wg.Go(func() {
		time.Sleep(d)
		f()
	})
}

// restartNode starts the node of a VM after a pause and then calls done.
func (i *injector) restartNode(v *vm, pause time.Duration, done func()) {
	i.afterDelay(pause, func() {
		if err := i.fleet.startNode(v); err != nil {
			i.fleet.history.locked(func() { i.fleet.history.ProcessErrors = append(i.fleet.history.ProcessErrors, err.Error()) })
		}
		done()
	})
}

// markStopped marks the node as stopped and reports whether it was running. Only one action
// at a time may stop a node.
func (v *vm) markStopped() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	wasStopped := v.stopped
	v.stopped = true
	return !wasStopped
}

// terminateNode restarts a node with SIGTERM, which is planned work: the node must exit
// within stopBound.
func (i *injector) terminateNode(_ context.Context, v *vm) {
	if !v.markStopped() {
		return
	}
	_ = v.node.Terminate()
	pause := i.randomDuration(50*time.Millisecond, 500*time.Millisecond)
	i.fleet.wg.Go(func() {
		if err := v.node.Wait(stopBound); err != nil {
			i.fleet.history.locked(func() {
				i.fleet.history.ProcessErrors = append(i.fleet.history.ProcessErrors, fmt.Sprintf("n%d after SIGTERM: %v", v.index, err))
			})
			_ = v.node.Kill()
		}
		i.restartNode(v, pause, func() {})
	})
}

// killNode kills a node and starts it again after a pause.
func (i *injector) killNode(_ context.Context, v *vm) {
	if !v.markStopped() {
		return
	}
	end := i.fleet.history.beginFault("kill")
	_ = v.node.Kill()
	pause := i.randomDuration(100*time.Millisecond, 2*time.Second)
	i.fleet.wg.Go(func() {
		_ = v.node.Wait(stopBound) // reports the signal as an error
		i.restartNode(v, pause, end)
	})
}

// pauseNode suspends the process of a node for a while.
func (i *injector) pauseNode(_ context.Context, v *vm) {
	if !v.markStopped() {
		return
	}
	end := i.fleet.history.beginFault("pause")
	_ = v.node.Suspend()
	i.afterDelay(i.randomDuration(200*time.Millisecond, 6*time.Second), func() {
		_ = v.node.Resume()
		v.mu.Lock()
		v.stopped = false
		v.mu.Unlock()
		end()
	})
}

// drainTarget announces that a target is draining, records the node's acknowledgement, and
// starts another target in its place.
func (i *injector) drainTarget(ctx context.Context, v *vm) {
	v.mu.Lock()
	e, stop := v.target, v.stopTarget
	v.mu.Unlock()
	e.SetState("draining")
	i.fleet.wg.Go(func() {
		for end := time.Now().Add(drainBound); time.Now().Before(end); time.Sleep(heartbeatInterval) {
			if e.SendHeartbeat(ctx) == nil {
				i.fleet.history.locked(func() {
					i.fleet.history.DrainAcks = append(i.fleet.history.DrainAcks, DrainAck{Target: e.ID, At: time.Now()})
				})
				break
			}
		}
		time.Sleep(drainBound + 500*time.Millisecond)
		i.replaceTarget(ctx, v, e.ID, stop)
	})
}

// crashTarget stops a target without draining it and starts another after a pause.
func (i *injector) crashTarget(ctx context.Context, v *vm) {
	end := i.fleet.history.beginFault("crash")
	v.mu.Lock()
	id, stop := v.target.ID, v.stopTarget
	v.mu.Unlock()
	stop()
	i.afterDelay(i.randomDuration(200*time.Millisecond, 2*time.Second), func() {
		i.replaceTarget(ctx, v, id, func() {})
		end()
	})
}

// replaceTarget stops a target and starts a new one, unless another action has already
// replaced it.
func (i *injector) replaceTarget(ctx context.Context, v *vm, id string, stop context.CancelFunc) {
	v.mu.Lock()
	current := v.target.ID == id
	v.mu.Unlock()
	stop()
	for try := 0; current && try < 20 && ctx.Err() == nil; try++ {
		if i.fleet.startTarget(ctx, v) == nil {
			return
		}
		time.Sleep(100 * time.Millisecond) // the old listener may not have released the address yet
	}
}

var linkNames = []string{"node", "control", "target", "store"}

// disturbLink puts a random link of a VM into a fault mode for a while.
func (i *injector) disturbLink(_ context.Context, v *vm) {
	name, mode := linkNames[i.random.IntN(len(linkNames))], Mode(1+i.random.IntN(int(Silent)))
	i.logf("link n%d %s %s", v.index, name, mode)
	end := i.fleet.history.beginFault("link")
	v.links[name].SetMode(mode)
	i.afterDelay(i.randomDuration(300*time.Millisecond, 5*time.Second), func() {
		v.links[name].SetMode(Pass)
		end()
	})
}

// silenceOpenConns makes the open connections of a random link of a VM silent for good.
func (i *injector) silenceOpenConns(_ context.Context, v *vm) {
	end := i.fleet.history.beginFault("mute")
	v.links[linkNames[i.random.IntN(len(linkNames))]].SilenceOpenConns()
	i.afterDelay(settlePeriod, end) // time for the nodes to detect the silent connections
}

// disturbStore makes the store unavailable, slow, lossy or silent for a while.
func (i *injector) disturbStore(_ context.Context, _ *vm) {
	faults := []standin.StoreFaults{{Unavailable: true}, {Delay: 250 * time.Millisecond}, {LostResponses: 4}, {SuppressWatchEvents: true}}
	f := faults[i.random.IntN(len(faults))]
	i.logf("store %+v", f)
	end := i.fleet.history.beginFault("store")
	i.fleet.store.SetFaults(f)
	i.afterDelay(i.randomDuration(300*time.Millisecond, 6*time.Second), func() {
		i.fleet.store.SetFaults(standin.StoreFaults{})
		end()
	})
}
