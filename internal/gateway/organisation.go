package gateway

import (
	"net/http"
	"time"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/organisation"
)

// relayAPIKey is the header of a relayed request that carries the API key of the
// caller. The receiving gateway checks the key itself and never forwards the header.
const relayAPIKey = "Balsam-Relay-Api-Key"

// lookupOrganisation sets the organisation of the call according to the newest state,
// or returns the refusal. It is called when the call arrives and again before each
// time that the request is sent, since the key may have been removed while the call
// waited.
func (c *call) lookupOrganisation() error {
	st := c.f.state
	// The age is read before the table, so that it is not that of a newer one.
	var age time.Duration
	table := st.routes.Load()
	if table.Organisations().KeysRequired() {
		age = st.sinceNewest()
		table = st.routes.Load()
	}
	r := c.route
	if table.Version() != c.routeVersion {
		if newest := table.Lookup(c.r.Host, c.r.URL.Path); newest != nil {
			r = newest
		}
	}
	if !c.credentialRead {
		c.credential = organisation.CredentialOf(c.r.Header.Values(c.f.opts.Headers.APIKey))
		c.credentialRead = true
	}
	o, verdict := table.Organisations().Check(c.credential, r.Public, age, st.keyBounds)
	c.organisation = o
	switch verdict {
	case organisation.Missing:
		return c.denial(age, fault.New(fault.Unauthorized, "route %q needs an API key and the request has none, desired state version %d", r.Name, table.Version()))
	case organisation.Unknown:
		return c.denial(age, fault.New(fault.Unauthorized, "%s in desired state version %d", c.credential, table.Version()))
	case organisation.Unconfirmed:
		return fault.NewRetryable(fault.NotFresh, unconfirmedRetryAfter, "the API key of organisation %q may have been removed: the desired state held here has not been confirmed for %d ms, limit is %d ms",
			o.Name, min(age, maxLoggedAge).Milliseconds(), st.keyBounds.MaxAge.Milliseconds())
	}
	return nil
}

// maxLoggedAge limits the age in an error, which is the longest duration before the
// first confirmation.
const maxLoggedAge = time.Hour

// priority returns the priority of the call in queues; 0 is the highest.
func (c *call) priority() int {
	if c.organisation != nil && c.organisation.Priority != nil {
		return int(*c.organisation.Priority)
	}
	return c.route.Priority
}

// setOrganisation replaces what the caller has sent in the headers of API key and
// organisation by the organisation of the call.
func (c *call) setOrganisation(h http.Header) {
	names := c.f.opts.Headers
	h.Del(names.APIKey)
	h.Del(names.Organisation)
	if c.organisation != nil && names.Organisation != "" {
		h.Set(names.Organisation, c.organisation.Name)
	}
}

// setRelayedKey moves the API key of the caller to the header in which only gateways
// read it.
func (c *call) setRelayedKey(h http.Header) {
	names := c.f.opts.Headers
	h.Del(names.Organisation)
	h.Del(names.APIKey)
	h.Del(relayAPIKey)
	// The caller may have listed the header in Connection, so that h lacks it.
	for _, key := range c.r.Header.Values(names.APIKey) {
		h.Add(relayAPIKey, key)
	}
}

// restoreRelayedKey moves the API key of a relayed request back to the header in which
// the caller has sent it.
func (f *Forwarder) restoreRelayedKey(h http.Header) {
	keys := h.Values(relayAPIKey)
	h.Del(relayAPIKey)
	h.Del(f.opts.Headers.APIKey)
	if f.opts.Headers.APIKey == "" {
		return
	}
	for _, key := range keys {
		h.Add(f.opts.Headers.APIKey, key)
	}
}
