package trace

import (
	"context"
	"fmt"
	"io"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"

	"celeryshelf/internal/settings"
)

// Provider creates spans and exports them until it is closed.
type Provider struct {
	*sdk.TracerProvider
	file io.Closer // trace file, nil for other exporters
}

// New returns a Provider for the node with the given name.
func New(ctx context.Context, s settings.Trace, name string) (*Provider, error) {
	p := &Provider{}
	options := []sdk.TracerProviderOption{
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "celeryshelf"),
			attribute.String("service.instance.id", name),
		)),
		sdk.WithSampler(newSampler(s)),
	}
	exporter, err := p.newExporter(ctx, s)
	if err != nil {
		return nil, err
	}
	if exporter != nil {
		options = append(options, sdk.WithBatcher(exporter))
	}
	p.TracerProvider = sdk.NewTracerProvider(options...)
	return p, nil
}

func newSampler(s settings.Trace) sdk.Sampler {
	if s.Exporter == settings.TraceNone {
		return sdk.NeverSample()
	}
	return sdk.ParentBased(sdk.TraceIDRatioBased(s.SampleRatio))
}

// newExporter returns nil if spans are not exported.
func (p *Provider) newExporter(ctx context.Context, s settings.Trace) (sdk.SpanExporter, error) {
	switch s.Exporter {
	case settings.TraceLog:
		return newWriterExporter(os.Stderr)
	case settings.TraceFile:
		f, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("open trace file: %w", err)
		}
		p.file = f
		return newWriterExporter(f)
	case settings.TraceOTLP:
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.Endpoint.String()), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, fmt.Errorf("start OTLP exporter: %w", err)
		}
		return e, nil
	default:
		return nil, nil
	}
}

func newWriterExporter(w io.Writer) (sdk.SpanExporter, error) {
	e, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, fmt.Errorf("start span exporter: %w", err)
	}
	return e, nil
}

// Close exports the remaining spans and closes the trace file.
func (p *Provider) Close(ctx context.Context) error {
	if err := p.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down tracing: %w", err)
	}
	if p.file != nil {
		return p.file.Close()
	}
	return nil
}
