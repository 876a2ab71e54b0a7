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

// Call names the call by its span.
func (s *callSpan) Call() core.CallID { return callID(s.SpanContext()) }

// Parent names the call that the sender's span stands for.
func (s *callSpan) Parent() core.CallID { return callID(s.parent) }

// Root identifies the trace.
func (s *callSpan) Root() uint64 {
	id := s.SpanContext().TraceID()
	return xxhash.Sum64(id[:])
}

// Inject writes the span's context into the headers of a request that goes on.
func (s *callSpan) Inject(h http.Header) {
	propagator.Inject(trace.ContextWithSpan(context.Background(), s.Span), propagation.HeaderCarrier(h))
}

// Set adds an attribute.
func (s *callSpan) Set(key, value string) {
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
