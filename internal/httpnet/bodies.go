package httpnet

import (
	"bytes"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// LimitBodies returns a handler that reads the body of each request before it calls next,
// so that next, which may read a body of any length, finds it in memory. A body that is
// longer than maxBytes is refused with 413, one for which there is no room with 503. copies
// is as in ReadBody.
func LimitBodies(next http.Handler, maxBytes, copies int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength > maxBytes {
			http.Error(w, "request body is too large", http.StatusRequestEntityTooLarge)
			return
		}
		body, err := ReadBody(http.MaxBytesReader(w, r.Body, maxBytes), ClientBody(r), r.ContentLength, maxBytes+1, copies)
		var tooLarge *http.MaxBytesError
		switch {
		case errors.Is(err, ErrBudget):
			w.Header().Set("Retry-After", "1")
			http.Error(w, "no memory left for the request body", http.StatusServiceUnavailable)
		case errors.As(err, &tooLarge):
			http.Error(w, "request body is too large", http.StatusRequestEntityTooLarge)
		case err != nil:
			http.Error(w, "request body could not be read", http.StatusBadRequest)
		default:
			r.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(w, r)
		}
	})
}
