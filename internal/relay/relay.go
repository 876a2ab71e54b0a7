package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
	"celeryshelf/internal/control"
	"celeryshelf/io/node"
	"celeryshelf/io/tcp"
)

// Router matches requests to routes and returns the limits on requests, both by the same
// version of the manifest.
type Router interface {
	Lookup(r *http.Request) (core.RouteLookup, manifest.Limits)
}

// Clock returns the time in the reducer's time base.
type Clock interface {
	Now() time.Time
}

// CallSummary describes a call that has ended on this node.
type CallSummary struct {
	Call      core.CallID
	RequestID string // chosen by the sender
	Origin    core.Origin
	Status    int  // status code of the response, 0 if none was written
	Complete  bool // the response was written completely
	Duration  time.Duration
}

// Observer receives the ends of calls and of failed attempts. Its methods must not block.
type Observer interface {
	CallEnded(e CallSummary)
	AttemptFailed(f AttemptFailure)
}

// AttemptFailure describes an attempt that got no complete response.
type AttemptFailure struct {
	Call      core.CallID
	RequestID string // chosen by the sender
	Endpoint  string
	Event     core.AttemptFailed
	Err       error
}

// Config holds the dependencies and parameters of a Relay.
type Config struct {
	Observer Observer
	Loop     *control.Loop
	Router   Router
	Dialect  Dialect
	Tracer   Tracer
	Clock    Clock
	// TargetTransport and NodeTransport send requests to the local target and to other
	// nodes. They return http1.ErrNotSent if no byte of the request can have been read.
	// After any other error the call may have been executed.
	TargetTransport, NodeTransport http.RoundTripper
	OutcomeTrailers                bool // return the outcome of each call to the sending node in trailers
	// ReadAheadBytes limits the bytes of long bodies that are read before the target reads them,
	// for all calls together. 0 stands for DefaultReadAheadBytes.
	ReadAheadBytes int64
	Buffers        BufferPool // nil for no limit
}

// Relay forwards the calls of one node.
type Relay struct {
	Config
	cache *responseCache
	ahead *readAhead
}

// New returns a relay.
func New(c Config) *Relay {
	if c.ReadAheadBytes == 0 {
		c.ReadAheadBytes = DefaultReadAheadBytes
	}
	return &Relay{Config: c, cache: newResponseCache(), ahead: &readAhead{total: c.ReadAheadBytes}}
}

// BufferedBytes returns how much of its budget for long bodies the relay uses, in bytes.
func (r *Relay) BufferedBytes() int64 { return r.ahead.used.Load() }

// CallHandler returns the handler for calls that enter the fleet at this node, from
// callers or from the local target.
func (r *Relay) CallHandler(origin core.Origin) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		info := r.Dialect.ParseRequest(req)
		a := core.CallArrived{Origin: origin, RequestID: info.RequestID, ParentRequestID: info.ParentRequestID, IdempotencyHash: info.IdempotencyDigest, Timeout: info.Timeout, HasKey: info.HasAPIKey}
		var limits manifest.Limits
		a.Route, limits = r.Router.Lookup(req)
		if info.HasAPIKey {
			a.KeyDigest = manifest.DigestOf(info.APIKey)
		}
		if origin == core.FromTarget {
			a.RequestHash = requestDigest(req)
		}
		r.serve(w, req, a, limits, r.Dialect, info.APIKey)
	})
}

// NodeHandler returns the handler for calls that other nodes forward.
func (r *Relay) NodeHandler(refuser Refuser) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		pass, err := node.GetCallContext(req.Header)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		info := r.Dialect.ParseRequest(req)
		// The limits are checked by the node at which the call entered.
		r.serve(w, req, core.CallArrived{Origin: core.FromNode, RequestID: info.RequestID, Context: pass}, manifest.Limits{}, refuser, "")
	})
}

func (r *Relay) serve(w http.ResponseWriter, req *http.Request, a core.CallArrived, limits manifest.Limits, refuser Refuser, apiKey string) {
	held := holding{pool: r.Buffers}
	defer held.release()
	body, why := r.open(req, limits, &held)
	if why != core.ReasonNone {
		w.Header().Set("Connection", "close")
		refuser.Refuse(w, core.Verdict{Reason: why})
		return
	}
	req, span := r.Tracer.Start(req)
	defer span.End()
	a.Call = span.CallID()
	a.Replayable = body.replayable
	switch a.Origin {
	case core.FromCaller, core.FromCallerOrTarget:
		a.RootID = rootID(a, span)
	case core.FromTarget:
		a.ParentCall, a.RootID = span.ParentCallID(), rootID(a, span)
	case core.FromNode:
	}
	span.SetAttribute("origin", a.Origin.String())
	span.SetAttribute("route", a.Route.Name+a.Context.Route)
	x := &exchange{
		Relay: r, w: w, req: req, ctx: req.Context(), span: span, body: body,
		refuser: refuser, apiKey: apiKey, origin: a.Origin, requestID: a.RequestID, held: &held,
	}
	if body.stream != nil {
		defer x.startStream()()
	}
	began := time.Now()
	x.call = r.Loop.BeginCall(a)
	defer func() {
		r.Observer.CallEnded(CallSummary{
			Call: a.Call, RequestID: a.RequestID, Origin: a.Origin, Status: x.status, Complete: x.complete, Duration: time.Since(began),
		})
	}()
	x.executeVerdicts()
	x.discardUpload()
}

// startStream starts to read the streamed body of a call and returns the function that ends it. If
// the body breaks off, the context of the call ends.
func (x *exchange) startStream() (stop func()) {
	// Without it, net/http reads from the body itself when the response begins.
	_ = http.NewResponseController(x.w).EnableFullDuplex()
	ctx, cancel := context.WithCancel(x.ctx)
	connection := x.ctx
	x.ctx = ctx
	s := x.body.stream
	s.config = streamConfig{
		budget: x.ahead, onRequest: x.req.Header.Get("Expect") != "",
		senderLeft: func() bool { return tcp.PeerClosed(connection) }, failed: cancel,
	}
	go s.run()
	return func() { s.stop(); cancel() }
}

// open checks the size of a request and prepares its body. It returns the reason for
// which the request is refused, or ReasonNone.
func (r *Relay) open(req *http.Request, limits manifest.Limits, held *holding) (body, core.Reason) {
	if limits.MaxHeaderBytes > 0 && headerSize(req.Header) > limits.MaxHeaderBytes {
		return body{}, core.ReasonHeaderTooLarge
	}
	if limits.MaxBodyBytes > 0 {
		if req.ContentLength > limits.MaxBodyBytes {
			return body{}, core.ReasonBodyTooLarge
		}
	}
	if !held.reserve(bodyMemory(req)) {
		return body{}, core.ReasonOverloaded
	}
	b, err := openBody(req, limits.MaxBodyBytes)
	req.Trailer = nil // not forwarded
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return body{}, core.ReasonBodyTooLarge
	case err != nil:
		return body{}, core.ReasonBadBody
	default:
		return b, core.ReasonNone
	}
}

// headerSize returns the encoded size of the headers of a request, in bytes.
func headerSize(h http.Header) int {
	const around = len(": \r\n")
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + around
		}
	}
	return n
}

// rootID returns the ID of the root call. Repeats with the same Idempotency-Key get the
// same ID.
func rootID(a core.CallArrived, s Span) uint64 {
	if a.IdempotencyHash != 0 {
		return a.IdempotencyHash
	}
	return s.RootID()
}

func requestDigest(req *http.Request) uint64 {
	return xxhash.Sum64String(req.Method + " " + req.URL.RequestURI())
}
