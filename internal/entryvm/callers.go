package entryvm

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"balsamcourse.example/balsamcourse/internal/admission"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/lookup"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// maxAttempts bounds the attempts of one call.
const maxAttempts = 3

// callerFrontend serves the requests of callers: calls and look-ups.
type callerFrontend struct {
	limiter *admission.Limiter
	handler http.Handler
	// endCalls answers the calls in flight.
	endCalls context.CancelFunc
}

func (d *Daemon) newCallerFrontend() *callerFrontend {
	limits := d.settings.Limits
	ending, endCalls := context.WithCancel(context.Background())
	c := &callerFrontend{
		limiter:  admission.NewLimiter(limits.MaxInFlight),
		endCalls: endCalls,
	}
	calls := forward.New(forward.Options{
		Source:          d.config,
		Slots:           d.slotAllocator(),
		Claims:          claimAdapter{d.claims},
		Quarantine:      &quarantineGuard{d.gossip, d.claims},
		Limiter:         c.limiter,
		Budget:          d.budget,
		Transport:       d.upstreams,
		Tracing:         d.tracing,
		Metrics:         d.entryMetrics,
		Events:          d.log,
		Draining:        d.lifecycle.refusesCalls,
		Ending:          ending,
		MaxBodyBytes:    limits.MaxBodyBytes,
		BodyIdleTimeout: limits.ReadBodyTimeoutMs.Duration(),
		MaxKeptBytes:    d.settings.Claims.MaxKeptBytes,
		MaxAttempts:     maxAttempts,
		Hedging:         d.settings.DispatchPolicy == settings.PolicyCell,
	})
	lookups := &lookup.Handler{
		EntryID: d.settings.ID,
		Zone:    d.settings.Zone,
		Source:  d.config,
		Health:  d.config,
		TTL:     d.settings.LookupTTLMs.Duration(),
		Leaving: d.lifecycle.leaving,
	}
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleMethodNotAllowed = false
	router.HandleOPTIONS = false
	router.Handler(http.MethodGet, "/v1/entries", lookups)
	router.NotFound = calls
	c.handler = d.wrapCallerHandler(router)
	return c
}

// wrapCallerHandler returns a handler that asks callers to close their connections
// once this entry VM is leaving, and responds with an error if next panics.
func (d *Daemon) wrapCallerHandler(next http.Handler) http.Handler {
	return httpnet.CloseWhenLeaving(httpnet.Recover(next, crash.PanicHandler(d.log)), d.lifecycle.leaving)
}

// drained reports whether there are no calls in flight.
func (c *callerFrontend) drained() bool { return c.limiter.Total() == 0 }

// drainPollInterval is the interval at which a stopping entry VM checks whether it
// can go on to the next phase of its stop.
const drainPollInterval = 20 * time.Millisecond
