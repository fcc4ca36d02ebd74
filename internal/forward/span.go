package forward

import (
	"context"

	"go.opentelemetry.io/otel/trace"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// startSpan begins the span of one hop of the call.
func (c *call) startSpan(name string) (context.Context, trace.Span) {
	ctx, span := c.f.opts.Tracing.Start(c.ctx, name)
	telemetry.Describe(span, telemetry.AttrService, c.service.Name)
	return ctx, span
}

// describeGrant records the upstream that a grant names.
func describeGrant(span trace.Span, g slot.Grant) {
	telemetry.Describe(span, telemetry.AttrUpstream, g.Upstream)
	telemetry.Describe(span, telemetry.AttrZone, g.Cell.Zone)
}

// endSpan ends the span of a hop; a nil err means that it went well.
func endSpan(span trace.Span, err *fault.Error) {
	if err == nil {
		span.End()
		return
	}
	telemetry.End(span, err)
}
