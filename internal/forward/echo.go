package forward

import (
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// headerRequestID identifies one attempt to the upstream; callers get their own value
// back. An upstream that repeats the header in its response lets the response be told
// from those to other requests.
const headerRequestID = "Balsam-Request-Id"

// errForeignResponse says that a connection carried a response to another request.
var errForeignResponse = errors.New("the connection carried a response to another request")

// echoes remembers which upstreams repeat the request ID. Only their connections are
// used again: a late copy of an earlier response on another one would be taken for the
// response to the next request. It is safe for concurrent use.
type echoes struct {
	mu        sync.Mutex
	upstreams map[string]bool
}

func newEchoes() *echoes { return &echoes{upstreams: make(map[string]bool)} }

func (e *echoes) knows(upstream string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.upstreams[upstream]
}

// maxEchoes bounds the upstreams that are remembered. Beyond it all are forgotten, and
// learnt again with one connection each.
const maxEchoes = 10_000

func (e *echoes) record(upstream string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.upstreams) >= maxEchoes {
		clear(e.upstreams)
	}
	e.upstreams[upstream] = true
}

// checkEcho returns errForeignResponse if the response belongs to another request than
// that with the given ID. One without an ID is believed only on a new connection.
func (e *echoes) checkEcho(upstream, id string, resp *http.Response, newConn bool) error {
	switch resp.Header.Get(headerRequestID) {
	case id:
		e.record(upstream)
		return nil
	case "":
		if newConn {
			return nil
		}
	}
	return errForeignResponse
}
