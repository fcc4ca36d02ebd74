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

// blockedWriter blocks each write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// TestAsyncWriterDropsLinesWhileOutputBlocks guards against calls that stall
// because the log output blocks: with a full queue, Write must return and drop the
// line, and the number of dropped lines must be logged once the output accepts
// writes again.
func TestAsyncWriterDropsLinesWhileOutputBlocks(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewAsyncWriter(out)
	done := make(chan struct{})
	go func() {
		for range 10 * asyncQueueLines {
			_, _ = io.WriteString(w, "line\n")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("Write blocked while the output was blocked")
	}
	close(out.unblock)
	w.Close()
	text := out.text.String()
	assert.Assert(t, strings.Count(text, "line\n") <= asyncQueueLines+2)
	assert.Assert(t, strings.Contains(text, `"message":"log lines dropped"`))
}

func TestAsyncWriterKeepsOrderAndFlushesOnClose(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = io.WriteString(w, line)
	}
	w.Close()
	assert.Equal(t, out.String(), "a\nb\nc\n")
}
