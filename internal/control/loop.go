package control

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
	"celeryshelf/core/route"
)

const queueSize = 8192

// MessageSender sends messages to peers. Send must not block.
type MessageSender interface {
	Send(e core.Envelope)
}

// StoreExecutor executes requests to the store. Submit must not block.
type StoreExecutor interface {
	Submit(r core.StoreRequest)
}

// Observer receives the decisions of the reducer. Its methods must not block.
type Observer interface {
	Verdict(v *core.Verdict, a *core.CallArrived)
	Notice(n core.Notice)
	ManifestActivated(m *manifest.Compiled)
}

// ManifestDecoder decodes manifests and reports them as events. Decode must not block.
type ManifestDecoder interface {
	Decode(encoding []byte)
}

// Clock returns the time in the reducer's time base.
type Clock interface {
	Now() time.Time
}

// Config holds the dependencies of a Loop.
type Config struct {
	Clock         Clock
	State         *core.State
	MessageSender MessageSender
	StoreExecutor StoreExecutor
	Observer      Observer
	// ManifestDecoder may be nil if peers send no manifests.
	ManifestDecoder ManifestDecoder
}

// queueItem is an event to apply, a function to run on the state if inspect is set, or the end of
// waiting for an acknowledgement if neither is.
type queueItem struct {
	event   core.Event
	call    *CallHandle // set with the arrival of a call: receives its verdicts
	inspect func(s *core.State)
	applied chan struct{} // closed after inspect has returned
	ack     core.AckID    // of the event, if its acknowledgement is waited for
	acked   chan struct{} // closed when the reducer acknowledges it
}

// Loop queues events for the control goroutine and executes their effects.
type Loop struct {
	Config
	queue chan queueItem
	calls map[core.CallID]*CallHandle
	acks  map[core.AckID]chan struct{} // events whose acknowledgement is waited for
	done  chan struct{}

	lastAck atomic.Uint64
	work    atomic.Uint64 // effects' Work, as two numbers of 32 bits in units of workUnit
}

// New returns a loop; Run starts it.
func New(c Config) *Loop {
	return &Loop{
		Config: c,
		queue:  make(chan queueItem, queueSize),
		calls:  map[core.CallID]*CallHandle{},
		acks:   map[core.AckID]chan struct{}{},
		done:   make(chan struct{}),
	}
}

// Run processes events until the context is done. It applies a Tick when the timer fires.
// The timer is reset early only if the next Tick is due much earlier than it would fire:
// by more than half the new delay.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	tick := &core.Tick{}
	var next time.Time // when the timer fires, zero if it is not running
	for {
		var now time.Time
		select {
		case it := <-l.queue:
			now = l.Clock.Now()
			l.handle(now, it)
		case <-timer.C:
			now = l.Clock.Now()
			l.apply(l.State.Step(now, tick))
			next = time.Time{}
		case <-ctx.Done():
			return
		}
		delay := l.State.NextTickDelay(now)
		if due := now.Add(delay); next.IsZero() || due.Add(delay/2).Before(next) {
			next = due
			timer.Reset(delay)
		}
	}
}

// Post queues an event. It returns false if the loop has stopped. It blocks while the
// queue is full.
func (l *Loop) Post(e core.Event) bool { return l.enqueue(queueItem{event: e}) }

// Inspect runs a function on the state in the control goroutine and waits until it has
// returned. It returns false if the loop has stopped or the context is done first.
func (l *Loop) Inspect(ctx context.Context, f func(s *core.State)) bool {
	applied := make(chan struct{})
	return l.wait(ctx, queueItem{inspect: f, applied: applied}, applied)
}

// PostAndAwaitAck queues the event that newEvent returns for an ID, and waits until the reducer
// acknowledges that ID. It returns false if the loop has stopped or the context is done first;
// the event may then have been applied.
func (l *Loop) PostAndAwaitAck(ctx context.Context, newEvent func(id core.AckID) core.Event) bool {
	id, acked := core.AckID(l.lastAck.Add(1)), make(chan struct{})
	ok := l.wait(ctx, queueItem{event: newEvent(id), ack: id, acked: acked}, acked)
	if !ok {
		l.enqueue(queueItem{ack: id})
	}
	return ok
}

// wait queues an item and waits until the channel is closed.
func (l *Loop) wait(ctx context.Context, it queueItem, closed <-chan struct{}) bool {
	if !l.enqueue(it) {
		return false
	}
	select {
	case <-closed:
		return true
	case <-ctx.Done():
		return false
	case <-l.done:
		return false
	}
}

func (l *Loop) enqueue(it queueItem) bool {
	select {
	case l.queue <- it:
		return true
	case <-l.done:
		return false
	}
}

func (l *Loop) handle(now time.Time, it queueItem) {
	switch {
	case it.inspect != nil:
		it.inspect(l.State)
		close(it.applied)
		return
	case it.event == nil:
		delete(l.acks, it.ack)
		return
	case it.ack != 0:
		l.acks[it.ack] = it.acked
	}
	if it.call != nil {
		l.calls[it.call.arrive.Call] = it.call
	}
	effects := l.State.Step(now, it.event)
	l.apply(effects)
	switch e := it.event.(type) {
	case *core.CallCanceled:
		delete(l.calls, e.Call)
	case *core.CallFinished:
		delete(l.calls, e.Call)
	}
}

// workUnit is the resolution of the published work: 32 bits of it exceed an hour.
const workUnit = time.Microsecond

// Work returns what responses to other nodes state of the work at the local target, zero if
// nothing.
func (l *Loop) Work() route.Work {
	packed := l.work.Load()
	return route.Work{
		UnitTime: time.Duration(packed>>32) * workUnit, ServiceTime: time.Duration(uint32(packed)) * workUnit,
	}
}

// publish makes the work available to the goroutines that write responses.
func (l *Loop) publish(w route.Work) {
	pack := func(d time.Duration) uint64 { return uint64(max(0, min(math.MaxUint32, d/workUnit))) }
	if packed := pack(w.UnitTime)<<32 | pack(w.ServiceTime); packed != l.work.Load() {
		l.work.Store(packed)
	}
}

func (l *Loop) apply(e *core.Effects) {
	l.publish(e.Work)
	for i := range e.Verdicts {
		l.deliver(&e.Verdicts[i])
	}
	for _, m := range e.Envelopes {
		l.MessageSender.Send(m)
	}
	for _, r := range e.StoreRequests {
		l.StoreExecutor.Submit(r)
	}
	if e.EncodedManifest != nil {
		l.ManifestDecoder.Decode(e.EncodedManifest)
	}
	if e.NewManifest != nil {
		l.Observer.ManifestActivated(e.NewManifest)
	}
	for _, n := range e.Notices {
		l.Observer.Notice(n)
	}
	for _, id := range e.Acknowledgements {
		if acked, ok := l.acks[id]; ok {
			close(acked)
			delete(l.acks, id)
		}
	}
}

func (l *Loop) deliver(v *core.Verdict) {
	t, ok := l.calls[v.Call]
	if !ok {
		return
	}
	l.Observer.Verdict(v, &t.arrive)
	t.verdicts <- *v
	if v.Action == core.ActionRefuse || v.Action == core.ActionReplay || v.Action == core.ActionSettle {
		delete(l.calls, v.Call)
	}
}
