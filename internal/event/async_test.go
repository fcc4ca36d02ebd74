package event

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stuck is a standard output that nobody reads until it is opened.
type stuck struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// TestFloodDoesNotWait floods a log that nobody reads: the writers go on, and
// what was dropped is counted once the log can be written again.
func TestFloodDoesNotWait(t *testing.T) {
	out := &stuck{open: make(chan struct{})}
	w := NewAsyncWriter(out)
	done := make(chan struct{})
	go func() {
		for range 10 * asyncLines {
			_, _ = io.WriteString(w, "line\n")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("the writers wait for the log")
	}
	close(out.open)
	w.Close()
	text := out.text.String()
	assert.Assert(t, strings.Count(text, "line\n") <= asyncLines+2)
	assert.Assert(t, strings.Contains(text, `"message":"log lines dropped"`))
}

func TestAsyncWriterKeepsOrderAndWritesTheRest(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = io.WriteString(w, line)
	}
	w.Close()
	assert.Equal(t, out.String(), "a\nb\nc\n")
}
