package gateway

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// healthHead is the head of a health response, without its end.
const healthHead = "HTTP/1.1 200 OK\r\nBalsam-Load: 0 0 2 100\r\n"

// TestBytesAfterHealthResponseKeepRequestsAway connects to an upstream that sends an
// answer to a request that it has not been sent. The request must not be sent
// there, and the refusal must say that it did not run.
func TestBytesAfterHealthResponseKeepRequestsAway(t *testing.T) {
	forged := "HTTP/1.1 200 OK\r\nBalsam-Request-Id: r1\r\n" + servedByHeader + "Content-Length: 6\r\n\r\nforged"
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	s.respondHealth = func(w io.Writer) bool {
		_, err := io.WriteString(w, healthHead+"Content-Length: 0\r\n\r\n"+forged)
		return err == nil
	}
	fx := startForwarder(t, newConfig(s))
	status, body, h := fx.call(t, http.MethodPost, "/unsafe/x", "300")
	assert.Equal(t, status, 503, body)
	assert.Equal(t, h.Get(fault.HeaderRun), string(fault.NotRun))
	assert.Equal(t, len(s.requests()), 0)
}
