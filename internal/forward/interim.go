package forward

import (
	"net/http"
	"net/textproto"
	"sync"
)

// interim passes interim answers (1xx) on to the caller, until it is closed.
type interim struct {
	mu     sync.Mutex
	closed bool
}

// close ends the passing on: with two attempts under way, it is not known
// whose interim answers belong to the final one.
func (i *interim) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}

// pass writes an interim answer.
func (i *interim) pass(w http.ResponseWriter, code int, header textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if code == http.StatusContinue || i.closed {
		return nil
	}
	for name, values := range header {
		w.Header()[name] = values
	}
	w.WriteHeader(code)
	return nil
}
