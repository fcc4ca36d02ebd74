package access

import "net/http"

// bearerPrefix precedes the key in the Authorization header.
const bearerPrefix = "Bearer "

// transport adds an Authorization header with the current key to each request.
type transport struct {
	keys *Keys
	next http.RoundTripper
}

// NewTransport returns a RoundTripper that adds an Authorization header with the
// current key to each request. With nil keys it returns next.
func NewTransport(keys *Keys, next http.RoundTripper) http.RoundTripper {
	if keys == nil {
		return next
	}
	return &transport{keys: keys, next: next}
}

// SetKey sets the header Authorization to the current key. With nil keys it does
// nothing.
func SetKey(h http.Header, keys *Keys) {
	if keys != nil {
		h.Set("Authorization", bearerPrefix+keys.Current().Secret)
	}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	SetKey(req.Header, t.keys)
	return t.next.RoundTrip(req)
}
