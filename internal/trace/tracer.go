package trace

import (
	"context"
	"encoding/binary"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"celeryshelf/core"
	"celeryshelf/internal/relay"
)

var propagator = propagation.TraceContext{}

// Start starts the span of a call as a child of the sender's span, if the request carries
// a trace context.
func (p *Provider) Start(req *http.Request) (*http.Request, relay.Span) {
	ctx := propagator.Extract(req.Context(), propagation.HeaderCarrier(req.Header))
	parent := trace.SpanContextFromContext(ctx)
	ctx, span := p.Tracer("celeryshelf").Start(ctx, "call", trace.WithSpanKind(trace.SpanKindServer))
	return req.WithContext(ctx), &callSpan{Span: span, parent: parent}
}

// callSpan adapts a span to relay.Span.
type callSpan struct {
	trace.Span
	parent trace.SpanContext
}

// CallID returns the call's ID, which is the ID of its span.
func (s *callSpan) CallID() core.CallID { return callID(s.SpanContext()) }

// ParentCallID returns the ID of the sender's call, 0 if the request carried no trace
// context.
func (s *callSpan) ParentCallID() core.CallID { return callID(s.parent) }

// RootID returns a hash of the trace ID, which identifies the root call.
func (s *callSpan) RootID() uint64 {
	id := s.SpanContext().TraceID()
	return xxhash.Sum64(id[:])
}

// Inject adds the trace context to the headers of a forwarded request.
func (s *callSpan) Inject(h http.Header) {
	propagator.Inject(trace.ContextWithSpan(context.Background(), s.Span), propagation.HeaderCarrier(h))
}

// SetAttribute sets an attribute of the span if it is recorded.
func (s *callSpan) SetAttribute(key, value string) {
	if s.IsRecording() {
		s.SetAttributes(attribute.String(key, value))
	}
}

func (s *callSpan) End() { s.Span.End() }

// callID converts a span ID to a call ID.
func callID(sc trace.SpanContext) core.CallID {
	id := sc.SpanID()
	return core.CallID(binary.BigEndian.Uint64(id[:]))
}
