package entryd

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"balsamcourse.example/balsamcourse/internal/admit"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/lookup"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// maxAttempts bounds the upstreams that one call may be sent to.
const maxAttempts = 3

// callerSide is what an entry VM serves to callers.
type callerSide struct {
	limiter *admit.Limiter
	handler http.Handler
}

func (d *Daemon) newCallerSide() *callerSide {
	limits := d.settings.Limits
	c := &callerSide{
		limiter: admit.NewLimiter(limits.MaxInFlight),
	}
	calls := forward.New(forward.Options{
		Source:          d.config,
		Slots:           d.source(),
		Claims:          claimSource{d.claims},
		Quarantine:      &guard{d.gossip, d.claims},
		Limiter:         c.limiter,
		Transport:       d.upstreams,
		Tracing:         d.tracing,
		Metrics:         d.entry,
		Events:          d.log,
		Draining:        d.life.closed,
		MaxBodyBytes:    limits.MaxBodyBytes,
		BodyIdleTimeout: limits.ReadBodyTimeoutMs.Duration(),
		MaxKeptBytes:    d.settings.Claims.MaxKeptBytes,
		MaxAttempts:     maxAttempts,
		Hedging:         d.settings.DispatchPolicy == settings.PolicyCell,
	})
	answers := &lookup.Handler{
		EntryID: d.settings.ID,
		Zone:    d.settings.Zone,
		Source:  d.config,
		Health:  d.config,
		TTL:     d.settings.LookupTTLMs.Duration(),
		Leaving: d.life.leaving,
	}
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleMethodNotAllowed = false
	router.HandleOPTIONS = false
	router.Handler(http.MethodGet, "/v1/entries", answers)
	router.NotFound = calls
	c.handler = d.guardCalls(router)
	return c
}

// guardCalls closes connections while this entry VM leaves, and turns a panic
// into an answer.
func (d *Daemon) guardCalls(next http.Handler) http.Handler {
	return httpnet.Recover(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.life.leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	}), crash.PanicHandler(d.log))
}

// drained reports whether no call is in flight.
func (c *callerSide) drained() bool { return c.limiter.Total() == 0 }

// drainPoll is the interval at which calls in flight are counted.
const drainPoll = 20 * time.Millisecond
