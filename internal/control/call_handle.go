package control

import (
	"context"
	"errors"

	"celeryshelf/core"
)

// ErrStopped is returned if the control loop has stopped.
var ErrStopped = errors.New("control loop has stopped")

// verdictBufferSize is the largest number of verdicts on one call that are not yet
// received, so that the control loop never blocks on a call.
const verdictBufferSize = 2

// CallHandle posts the events of one call to the control loop and receives its verdicts.
type CallHandle struct {
	loop     *Loop
	verdicts chan core.Verdict
	arrive   core.CallArrived
	fail     core.AttemptFailed
	finish   core.CallFinished
	cancel   core.CallCanceled
}

// BeginCall posts the arrival of a call and returns its handle.
func (l *Loop) BeginCall(a core.CallArrived) *CallHandle {
	t := &CallHandle{loop: l, verdicts: make(chan core.Verdict, verdictBufferSize), arrive: a}
	l.enqueue(queueItem{event: &t.arrive, call: t})
	return t
}

// NextVerdict waits for the next verdict. If the context is done first, it cancels the
// call and returns the error of the context.
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

// ReportFailure reports that an attempt failed before any of its response was written.
func (t *CallHandle) ReportFailure(f core.AttemptFailed) {
	t.fail = f
	t.fail.Call = t.arrive.Call
	t.loop.enqueue(queueItem{event: &t.fail})
}

// ReportFinish reports that the response was written or broke off.
func (t *CallHandle) ReportFinish(f core.CallFinished) {
	t.finish = f
	t.finish.Call = t.arrive.Call
	t.loop.enqueue(queueItem{event: &t.finish})
}

// Cancel reports that the sender has canceled the call.
func (t *CallHandle) Cancel() {
	t.cancel.Call = t.arrive.Call
	t.loop.enqueue(queueItem{event: &t.cancel})
}
