package events

import (
	"fmt"
	"io"
	"sync/atomic"
)

// asyncBufferLines is the capacity of the buffer in lines. At 200 bytes a line it takes 400 KB.
const asyncBufferLines = 2048

// AsyncWriter writes lines to another writer in the background, so that callers never block. Lines that arrive while the
// buffer is full are dropped, and their number is written before the next line.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns a writer that forwards lines to next.
func NewAsyncWriter(next io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncBufferLines), done: make(chan struct{})}
	go w.run(next)
	return w
}

// Write implements io.Writer. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *AsyncWriter) run(next io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if dropped := w.dropped.Swap(0); dropped > 0 {
			// Errors are ignored, because the log is the only place where a failure of the log could be reported.
			_, _ = fmt.Fprintf(next, "log lines dropped: %d\n", dropped)
		}
		_, _ = next.Write(line)
	}
}

// Close writes the buffered lines and returns when all are written. Write must not be called after Close.
func (w *AsyncWriter) Close() {
	close(w.lines)
	<-w.done
}
