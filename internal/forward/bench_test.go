package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// discardResponseWriter is a ResponseWriter that discards the response.
type discardResponseWriter struct{ header http.Header }

func (d *discardResponseWriter) Header() http.Header         { return d.header }
func (d *discardResponseWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardResponseWriter) WriteHeader(int)             {}

// BenchmarkCall measures one call through forwarder, transport and an
// upstream in the same process, without the server side of the caller's
// connection.
func BenchmarkCall(b *testing.B) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("answer"))
	}))
	defer up.Close()
	f := newForwarder(newFakes(up.Listener.Addr().String()))
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodGet, "/s/x", nil)
		f.ServeHTTP(&discardResponseWriter{header: make(http.Header)}, r)
	}
}
