package relay

import (
	"encoding/binary"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
	"celeryshelf/internal/control"
	"celeryshelf/io/node"
)

// Router finds the route that a request takes.
type Router interface {
	KeyRing
	Route(r *http.Request) (name string, ok bool)
}

// Config holds what a Relay is made of.
type Config struct {
	Loop   *control.Loop
	Router Router
	Tracer trace.Tracer
	Target netip.AddrPort    // the local target
	Local  http.RoundTripper // towards the local target
	Nodes  http.RoundTripper // towards other nodes
}

// Relay carries calls for one node.
type Relay struct {
	Config
	kept *answers
}

// New returns a relay.
func New(c Config) *Relay {
	return &Relay{Config: c, kept: newAnswers()}
}

// Refuser writes a refusal to whoever sent the call.
type Refuser interface {
	Refuse(w http.ResponseWriter, v core.Verdict)
}

var propagator = propagation.TraceContext{}

// Caller serves calls that come from outside with a key.
func (r *Relay) Caller(refuser Refuser) http.Handler {
	return r.entry(core.FromCaller, refuser)
}

// Outgoing serves the calls that the local target makes.
func (r *Relay) Outgoing(refuser Refuser) http.Handler {
	return r.entry(core.FromTarget, refuser)
}

func (r *Relay) entry(origin core.Origin, refuser Refuser) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		a := core.Arrive{Origin: origin, Repeat: repeatOf(req), Timeout: timeoutOf(req.Header)}
		a.Route, _ = r.Router.Route(req)
		secret, keyed := Secret(req.Header)
		if keyed {
			a.Key, a.Keyed = manifest.DigestOf(secret), true
		}
		if origin == core.FromTarget {
			a.Request = requestDigest(req)
		}
		r.serve(w, req, a, refuser, secret)
	})
}

// Node serves calls that other nodes have let in.
func (r *Relay) Node(refuser Refuser) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		pass, err := node.GetPass(req.Header)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.serve(w, req, core.Arrive{Origin: core.FromNode, Pass: pass}, refuser, "")
	})
}

func (r *Relay) serve(w http.ResponseWriter, req *http.Request, a core.Arrive, refuser Refuser, secret string) {
	body, err := openBody(req)
	if err != nil {
		refuser.Refuse(w, core.Verdict{Reason: core.BadBody})
		return
	}
	ctx := propagator.Extract(req.Context(), propagation.HeaderCarrier(req.Header))
	parent := trace.SpanContextFromContext(ctx)
	ctx, span := r.Tracer.Start(ctx, "call", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	a.Call = callOf(span.SpanContext())
	a.Replayable = body.replayable
	switch a.Origin {
	case core.FromCaller:
		a.Seed = seed(a, span.SpanContext())
	case core.FromTarget:
		a.Parent = callOf(parent)
		a.Seed = seed(a, span.SpanContext())
	case core.FromNode:
	}
	if span.IsRecording() {
		span.SetAttributes(attribute.String("origin", a.Origin.String()), attribute.String("route", a.Route+a.Pass.Route))
	}
	x := &exchange{
		Relay: r, w: w, req: req, ctx: ctx, span: span, body: body,
		refuser: refuser, secret: secret, origin: a.Origin,
	}
	x.ticket = r.Loop.Begin(a)
	x.follow()
}

func callOf(sc trace.SpanContext) core.CallID {
	id := sc.SpanID()
	return core.CallID(binary.BigEndian.Uint64(id[:]))
}

// seed identifies the root call, alike for repeats of a caller that says so.
func seed(a core.Arrive, sc trace.SpanContext) uint64 {
	if a.Repeat != 0 {
		return a.Repeat
	}
	id := sc.TraceID()
	return xxhash.Sum64(id[:])
}

// repeatOf digests the Idempotency-Key together with what is asked, or returns 0.
func repeatOf(req *http.Request) uint64 {
	key := req.Header.Get("Idempotency-Key")
	if key == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(key+" "+req.Method+" "+req.URL.Path))
}

func requestDigest(req *http.Request) uint64 {
	return xxhash.Sum64String(req.Method + " " + req.URL.RequestURI())
}

func timeoutOf(h http.Header) time.Duration {
	d, err := time.ParseDuration(h.Get(node.HeaderTimeout))
	if err != nil || d < 0 {
		return 0
	}
	return d
}
