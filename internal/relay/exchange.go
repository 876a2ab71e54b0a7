package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"celeryshelf/core"
	"celeryshelf/internal/control"
	"celeryshelf/io/http1"
	"celeryshelf/io/node"
	"celeryshelf/io/tcp"
)

// exchange executes the verdicts on one call.
type exchange struct {
	*Relay
	w         http.ResponseWriter
	req       *http.Request
	ctx       context.Context
	span      Span
	body      body
	call      *control.CallHandle
	refuser   Refuser
	apiKey    string
	origin    core.Origin
	requestID string // chosen by the sender
	held      *holding

	status   int  // of the response or refusal that was written
	complete bool // it was written completely

	response      *http.Response // of the last attempt, not yet written; a failed one may still be delivered
	cancelAttempt context.CancelFunc
	attemptStart  time.Time
	headAt        time.Time // when the headers of the last response arrived
	// detachSender keeps the attempt of a streamed body from ending with the sender's connection. It
	// returns false if the connection has ended.
	detachSender func() bool
	verdict      core.Verdict
}

// executeVerdicts executes verdicts until the call has ended.
func (x *exchange) executeVerdicts() {
	defer x.discardResponse()
	for {
		v, err := x.call.NextVerdict(x.ctx)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		x.verdict = v
		switch v.Action {
		case core.ActionRefuse:
			x.refuse(v)
			return
		case core.ActionReplay:
			x.replay(v)
			return
		case core.ActionDeliver:
			x.writeResponse()
			return
		case core.ActionRun, core.ActionForward:
			x.discardResponse()
			if !x.attempt(v) {
				return
			}
		case core.ActionSettle:
			return
		}
	}
}

// discardResponse closes a response that is not delivered, and cancels the context of its
// attempt.
func (x *exchange) discardResponse() {
	if x.response != nil {
		_ = x.response.Body.Close()
		x.response = nil
	}
	if x.cancelAttempt != nil {
		x.cancelAttempt()
		x.cancelAttempt = nil
	}
}

// minWriteTime is how long a sender has at least to read a response, also one that is late.
const minWriteTime = 2 * time.Second

// limitWrite ends the writing of the response with the time of the call, also if the sender is alive
// and does not read it.
func (x *exchange) limitWrite(v core.Verdict) {
	end := v.Deadline
	if v.AttemptEnd.After(end) {
		end = v.AttemptEnd
	}
	left := max(minWriteTime, end.Sub(x.Clock.Now()))
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(left)) // fails if the connection has ended
}

func (x *exchange) refuse(v core.Verdict) {
	x.limitWrite(v)
	x.span.SetAttribute("reason", v.Reason.String())
	x.span.SetAttribute("ran", v.Executed.String())
	x.closeAfterUpload()
	x.refuser.Refuse(statusWriter{x.w, &x.status}, v)
	x.complete = true
}

// statusWriter records the status code of a refusal.
type statusWriter struct {
	http.ResponseWriter
	status *int
}

// WriteHeader records and writes the status code.
func (w statusWriter) WriteHeader(status int) {
	*w.status = status
	w.ResponseWriter.WriteHeader(status)
}

func (x *exchange) replay(v core.Verdict) {
	ans, ok := x.cache.get(v.ReplayOf)
	if !ok {
		v.Reason, v.Executed = core.ReasonDuplicate, core.ExecutedUnknown
		x.refuse(v)
		return
	}
	copyInto(x.w.Header(), ans.header)
	x.limitWrite(v)
	x.closeAfterUpload()
	if x.origin == core.FromNode {
		node.SetOutcome(x.w.Header(), "", node.Outcome{Level: v.Level, UnspentRetries: v.UnspentRetries})
	}
	x.w.WriteHeader(ans.status)
	x.status = ans.status
	_, err := x.w.Write(ans.body)
	x.complete = err == nil
}

// attempt makes one attempt and reports whether the control loop will send a further
// verdict.
func (x *exchange) attempt(v core.Verdict) bool {
	x.attemptStart = x.Clock.Now()
	ctx, cancel := x.newAttemptContext(v)
	x.cancelAttempt = cancel
	res, sent, err := x.send(ctx, v) //nolint:bodyclose // discardResponse or writeResponse closes it
	if err != nil {
		x.reportFailure(ctx, sent, err)
		return true
	}
	x.response, x.headAt = res, x.Clock.Now()
	if v.Action == core.ActionForward {
		if why, ran, refused := node.ParseRefusal(res.Header); refused {
			o := node.ExtractOutcome(res.Header)
			x.call.ReportFailure(core.AttemptFailed{Cause: core.CauseRejected, Executed: ran, Reason: why, Level: o.Level, UnspentRetries: o.UnspentRetries, Load: x.targetLoad(res.Header)})
			return true
		}
	}
	if declined, ran := x.Dialect.ParseTargetRefusal(res); declined && x.reportsRefusal(ran) {
		x.call.ReportFailure(core.AttemptFailed{Cause: core.CauseTargetOverloaded, Executed: ran, Report: x.targetReport(res)})
		return true
	}
	return x.deliverResponse(ctx)
}

// targetReport returns what a response says of the local target, and nothing for a response
// that another node has passed on.
func (x *exchange) targetReport(res *http.Response) core.TargetReport {
	if x.verdict.Action != core.ActionRun {
		return core.TargetReport{}
	}
	r := x.Dialect.ParseTargetReport(res)
	r.Load.At = x.headAt
	return r
}

// reportsRefusal reports whether a refusal by the target goes to the control loop instead
// of to the sender. At the node at which the call entered, it does if the request can be
// sent again. If the call may have been executed, only that node may try another target,
// so the node of the target returns the response to it.
func (x *exchange) reportsRefusal(executed core.Executed) bool {
	if x.origin == core.FromNode {
		return executed == core.ExecutedNo
	}
	return x.body.replayable
}

// send sends the request of one attempt and reports whether any byte of it may have been
// read.
func (x *exchange) send(ctx context.Context, v core.Verdict) (res *http.Response, sent bool, err error) {
	transport := x.NodeTransport
	if v.Action == core.ActionRun {
		transport = x.TargetTransport
	}
	res, err = transport.RoundTrip(x.newAttemptRequest(ctx, v))
	return res, !errors.Is(err, http1.ErrNotSent), err
}

// reportFailure reports an attempt that got no complete response to the control loop. If
// no byte was sent, the call was not executed.
func (x *exchange) reportFailure(ctx context.Context, sent bool, err error) {
	if x.ctx.Err() != nil {
		x.call.Cancel()
		panic(http.ErrAbortHandler)
	}
	f := core.AttemptFailed{Cause: core.CauseUnreachable, Executed: core.ExecutedNo}
	if errors.Is(err, http1.ErrTooManyConns) { // says nothing about the endpoint
		f.Cause, f.Reason = core.CauseRejected, core.ReasonOverloaded
	}
	if sent {
		f.Cause, f.Executed = core.CauseConnectionLost, core.ExecutedUnknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.Cause = core.CauseTimeout
	}
	x.Observer.AttemptFailed(AttemptFailure{Call: x.verdict.Call, RequestID: x.requestID, Endpoint: x.verdict.Endpoint, Event: f, Err: err})
	x.call.ReportFailure(f)
}

// newAttemptRequest returns the request of one attempt.
func (x *exchange) newAttemptRequest(ctx context.Context, v core.Verdict) *http.Request {
	u := x.attemptURL()
	h := copyHeader(x.req.Header)
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	if x.origin != core.FromNode {
		x.Dialect.SanitizeRequest(h, u, x.apiKey)
	}
	x.span.Inject(h)
	if v.Action == core.ActionForward {
		u.Host = v.Address.String()
		node.SetCallContext(h, v.Context)
	} else {
		u.Host = x.req.Host
		x.Dialect.SetTargetHeaders(h, v, v.Deadline.Sub(x.Clock.Now()))
	}
	out := (&http.Request{
		Method: x.req.Method, URL: u, Host: x.req.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	x.body.attach(out)
	preventNetHTTPRetry(out)
	return out
}

// attemptURL returns the URL of an attempt, without host. The path keeps its original
// encoding.
func (x *exchange) attemptURL() *url.URL {
	path, _, _ := strings.Cut(x.req.RequestURI, "?")
	u := &url.URL{Scheme: "http", Path: x.req.URL.Path, RawPath: x.req.URL.RawPath, RawQuery: x.req.URL.RawQuery}
	if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		u.Opaque = path
	}
	return u
}

// deliverResponse writes the response and reports whether the control loop will send a
// further verdict instead. The node at which a call entered buffers a small response
// first, so that it can make another attempt if the response is incomplete.
func (x *exchange) deliverResponse(ctx context.Context) bool {
	if x.origin != core.FromNode && x.body.replayable {
		if err := x.bufferResponse(); err != nil {
			x.reportFailure(ctx, true, err)
			return true
		}
	}
	x.writeResponse()
	return false
}

// maxBufferedResponseBytes is the size of the largest response that is buffered before
// it is written.
const maxBufferedResponseBytes = 64 << 10

// bufferResponse reads the body of a response of known, small size into memory.
func (x *exchange) bufferResponse() error {
	res := x.response
	if res.ContentLength <= 0 || res.ContentLength > maxBufferedResponseBytes || !x.held.reserve(int(res.ContentLength)) {
		return nil
	}
	buffered := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, buffered); err != nil {
		return err
	}
	// The trailers are available only after the end of the body has been read.
	if _, err := res.Body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	_ = res.Body.Close()
	res.Body = io.NopCloser(bytes.NewReader(buffered))
	return nil
}

// writeResponse writes the response to the sender and reports the end of the call. If the
// response is incomplete, it aborts the connection, so that the sender notices.
func (x *exchange) writeResponse() {
	res := x.response
	x.response = nil
	defer func() { _ = res.Body.Close() }()
	copyInto(x.w.Header(), copyHeader(res.Header))
	x.limitWrite(x.verdict)
	x.suppressImplicitHeaders(x.w.Header())
	x.closeAfterUpload()
	if x.origin == core.FromNode {
		node.SetTargetLoad(x.w.Header(), x.verdict.Inputs)
		node.SetWork(x.w.Header(), core.Work{Work: x.Loop.Work(), Took: x.headAt.Sub(x.attemptStart)})
	}
	for name := range res.Trailer {
		x.w.Header().Add("Trailer", name)
	}
	x.w.WriteHeader(res.StatusCode)
	x.status = res.StatusCode
	rec := x.recorder()
	err := x.stream(res, rec)
	x.complete = err == nil
	o := node.ExtractOutcome(res.Trailer)
	for name, values := range res.Trailer {
		x.w.Header()[http.TrailerPrefix+name] = values
	}
	if err == nil && rec != nil && !rec.dropped {
		x.cache.put(x.verdict.Call, cachedResponse{status: res.StatusCode, header: copyHeader(res.Header), body: rec.body})
	}
	x.call.ReportFinish(core.CallFinished{
		Complete:   err == nil,
		Failed:     res.StatusCode >= http.StatusInternalServerError,
		Overloaded: res.StatusCode == http.StatusServiceUnavailable,
		Level:      o.Level, UnspentRetries: o.UnspentRetries, Load: x.targetLoad(res.Header),
		Report: x.targetReport(res),
	})
	if err != nil {
		x.abort()
	}
	x.awaitForwarding(res)
	x.sendOutcome()
}

// abort ends the connection of the sender. A sender of HTTP/1.0 takes an ordinary end for the end
// of a response of unknown length.
func (x *exchange) abort() {
	if !x.req.ProtoAtLeast(1, 1) {
		tcp.ResetOnClose(tcp.ConnOf(x.req.Context()))
	}
	panic(http.ErrAbortHandler)
}

// targetLoad returns the load that the last response carries.
func (x *exchange) targetLoad(h http.Header) core.TargetLoad {
	load := node.GetTargetLoad(h)
	load.Work.At = x.headAt
	return load
}

// implicitHeaders are the headers that net/http adds to a response that lacks them.
var implicitHeaders = []string{"Content-Type", "Date"}

// suppressImplicitHeaders keeps net/http from adding headers to a response to another
// node.
func (x *exchange) suppressImplicitHeaders(h http.Header) {
	if x.origin != core.FromNode {
		return
	}
	for _, name := range implicitHeaders {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
}

// sendOutcome sends the outcome of the call to the sending node, in trailers.
func (x *exchange) sendOutcome() {
	if x.origin != core.FromNode || !x.OutcomeTrailers {
		return
	}
	v, err := x.call.NextVerdict(x.ctx)
	if err != nil {
		return
	}
	node.SetOutcome(x.w.Header(), http.TrailerPrefix, node.Outcome{Level: v.Level, UnspentRetries: v.UnspentRetries})
}

// recorder returns a recorder for the response, or nil if it will not be cached.
func (x *exchange) recorder() *recorder {
	if x.verdict.Action != core.ActionRun || x.verdict.Context.IdempotencyHash == 0 {
		return nil
	}
	return &recorder{}
}
