package event

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// asyncLines bounds the log lines that wait to be written.
const asyncLines = 1024

// AsyncWriter writes log lines beside the callers, which it never blocks:
// lines that find no room are dropped and counted.
type AsyncWriter struct {
	lines chan []byte
	// dropped counts the lines since the last one written, total all.
	dropped atomic.Uint64
	total   atomic.Uint64
	done    chan struct{}
	once    sync.Once
	out     io.Writer
}

// NewAsyncWriter returns a writer to out. Close must be called at the end.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{}), out: out}
	go w.run()
	return w
}

// Write implements io.Writer. It copies b and always succeeds.
func (w *AsyncWriter) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines that found no room since the start.
func (w *AsyncWriter) Dropped() uint64 { return w.total.Load() }

// DroppedLines returns the number of lines that out has dropped: 0 for a writer that
// drops none.
func DroppedLines(out io.Writer) uint64 {
	if w, ok := out.(*AsyncWriter); ok {
		return w.Dropped()
	}
	return 0
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if len(line) == 0 {
			return
		}
		// Nothing can be done about a standard output that cannot be written.
		_, _ = w.out.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = io.WriteString(w.out, `{"level":"warn","message":"log lines dropped","lines":`+strconv.FormatUint(n, 10)+"}\n")
		}
	}
}

// Close writes what waits and ends the writer. Later lines are dropped.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { w.lines <- nil })
	<-w.done
}
