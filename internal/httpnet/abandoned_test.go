package httpnet

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against EVAC: an order that had waited in a socket was carried out after its caller
// had left and had given the order to another process.
func TestRequestWhoseClientHasLeftIsNotHandled(t *testing.T) {
	var handled, refused atomic.Int64
	h := RefuseAbandoned(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }), func(*http.Request) { refused.Add(1) })
	// A connection over the limit waits to be accepted.
	s := listen(t, h.ServeHTTP, Limits{MaxConnections: 1})
	first := dial(t, s)
	assert.Equal(t, requestStatus(first, ""), http.StatusOK)
	second := dial(t, s)
	_, err := io.WriteString(second, "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	assert.NilError(t, second.Close())
	assert.NilError(t, first.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if refused.Load() == 0 {
			return poll.Continue("the request was not refused")
		}
		return poll.Success()
	})
	assert.Equal(t, requestStatus(dial(t, s), ""), http.StatusOK)
	assert.Equal(t, handled.Load(), int64(2))
}
