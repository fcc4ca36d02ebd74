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

// interim passes interim (1xx) responses of one attempt on to the caller. It is
// safe for concurrent use.
type interim struct {
	mu sync.Mutex
	// from is the attempt whose interim responses are passed on, nil for none.
	from *attempt
	// seen counts the interim responses.
	seen int
}

// open starts the forwarding of interim responses of a.
func (i *interim) open(a *attempt) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.from = a
}

// close stops the forwarding. Once two attempts are running, an interim
// response may belong to the attempt that loses; once the attempt has ended, the
// transport may still read one while the answer is written.
func (i *interim) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.from = nil
}

// forward sends an interim response of a to the caller. It drops 100 Continue,
// which the HTTP server sends itself when the body is read. It fails after
// maxInterimResponses, which ends the attempt.
func (i *interim) forward(w http.ResponseWriter, a *attempt, code int, header textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.seen++
	if i.seen > maxInterimResponses {
		return errTooManyInterim
	}
	if code == http.StatusContinue || i.from != a {
		return nil
	}
	for name, values := range header {
		w.Header()[name] = values
	}
	w.WriteHeader(code)
	return nil
}
