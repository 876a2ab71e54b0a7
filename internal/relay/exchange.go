package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"

	"celeryshelf/core"
	"celeryshelf/internal/control"
	"celeryshelf/io/http1"
	"celeryshelf/io/node"
)

// exchange is one call on its way through the node.
type exchange struct {
	*Relay
	w       http.ResponseWriter
	req     *http.Request
	ctx     context.Context
	span    Span
	body    body
	call    *control.CallHandle
	refuser Refuser
	apiKey  string
	origin  core.Origin
	name    string // the sender's name for the request

	status   int  // of the answer that was passed on or given
	complete bool // it was passed on complete

	response *http.Response // a failed answer that may yet be passed on
	release  context.CancelFunc
	verdict  core.Verdict
}

// executeVerdicts acts on verdicts until the call has ended.
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

// discardResponse closes an answer that is not passed on.
func (x *exchange) discardResponse() {
	if x.response != nil {
		_ = x.response.Body.Close()
		x.response = nil
	}
	if x.release != nil {
		x.release()
		x.release = nil
	}
}

func (x *exchange) refuse(v core.Verdict) {
	x.span.SetAttribute("reason", v.Reason.String())
	x.span.SetAttribute("ran", v.Executed.String())
	x.refuser.Refuse(statusWriter{x.w, &x.status}, v)
	x.complete = true
}

// statusWriter notes the status that a refusal is given.
type statusWriter struct {
	http.ResponseWriter
	status *int
}

// WriteHeader notes the status and writes it.
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
	if x.origin == core.FromNode {
		node.SetOutcome(x.w.Header(), "", node.Outcome{Level: v.Level, UnspentRetries: v.UnspentRetries})
	}
	x.w.WriteHeader(ans.status)
	x.status = ans.status
	_, err := x.w.Write(ans.body)
	x.complete = err == nil
}

// attempt sends the call on and reports whether another verdict is to come.
func (x *exchange) attempt(v core.Verdict) bool {
	ctx, cancel := context.WithTimeout(x.ctx, v.Deadline.Sub(x.Clock.Now()))
	x.release = cancel
	res, sent, err := x.send(ctx, v) //nolint:bodyclose // drop or pass closes it
	if err != nil {
		x.reportFailure(ctx, sent, err)
		return true
	}
	x.response = res
	if v.Action == core.ActionForward {
		if why, ran, refused := node.ParseRefusal(res.Header); refused {
			o := node.ExtractOutcome(res.Header)
			x.call.ReportFailure(core.AttemptFailed{Cause: core.CauseRejected, Executed: ran, Reason: why, Level: o.Level, UnspentRetries: o.UnspentRetries, Load: node.GetTargetLoad(res.Header)})
			return true
		}
	}
	if declined, ran := x.Dialect.ParseTargetRefusal(res); declined && x.reportsRefusal(ran) {
		x.call.ReportFailure(core.AttemptFailed{Cause: core.CauseTargetOverloaded, Executed: ran})
		return true
	}
	return x.deliverResponse(ctx)
}

// reportsRefusal reports whether an answer by which the target declined a call is for the
// control loop to judge. One that proves nothing is passed on by a node beside
// the target, as only the entry may send the call elsewhere.
func (x *exchange) reportsRefusal(executed core.Executed) bool {
	if x.origin == core.FromNode {
		return executed == core.ExecutedNo
	}
	return x.body.replayable
}

// send makes one attempt and reports whether any of it may have been read.
func (x *exchange) send(ctx context.Context, v core.Verdict) (res *http.Response, sent bool, err error) {
	transport := x.NodeTransport
	if v.Action == core.ActionRun {
		transport = x.TargetTransport
	}
	res, err = transport.RoundTrip(x.newAttemptRequest(ctx, v))
	return res, !errors.Is(err, http1.ErrNotSent), err
}

// reportFailure reports an attempt without an answer. The call has not run if none of it
// was sent.
func (x *exchange) reportFailure(ctx context.Context, sent bool, err error) {
	if x.ctx.Err() != nil {
		x.call.Cancel()
		panic(http.ErrAbortHandler)
	}
	f := core.AttemptFailed{Cause: core.CauseUnreachable, Executed: core.ExecutedNo}
	if sent {
		f.Cause, f.Executed = core.CauseConnectionLost, core.ExecutedUnknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.Cause = core.CauseTimeout
	}
	x.Observer.AttemptFailed(AttemptFailure{Call: x.verdict.Call, RequestID: x.name, Endpoint: x.verdict.Endpoint, Event: f, Err: err})
	x.call.ReportFailure(f)
}

// newAttemptRequest builds the request of one attempt.
func (x *exchange) newAttemptRequest(ctx context.Context, v core.Verdict) *http.Request {
	u := x.attemptURL()
	h := copyHeader(x.req.Header)
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // net/http would name itself
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

// attemptURL returns where a request goes, its path spelled as it came.
func (x *exchange) attemptURL() *url.URL {
	path, _, _ := strings.Cut(x.req.RequestURI, "?")
	u := &url.URL{Scheme: "http", Path: x.req.URL.Path, RawPath: x.req.URL.RawPath, RawQuery: x.req.URL.RawQuery}
	if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		u.Opaque = path
	}
	return u
}

// deliverResponse passes the answer in hand on, whole or not at all, and reports whether
// another verdict is to come. A node at which the call entered holds a small
// answer until it is complete, so that a broken one can be had again.
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

// maxBufferedResponseBytes is the largest answer that is held until it is complete, in bytes.
const maxBufferedResponseBytes = 64 << 10

// bufferResponse reads an answer that is known to be small into memory.
func (x *exchange) bufferResponse() error {
	res := x.response
	if res.ContentLength <= 0 || res.ContentLength > maxBufferedResponseBytes {
		return nil
	}
	buffered := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, buffered); err != nil {
		return err
	}
	// Trailers arrive with the end of the body.
	if _, err := res.Body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	_ = res.Body.Close()
	res.Body = io.NopCloser(bytes.NewReader(buffered))
	return nil
}

// writeResponse sends the answer in hand to whoever asked.
func (x *exchange) writeResponse() {
	res := x.response
	x.response = nil
	defer func() { _ = res.Body.Close() }()
	copyInto(x.w.Header(), copyHeader(res.Header))
	x.suppressImplicitHeaders(x.w.Header())
	if x.origin == core.FromNode {
		node.SetTargetLoad(x.w.Header(), x.verdict.Inputs.Load)
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
		Level:      o.Level, UnspentRetries: o.UnspentRetries, Load: node.GetTargetLoad(res.Header),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	x.sendOutcome()
}

// implicitHeaders are added by net/http where an answer has none.
var implicitHeaders = []string{"Content-Type", "Date"}

// suppressImplicitHeaders keeps net/http from adding headers to an answer between nodes.
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

// sendOutcome sends the call's outcome to the node that it came from.
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

// recorder returns where to keep the answer, if repeats may ask for it.
func (x *exchange) recorder() *recorder {
	if x.verdict.Action != core.ActionRun || x.verdict.Context.IdempotencyHash == 0 {
		return nil
	}
	return &recorder{}
}

const copyBuffer = 32 << 10

// stream copies the body and flushes each piece if its length is not known.
func (x *exchange) stream(res *http.Response, rec *recorder) error {
	if res.ContentLength == 0 {
		return nil
	}
	var sink io.Writer = x.w
	if rec != nil {
		sink = io.MultiWriter(x.w, rec)
	}
	if res.ContentLength > 0 {
		buf := make([]byte, min(copyBuffer, res.ContentLength))
		_, err := io.CopyBuffer(writerOnly{sink}, res.Body, buf)
		return err
	}
	return x.streamFlushed(res.Body, sink)
}

func (x *exchange) streamFlushed(from io.Reader, sink io.Writer) error {
	flusher := http.NewResponseController(x.w)
	buf := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, werr := sink.Write(buf[:n]); werr != nil {
				return werr
			}
			if err == nil {
				_ = flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writerOnly hides ReadFrom, so that CopyBuffer uses the buffer it is given.
type writerOnly struct{ io.Writer }

func copyInto(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}
