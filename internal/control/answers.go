package control

import (
	"context"
	"net/http"
	"sync"
)

// answers counts the answers to renewals that are encoded and written.
type answers struct {
	mu sync.Mutex
	// open is the number under way, peak the largest one since takePeak.
	open, peak int
}

func (a *answers) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	a.peak = max(a.peak, a.open)
}

func (a *answers) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
}

// takePeak returns the largest number of answers under way at once since the last
// call.
func (a *answers) takePeak() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	peak := a.peak
	a.peak = a.open
	return peak
}

type answerKey struct{}

// answerTurn is the part of a request that answers has counted.
type answerTurn struct{ begun bool }

// beginAnswer counts the answer to the request of ctx until its handler has ended.
func (a *answers) beginAnswer(ctx context.Context) {
	turn, ok := ctx.Value(answerKey{}).(*answerTurn)
	if !ok || turn.begun {
		return
	}
	turn.begun = true
	a.begin()
}

// wrap returns a handler whose answers end when next has written them.
func (a *answers) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		turn := &answerTurn{}
		defer func() {
			if turn.begun {
				a.end()
			}
		}()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), answerKey{}, turn)))
	})
}
