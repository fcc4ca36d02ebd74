package forward

import (
	"net/http"
	"net/textproto"
	"sync"

	"github.com/juju/errors"
)

// maxInterimResponses bounds the interim responses of all upstreams to one call.
const maxInterimResponses = 16

var errTooManyInterim = errors.Errorf("upstream sent more than %d interim responses", maxInterimResponses)

// interim passes interim (1xx) responses on to the caller until it is
// closed. It is safe for concurrent use.
type interim struct {
	mu     sync.Mutex
	closed bool
	// seen counts the interim responses.
	seen int
}

// close stops the forwarding. Once two attempts are running, an interim
// response may belong to the attempt that loses.
func (i *interim) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}

// forward sends an interim response to the caller. It drops 100 Continue,
// which the HTTP server sends itself when the body is read. It fails after
// maxInterimResponses, which ends the attempt.
func (i *interim) forward(w http.ResponseWriter, code int, header textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.seen++
	if i.seen > maxInterimResponses {
		return errTooManyInterim
	}
	if code == http.StatusContinue || i.closed {
		return nil
	}
	for name, values := range header {
		w.Header()[name] = values
	}
	w.WriteHeader(code)
	return nil
}
