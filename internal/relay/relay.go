package relay

import (
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
	"celeryshelf/internal/control"
	"celeryshelf/io/node"
)

// Router matches requests to routes and returns the limits on requests.
type Router interface {
	Route(r *http.Request) (name string, ok bool)
	Limits() manifest.Limits
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
}

// Relay forwards the calls of one node.
type Relay struct {
	Config
	cache *responseCache
}

// New returns a relay.
func New(c Config) *Relay {
	return &Relay{Config: c, cache: newResponseCache()}
}

// CallHandler returns the handler for calls that enter the fleet at this node, from
// callers or from the local target.
func (r *Relay) CallHandler(origin core.Origin) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		info := r.Dialect.ParseRequest(req)
		a := core.CallArrived{Origin: origin, RequestID: info.RequestID, ParentRequestID: info.ParentRequestID, IdempotencyHash: info.IdempotencyDigest, Timeout: info.Timeout, HasKey: info.HasAPIKey}
		a.Route, _ = r.Router.Route(req)
		if info.HasAPIKey {
			a.KeyDigest = manifest.DigestOf(info.APIKey)
		}
		if origin == core.FromTarget {
			a.RequestHash = requestDigest(req)
		}
		r.serve(w, req, a, r.Dialect, info.APIKey)
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
		r.serve(w, req, core.CallArrived{Origin: core.FromNode, RequestID: info.RequestID, Context: pass}, refuser, "")
	})
}

func (r *Relay) serve(w http.ResponseWriter, req *http.Request, a core.CallArrived, refuser Refuser, apiKey string) {
	body, why := r.open(w, req, a.Origin)
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
	span.SetAttribute("route", a.Route+a.Context.Route)
	x := &exchange{
		Relay: r, w: w, req: req, ctx: req.Context(), span: span, body: body,
		refuser: refuser, apiKey: apiKey, origin: a.Origin, requestID: a.RequestID,
	}
	began := time.Now()
	x.call = r.Loop.BeginCall(a)
	defer func() {
		r.Observer.CallEnded(CallSummary{
			Call: a.Call, RequestID: a.RequestID, Origin: a.Origin, Status: x.status, Complete: x.complete, Duration: time.Since(began),
		})
	}()
	x.executeVerdicts()
}

// open checks the size of a request and prepares its body. It returns the reason for
// which the request is refused, or ReasonNone.
func (r *Relay) open(w http.ResponseWriter, req *http.Request, origin core.Origin) (body, core.Reason) {
	limits := r.Router.Limits()
	if origin == core.FromNode {
		limits = manifest.Limits{} // checked by the node at which the call entered
	}
	if limits.MaxHeaderBytes > 0 && headerSize(req.Header) > limits.MaxHeaderBytes {
		return body{}, core.ReasonHeaderTooLarge
	}
	if limits.MaxBodyBytes > 0 {
		if req.ContentLength > limits.MaxBodyBytes {
			return body{}, core.ReasonBodyTooLarge
		}
		req.Body = http.MaxBytesReader(w, req.Body, limits.MaxBodyBytes)
	}
	b, err := openBody(req)
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
