package httpnet

import (
	"bytes"
	"net/http"
)

// renderSlots is the number of answers that a handler of Render computes at a time.
const renderSlots = 2

// Render returns a handler that lets next write its answers to memory, few at a time, before
// they are sent. What next needs meanwhile, such as open files, is thus not held while a
// client reads slowly. An answer is charged until it has been sent; without room for it the
// request is refused with 503.
func Render(next http.Handler) http.Handler {
	slots := make(chan struct{}, renderSlots)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		answer := &renderedAnswer{header: make(http.Header), status: http.StatusOK}
		release, ok := func() (func(), bool) {
			defer func() { <-slots }()
			next.ServeHTTP(answer, r)
			return ReserveAnswer(r, int64(answer.body.Len()))
		}()
		if !ok {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "no memory left for the answer", http.StatusServiceUnavailable)
			return
		}
		defer release()
		for name, values := range answer.header {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.status)
		// A failed write is ignored: the client has gone.
		_, _ = w.Write(answer.body.Bytes())
	})
}

// renderedAnswer is an http.ResponseWriter that keeps the answer in memory.
type renderedAnswer struct {
	header http.Header
	status int
	begun  bool
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *renderedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *renderedAnswer) WriteHeader(status int) {
	if !a.begun {
		a.begun, a.status = true, status
	}
}

// Write implements http.ResponseWriter.
func (a *renderedAnswer) Write(b []byte) (int, error) {
	a.begun = true
	return a.body.Write(b)
}
