package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// discard is a ResponseWriter that keeps nothing.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}

// BenchmarkCall is one call without the server side of the caller's connection:
// forwarder, transport, and a stand-in upstream in the same process.
func BenchmarkCall(b *testing.B) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("answer"))
	}))
	defer up.Close()
	f := newForwarder(newFakes(up.Listener.Addr().String()))
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodGet, "/s/x", nil)
		f.ServeHTTP(&discard{header: make(http.Header)}, r)
	}
}
