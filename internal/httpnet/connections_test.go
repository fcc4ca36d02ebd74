package httpnet

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCloseEndsConnectionInUseAndNextCallOpensAnother closes the connection under a
// call that has no answer yet.
func TestCloseEndsConnectionInUseAndNextCallOpensAnother(t *testing.T) {
	received := make(chan string, 2)
	silent := make(chan struct{})
	server, err := Listen("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		received <- r.RemoteAddr
		if r.URL.Path == "/silent" {
			<-silent
		}
	}), Limits{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	t.Cleanup(func() { close(silent) })
	connections := NewConnections(nil)
	client := NewClient(connections.Dial)
	get := func(path string) error {
		resp, err := client.Get("http://" + server.Address() + path)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, resp.Body.Close())
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- get("/silent") }()
	first := <-received
	connections.Close("127.0.0.1:1")
	connections.Close(server.Address())
	assert.Assert(t, <-ended != nil)
	assert.NilError(t, get("/"))
	assert.Assert(t, <-received != first)
	connections.mu.Lock()
	defer connections.mu.Unlock()
	assert.Equal(t, len(connections.open[server.Address()]), 1)
}
