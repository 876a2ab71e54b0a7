package relay

import (
	"context"
	"net/http"
	"time"

	"celeryshelf/core"
)

const (
	// uploadStallTimeout is how long the rest of a body may make no progress after the
	// response: a sender may stop once it has the response, and the end of a response of
	// unknown length is written only afterwards.
	uploadStallTimeout = 300 * time.Millisecond
	// discardTimeout limits how long the rest of a body that nobody needs is read, so that its
	// sender can read the response.
	discardTimeout = 5 * time.Second
)

// requestWriter is implemented by the bodies of responses whose request may still be written.
type requestWriter interface {
	// RequestWritten returns a channel that is closed once the request has been written or
	// has failed.
	RequestWritten() <-chan struct{}
}

// newAttemptContext returns the context of an attempt. The attempt of a streamed body can go on after
// the sender has received the response and has closed its connection.
func (x *exchange) newAttemptContext(v core.Verdict) (context.Context, context.CancelFunc) {
	left := v.AttemptEnd.Sub(x.Clock.Now())
	if x.body.stream == nil {
		return context.WithTimeout(x.ctx, left)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), left)
	x.detachSender = context.AfterFunc(x.ctx, cancel)
	return ctx, cancel
}

// closeAfterUpload makes the response announce the end of its connection if the body of the
// request has not been read yet. It must be called before the response begins: what then remains
// unread is not mistaken for another request.
func (x *exchange) closeAfterUpload() {
	if s := x.body.stream; s != nil && !s.isComplete() && x.req.ProtoMajor == 1 {
		x.w.Header()["Connection"] = []string{"close"}
	}
}

// awaitForwarding waits until the rest of the request has been sent to a target that has
// responded before it has read all of it, as long as there is progress and the attempt has time.
func (x *exchange) awaitForwarding(res *http.Response) {
	body, ok := res.Body.(requestWriter)
	if !ok || x.body.stream == nil {
		return
	}
	select {
	case <-body.RequestWritten():
		return
	default:
	}
	if !x.detachSender() {
		return
	}
	_ = http.NewResponseController(x.w).Flush()
	x.awaitProgress(body.RequestWritten(), x.verdict.AttemptEnd.Sub(x.Clock.Now()))
}

// discardUpload reads the rest of a body that is not sent on. Closing a connection with unread
// bytes would discard the response before its reader has it.
func (x *exchange) discardUpload() {
	s := x.body.stream
	if s == nil || s.isFinished() {
		return
	}
	writer := http.NewResponseController(x.w)
	_ = writer.Flush()
	s.discard()
	x.awaitProgress(s.finished, discardTimeout)
	if x.req.ProtoMajor == 1 {
		_ = writer.SetReadDeadline(time.Now()) // ends a read in progress
	}
}

// awaitProgress waits until done is closed, for the given time at most. It returns early if the
// body makes no progress.
func (x *exchange) awaitProgress(done <-chan struct{}, limit time.Duration) {
	end, stall := time.NewTimer(limit), time.NewTimer(uploadStallTimeout)
	defer end.Stop()
	defer stall.Stop()
	for {
		select {
		case <-done:
			return
		case <-x.body.stream.progress:
			stall.Reset(uploadStallTimeout)
		case <-stall.C:
			return
		case <-end.C:
			return
		}
	}
}
