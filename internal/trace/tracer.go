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

// Start begins the span of a call in the trace that its sender named.
func (p *Provider) Start(req *http.Request) (*http.Request, relay.Span) {
	ctx := propagator.Extract(req.Context(), propagation.HeaderCarrier(req.Header))
	parent := trace.SpanContextFromContext(ctx)
	ctx, span := p.Tracer("celeryshelf").Start(ctx, "call", trace.WithSpanKind(trace.SpanKindServer))
	return req.WithContext(ctx), &callSpan{Span: span, parent: parent}
}

// callSpan is a span as the relay sees it.
type callSpan struct {
	trace.Span
	parent trace.SpanContext
}

// CallID names the call by its span.
func (s *callSpan) CallID() core.CallID { return callID(s.SpanContext()) }

// ParentCallID names the call that the sender's span stands for.
func (s *callSpan) ParentCallID() core.CallID { return callID(s.parent) }

// RootID identifies the trace.
func (s *callSpan) RootID() uint64 {
	id := s.SpanContext().TraceID()
	return xxhash.Sum64(id[:])
}

// Inject writes the span's context into the headers of a request that goes on.
func (s *callSpan) Inject(h http.Header) {
	propagator.Inject(trace.ContextWithSpan(context.Background(), s.Span), propagation.HeaderCarrier(h))
}

// SetAttribute adds an attribute.
func (s *callSpan) SetAttribute(key, value string) {
	if s.IsRecording() {
		s.SetAttributes(attribute.String(key, value))
	}
}

// End ends the span.
func (s *callSpan) End() { s.Span.End() }

func callID(sc trace.SpanContext) core.CallID {
	id := sc.SpanID()
	return core.CallID(binary.BigEndian.Uint64(id[:]))
}
