package telemetry

import (
	"context"
	"io"
	"net/http"
	"os"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// Names of spans, one for each hop of a call.
const (
	// SpanCall is a call at the entry VM that the caller chose.
	SpanCall = "call"
	// SpanGrant is the wait for a slot grant by a dispatcher.
	SpanGrant = "grant"
	// SpanClaim is the claim on an idempotency key.
	SpanClaim = "claim"
	// SpanUpstream is one attempt at an upstream.
	SpanUpstream = "upstream"
)

// Attribute keys of spans.
const (
	AttrService  = "balsam.service"
	AttrZone     = "balsam.zone"
	AttrUpstream = "balsam.upstream"
	AttrFault    = "balsam.fault"
	// AttrHasIdempotencyKey is "true" for a request with an idempotency key. The key itself
	// is not recorded.
	AttrHasIdempotencyKey = "balsam.keyed"
)

// noSpan records nothing.
var noSpan = trace.SpanFromContext(context.Background())

// Tracing makes spans. Off and the zero value make none and allocate nothing.
type Tracing struct {
	tracer     trace.Tracer
	provider   *sdktrace.TracerProvider
	propagator propagation.TraceContext
	file       io.Closer
}

// Disabled returns tracing that records nothing.
func Disabled() *Tracing { return &Tracing{} }

// NewTracing returns tracing as configured by s for the process with the role
// and id. An error is of kind fault.Settings.
func NewTracing(ctx context.Context, s settings.Trace, role, id string) (*Tracing, error) {
	switch s.Exporter {
	case settings.TraceFile:
		return newFileTracing(s, role, id)
	case settings.TraceOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.Endpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, fault.New(fault.Settings, "trace.endpoint: %v", err)
		}
		return newTracing(exporter, s, role, id), nil
	default:
		return Disabled(), nil
	}
}

func newFileTracing(s settings.Trace, role, id string) (*Tracing, error) {
	file, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, fault.New(fault.Settings, "trace.file: %v", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, errors.Annotate(errors.Trace(err), "span exporter")
	}
	t := newTracing(exporter, s, role, id)
	t.file = file
	return t, nil
}

func newTracing(exporter sdktrace.SpanExporter, s settings.Trace, role, id string) *Tracing {
	ratio := float64(s.SamplePermille) / 1000
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "balsamcourse-"+role),
			attribute.String("service.instance.id", id),
		)),
	)
	return &Tracing{tracer: provider.Tracer("balsamcourse"), provider: provider}
}

// Enabled reports whether spans are recorded.
func (t *Tracing) Enabled() bool { return t.tracer != nil }

// Start begins a span below the one in ctx.
func (t *Tracing) Start(ctx context.Context, name string) (context.Context, trace.Span) {
	if t.tracer == nil {
		return ctx, noSpan
	}
	return t.tracer.Start(ctx, name)
}

// StartServer begins a span below the one that the W3C trace context in header
// names.
func (t *Tracing) StartServer(ctx context.Context, header http.Header, name string) (context.Context, trace.Span) {
	if t.tracer == nil {
		return ctx, noSpan
	}
	ctx = t.propagator.Extract(ctx, propagation.HeaderCarrier(header))
	return t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}

// Inject writes the span in ctx to header as W3C trace context. While tracing
// is off the header passes through as the caller sent it.
func (t *Tracing) Inject(ctx context.Context, header http.Header) {
	if t.tracer == nil {
		return
	}
	t.propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Shutdown writes the spans that are still held.
func (t *Tracing) Shutdown(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		if closeErr := t.file.Close(); err == nil {
			err = closeErr
		}
	}
	return errors.Annotate(err, "flush spans")
}

// SetAttribute adds a text attribute to a span that is recorded.
func SetAttribute(span trace.Span, key, value string) {
	if span.IsRecording() {
		span.SetAttributes(attribute.String(key, value))
	}
}

// EndSpan ends the span with the outcome of its hop.
func EndSpan(span trace.Span, err error) {
	if err != nil && span.IsRecording() {
		span.SetAttributes(attribute.String(AttrFault, string(fault.KindOf(err))))
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
