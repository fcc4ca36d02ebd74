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

// Names of spans, one for each step of a call.
const (
	// SpanCall covers a call at the entry VM that received it.
	SpanCall = "call"
	// SpanGrant covers the wait until a dispatcher grants a slot.
	SpanGrant = "grant"
	// SpanClaim covers the claim on an idempotency key.
	SpanClaim = "claim"
	// SpanUpstream covers one attempt at an upstream.
	SpanUpstream = "upstream"
)

// Attribute keys of spans.
const (
	AttrService  = "balsam.service"
	AttrZone     = "balsam.zone"
	AttrUpstream = "balsam.upstream"
	AttrFault    = "balsam.fault"
	// AttrHasIdempotencyKey is "true" for a request with an idempotency key. The
	// key itself is not recorded.
	AttrHasIdempotencyKey = "balsam.keyed"
)

// noSpan is a span that records nothing. Sharing one avoids allocations.
var noSpan = trace.SpanFromContext(context.Background())

// Tracing creates spans. The result of Disabled and the zero value record none and
// allocate nothing.
type Tracing struct {
	tracer     trace.Tracer
	provider   *sdktrace.TracerProvider
	propagator propagation.TraceContext
	file       io.Closer
}

// Disabled returns tracing that records no spans.
func Disabled() *Tracing { return &Tracing{} }

// NewTracing returns the tracing that s configures for the process with the role
// and id. A trace file that cannot be opened or an invalid endpoint is an error
// of kind fault.Settings.
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
		return nil, errors.Annotate(errors.Trace(err), "create exporter of trace.file")
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

// Start starts a child span of the one in ctx.
func (t *Tracing) Start(ctx context.Context, name string) (context.Context, trace.Span) {
	if t.tracer == nil {
		return ctx, noSpan
	}
	return t.tracer.Start(ctx, name)
}

// StartServer starts a server span whose parent is the span that the W3C trace
// context in header identifies.
func (t *Tracing) StartServer(ctx context.Context, header http.Header, name string) (context.Context, trace.Span) {
	if t.tracer == nil {
		return ctx, noSpan
	}
	ctx = t.propagator.Extract(ctx, propagation.HeaderCarrier(header))
	return t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}

// Inject writes the span in ctx to header as W3C trace context. While tracing is
// off, the trace context that the caller sent stays in header.
func (t *Tracing) Inject(ctx context.Context, header http.Header) {
	if t.tracer == nil {
		return
	}
	t.propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Shutdown exports the buffered spans and stops tracing.
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

// SetAttribute sets a string attribute of a span that is recorded.
func SetAttribute(span trace.Span, key, value string) {
	if span.IsRecording() {
		span.SetAttributes(attribute.String(key, value))
	}
}

// EndSpan ends the span. A non-nil err marks it as failed, with the kind and the
// message of the error.
func EndSpan(span trace.Span, err error) {
	if err != nil && span.IsRecording() {
		span.SetAttributes(attribute.String(AttrFault, string(fault.KindOf(err))))
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
