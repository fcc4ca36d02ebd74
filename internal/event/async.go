package event

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// asyncQueueLines is the maximum number of log lines that wait to be written.
const asyncQueueLines = 1024

// AsyncWriter writes log lines from a queue in a goroutine of its own, so that a
// slow output never blocks the code that logs. While the queue is full, lines are
// dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	lines chan []byte
	// dropped counts the lines dropped since the log last reported any, total those
	// dropped since the start.
	dropped atomic.Uint64
	total   atomic.Uint64
	done    chan struct{}
	once    sync.Once
	out     io.Writer
}

// NewAsyncWriter starts a writer to out. Close must be called to flush it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncQueueLines), done: make(chan struct{}), out: out}
	go w.run()
	return w
}

// Write implements io.Writer: it queues a copy of b, or drops it if the queue is
// full. It always reports success.
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

// Dropped returns the number of lines dropped since the start.
func (w *AsyncWriter) Dropped() uint64 { return w.total.Load() }

// DroppedLines returns the number of lines that out has dropped since the start if
// it is an AsyncWriter, and 0 for any other writer.
func DroppedLines(out io.Writer) uint64 {
	if w, ok := out.(*AsyncWriter); ok {
		return w.Dropped()
	}
	return 0
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if len(line) == 0 { // Close queues a nil line.
			return
		}
		// An error of the log output cannot be reported anywhere.
		_, _ = w.out.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = io.WriteString(w.out, `{"level":"warn","message":"log lines dropped","lines":`+strconv.FormatUint(n, 10)+"}\n")
		}
	}
}

// Close writes the queued lines and stops the writer. Lines written later are
// lost.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { w.lines <- nil })
	<-w.done
}
