package control

import (
	"context"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
)

const queueSize = 8192

// MessageSender sends messages to peers; it must not block.
type MessageSender interface {
	Send(e core.Envelope)
}

// StoreExecutor carries out operations on the store; it must not block.
type StoreExecutor interface {
	Submit(r core.StoreRequest)
}

// Observer is told what was decided; it must not block.
type Observer interface {
	Verdict(v *core.Verdict, a *core.CallArrived)
	Notice(n core.Notice)
	ManifestActivated(m *manifest.Versioned)
}

// Clock tells the time by which the reducer judges.
type Clock interface {
	Now() time.Time
}

// Config holds what a Loop is made of.
type Config struct {
	Clock         Clock
	State         *core.State
	MessageSender MessageSender
	StoreExecutor StoreExecutor
	Observer      Observer
}

type queueItem struct {
	event   core.Event
	call    *CallHandle
	inspect func(s *core.State)
	applied chan struct{} // closed once the event has taken effect
}

// Loop is the control goroutine's queue and what it hands effects to.
type Loop struct {
	Config
	queue chan queueItem
	calls map[core.CallID]*CallHandle
	done  chan struct{}
}

// New returns a loop that Run is yet to start.
func New(c Config) *Loop {
	return &Loop{
		Config: c,
		queue:  make(chan queueItem, queueSize),
		calls:  map[core.CallID]*CallHandle{},
		done:   make(chan struct{}),
	}
}

// Run takes in events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	tick := &core.Tick{}
	var next time.Time // when the timer fires
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
		pace := l.State.NextTickDelay(now)
		if due := now.Add(pace); next.IsZero() || due.Add(pace/2).Before(next) {
			next = due
			timer.Reset(pace)
		}
	}
}

// Post queues an event and reports whether the loop still takes any.
func (l *Loop) Post(e core.Event) bool { return l.enqueue(queueItem{event: e}) }

// Inspect runs a function on the state in the control goroutine and waits for
// it. It reports false when the loop has ended or the context did.
func (l *Loop) Inspect(ctx context.Context, f func(s *core.State)) bool {
	return l.wait(ctx, queueItem{inspect: f, applied: make(chan struct{})})
}

// PostAndWait queues an event and waits until it has taken effect. It reports false when
// the loop has ended or the context did.
func (l *Loop) PostAndWait(ctx context.Context, e core.Event) bool {
	return l.wait(ctx, queueItem{event: e, applied: make(chan struct{})})
}

func (l *Loop) wait(ctx context.Context, it queueItem) bool {
	if !l.enqueue(it) {
		return false
	}
	select {
	case <-it.applied:
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
	if it.applied != nil {
		defer close(it.applied)
	}
	if it.inspect != nil {
		it.inspect(l.State)
		return
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

func (l *Loop) apply(e *core.Effects) {
	for i := range e.Verdicts {
		l.deliver(&e.Verdicts[i])
	}
	for _, m := range e.Envelopes {
		l.MessageSender.Send(m)
	}
	for _, r := range e.StoreRequests {
		l.StoreExecutor.Submit(r)
	}
	if e.NewManifest != nil {
		l.Observer.ManifestActivated(e.NewManifest)
	}
	for _, n := range e.Notices {
		l.Observer.Notice(n)
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
