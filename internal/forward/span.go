package forward

import (
	"context"

	"go.opentelemetry.io/otel/trace"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// startSpan starts the span of one step of the call.
func (c *call) startSpan(name string) (context.Context, trace.Span) {
	ctx, span := c.f.opts.Tracing.Start(c.ctx, name)
	telemetry.SetAttribute(span, telemetry.AttrService, c.service.Name)
	return ctx, span
}

// describeGrant adds the granted upstream and its zone to the span.
func describeGrant(span trace.Span, g slot.Grant) {
	telemetry.SetAttribute(span, telemetry.AttrUpstream, g.Upstream)
	telemetry.SetAttribute(span, telemetry.AttrZone, g.Cell.Zone)
}

// endSpan ends the span with err; nil means success. A nil *fault.Error must
// not reach telemetry.EndSpan, where it would be a non-nil error.
func endSpan(span trace.Span, err *fault.Error) {
	if err == nil {
		span.End()
		return
	}
	telemetry.EndSpan(span, err)
}
