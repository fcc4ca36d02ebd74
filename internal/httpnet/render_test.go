package httpnet

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRenderedAnswersAreSentWithoutASlot has clients that read nothing of long answers, more
// than answers are computed at a time. The next client must get its answer.
func TestRenderedAnswersAreSentWithoutASlot(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	var running, most atomic.Int64
	s := listen(t, Render(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n := running.Add(1); n > most.Load() {
			most.Store(n)
		}
		defer running.Add(-1)
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, body)
	})).ServeHTTP, Limits{Budget: NewBudget(256<<20, 0)})
	for range 10 * renderSlots {
		_, err := io.WriteString(dial(t, s), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
	}
	resp, err := NewHTTP1Client(nil).Get("http://" + s.Address())
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusAccepted)
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, string(got) == body)
	assert.Assert(t, most.Load() <= renderSlots)
}
