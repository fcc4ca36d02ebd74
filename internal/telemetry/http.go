package telemetry

import "net/http"

// Wrap returns a handler that records a server span with the given name for each
// request to next.
func (t *Tracing) Wrap(name string, next http.Handler) http.Handler {
	if !t.Enabled() {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := t.StartServer(r.Context(), r.Header, name)
		defer span.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// tracingTransport adds the W3C trace context to each request.
type tracingTransport struct {
	tracing *Tracing
	next    http.RoundTripper
}

// Transport returns a RoundTripper that adds the W3C trace context of the span in
// the request's context to the headers.
func (t *Tracing) Transport(next http.RoundTripper) http.RoundTripper {
	if !t.Enabled() {
		return next
	}
	return &tracingTransport{tracing: t, next: next}
}

// RoundTrip implements http.RoundTripper.
func (t *tracingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	t.tracing.Inject(req.Context(), req.Header)
	return t.next.RoundTrip(req)
}
