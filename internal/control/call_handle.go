package control

import (
	"context"
	"errors"

	"celeryshelf/core"
)

// ErrStopped is returned once the control loop has ended.
var ErrStopped = errors.New("control loop has ended")

// verdictBufferSize holds every verdict that can be on its way to one call at a time.
const verdictBufferSize = 2

// CallHandle is one call's side of the control loop.
type CallHandle struct {
	loop     *Loop
	verdicts chan core.Verdict
	arrive   core.CallArrived
	fail     core.AttemptFailed
	finish   core.CallFinished
	cancel   core.CallCanceled
}

// BeginCall posts the arrival of a call.
func (l *Loop) BeginCall(a core.CallArrived) *CallHandle {
	t := &CallHandle{loop: l, verdicts: make(chan core.Verdict, verdictBufferSize), arrive: a}
	l.enqueue(queueItem{event: &t.arrive, call: t})
	return t
}

// NextVerdict waits for the next verdict. If the context ends first, the call is
// canceled and the context's error returned.
func (t *CallHandle) NextVerdict(ctx context.Context) (core.Verdict, error) {
	select {
	case v := <-t.verdicts:
		return v, nil
	case <-ctx.Done():
		t.Cancel()
		return core.Verdict{}, ctx.Err()
	case <-t.loop.done:
		return core.Verdict{}, ErrStopped
	}
}

// ReportFailure posts that an attempt brought no answer.
func (t *CallHandle) ReportFailure(f core.AttemptFailed) {
	t.fail = f
	t.fail.Call = t.arrive.Call
	t.loop.enqueue(queueItem{event: &t.fail})
}

// ReportFinish posts that the answer was passed on.
func (t *CallHandle) ReportFinish(f core.CallFinished) {
	t.finish = f
	t.finish.Call = t.arrive.Call
	t.loop.enqueue(queueItem{event: &t.finish})
}

// Cancel posts that the sender has given the call up.
func (t *CallHandle) Cancel() {
	t.cancel.Call = t.arrive.Call
	t.loop.enqueue(queueItem{event: &t.cancel})
}
